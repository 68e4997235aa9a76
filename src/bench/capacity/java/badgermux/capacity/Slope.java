package badgermux.capacity;

import java.util.List;

/**
 * A cost that was measured at several sizes, and the line {@code base + slope x size} through them.
 *
 * @param name       its name in the model
 * @param what       what was measured
 * @param unit       the unit of a cost
 * @param per        what a size counts
 * @param run        the name of the run that gave it
 * @param points     the sizes at which it was measured, in rising order; at least one
 * @param base       the cost at size 0 by the fitted line, in {@code unit}
 * @param slope      what one more of the size adds by the fitted line, in {@code unit}
 * @param errorShare the fit's error: the root mean square of (fitted - measured) / measured
 */
public record Slope(String name, String what, String unit, String per, String run, List<Point> points, double base,
        double slope, double errorShare) {

    /**
     * One size: the rounds' median, least and greatest cost.
     *
     * @param size   how many of {@link Slope#per}
     * @param rounds how many rounds were measured
     */
    public record Point(double size, int rounds, double median, double least, double most) { }

    /** Whether this size was measured itself. */
    public boolean isMeasuredAt(double size) {
        return points.stream().anyMatch(point -> point.size() == size);
    }

    /** The cost at a size: as measured where that size was measured, else by the fitted line and never below 0. */
    public double costAt(double size) {
        return points.stream().filter(point -> point.size() == size).mapToDouble(Point::median).findFirst()
            .orElse(Math.max(0, fittedCostAt(size)));
    }

    /** The cost at a size by the fitted line. */
    public double fittedCostAt(double size) {
        return base + slope * size;
    }
}
