package badgermux.capacity;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/**
 * Compares the capacity page with the tables generated from the committed slopes and target, so that no figure on it goes
 * stale, and checks that the classes it names exist.
 */
class CapacityPageTest {
    private static final Path PAGE = Path.of("docs", "CAPACITY.md");
    private static final Path FOLDER = Path.of("docs", "capacity");
    private static final Pattern CLASS_NAME = Pattern.compile("`([A-Z][A-Za-z]+)`");

    private static Slopes slopes() throws IOException {
        return Slopes.read(FOLDER.resolve("slopes.json"));
    }

    private static Target target() throws IOException {
        return Target.read(FOLDER.resolve("target.json"));
    }

    @Test void pageTablesMatchGeneratedTables() throws IOException {
        String page = Files.readString(PAGE);
        assertEquals(CapacityPage.replaceTables(page, new Tables(slopes(), target()).renderAll()), page,
            "the tables are out of date; regenerate them with src/bench/run badgermux.capacity.CapacityTables --write");
    }

    @Test void changedFigureIsDetected() throws IOException {
        String page = Files.readString(PAGE);
        String changed = page.replaceFirst("\\| workers \\| 2,600 workers", "| workers | 2,601 workers");
        assertTrue(!changed.equals(page), "the page does not show the expected number of workers");
        assertEquals(page, CapacityPage.replaceTables(changed, new Tables(slopes(), target()).renderAll()));
    }

    @Test void missingTableMarkerIsRejected() {
        assertThrows(IllegalArgumentException.class, () -> CapacityPage.replaceTables("no marker", Map.of("runs", "| a |\n")));
    }

    @Test void slopesNameTheirRunAndMatchTheirPoints() throws IOException {
        Set<String> runs = slopes().runs().stream().map(Slopes.Run::name).collect(Collectors.toSet());
        for (Slope slope : slopes().slopes()) {
            assertTrue(runs.contains(slope.run()), slope.name() + " names an unknown run");
            double squares = 0;
            for (Slope.Point point : slope.points()) {
                assertTrue(point.least() <= point.median() && point.median() <= point.most(), slope.name());
                squares += Math.pow(slope.fittedCostAt(point.size()) / point.median() - 1, 2);
            }
            double error = Math.sqrt(squares / slope.points().size());
            assertEquals(slope.errorShare(), error, 0.002 + 0.01 * error,
                slope.name() + ": errorShare does not match the points");
        }
    }

    @Test void fittedLineIsUsedOnlyForUnmeasuredSizes() {
        List<Slope.Point> points = List.of(new Slope.Point(10, 3, 100, 90, 120), new Slope.Point(20, 3, 500, 450, 600));
        Slope slope = new Slope("x", "x", "us", "worker", "run", points, -300, 40, 0);
        assertEquals(500, slope.costAt(20));
        assertEquals(900, slope.costAt(30));
        assertEquals(0, slope.costAt(1));
    }

    @Test void rolesWithoutMechanismRankFirst() throws IOException {
        String ranking = new Tables(slopes(), target()).renderAll().get("ranking");
        List<String> mechanisms = ranking.lines().skip(2).map(line -> line.replaceAll("^.*\\| (.*) \\|$", "$1")).toList();
        int lastNone = mechanisms.lastIndexOf(Demand.NO_MECHANISM);
        assertTrue(lastNone >= 0, ranking);
        assertEquals(Set.of(Demand.NO_MECHANISM), Set.copyOf(mechanisms.subList(0, lastNone + 1)));
    }

    @Test void largerFailuresCostMoreCpu() throws IOException {
        List<Demand> demands = new DemandModel(slopes(), target()).demands(120).stream()
            .filter(demand -> demand.role().equals("Decision module")).toList();
        List<Situation> bySize = List.of(Situation.AVERAGE_DAY, Situation.MACHINE_FAILURE, Situation.RACK_FAILURE,
            Situation.ZONE_FAILURE, Situation.REGION_CUT_OFF);
        double previous = 0;
        for (Situation situation : bySize) {
            double core = demands.stream().filter(demand -> demand.situation() == situation)
                .findFirst().orElseThrow().coreShare();
            assertTrue(core > previous, situation + " needs a core share of " + core + ", the smaller failure " + previous);
            previous = core;
        }
    }

    @Test void classesNamedOnPageExist() throws IOException {
        Set<String> classes;
        try (Stream<Path> files = Files.walk(Path.of("src"))) {
            classes = files.map(file -> file.getFileName().toString()).filter(name -> name.endsWith(".java"))
                .map(name -> name.replace(".java", "")).collect(Collectors.toSet());
        }
        Set<String> unknown = new TreeSet<>();
        for (Matcher name = CLASS_NAME.matcher(Files.readString(PAGE)); name.find();) {
            if (!classes.contains(name.group(1))) {
                unknown.add(name.group(1));
            }
        }
        assertEquals(Set.of(), unknown);
    }
}
