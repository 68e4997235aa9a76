package badgermux.capacity;

import java.util.List;

/**
 * A cost measured at several sizes, with the line {@code base + slope x size} fitted through the measurements.
 *
 * @param name       name by which the model looks it up
 * @param what       description of the cost, for the page
 * @param unit       unit of the cost
 * @param per        what the size counts, such as workers or tenants
 * @param run        name of the run that measured it
 * @param points     the measurements in ascending order of size; at least one
 * @param base       cost at size 0 on the fitted line, in {@code unit}
 * @param slope      cost of each unit of size on the fitted line, in {@code unit}
 * @param errorShare error of the fit: the root mean square of (fitted - measured) / measured
 */
public record Slope(String name, String what, String unit, String per, String run, List<Point> points, double base,
        double slope, double errorShare) {

    /**
     * The measurements at one size.
     *
     * @param size   number of what {@link Slope#per} names
     * @param rounds number of rounds measured
     * @param median median cost of the rounds
     * @param least  lowest cost of the rounds
     * @param most   highest cost of the rounds
     */
    public record Point(double size, int rounds, double median, double least, double most) { }

    /** Whether this exact size was measured. */
    public boolean isMeasuredAt(double size) {
        return points.stream().anyMatch(point -> point.size() == size);
    }

    /** Returns the measured median at a measured size; at other sizes the fitted cost, but not less than 0. */
    public double costAt(double size) {
        return points.stream().filter(point -> point.size() == size).mapToDouble(Point::median).findFirst()
            .orElse(Math.max(0, fittedCostAt(size)));
    }

    /** Returns the cost at a size on the fitted line; it may be negative. */
    public double fittedCostAt(double size) {
        return base + slope * size;
    }
}
