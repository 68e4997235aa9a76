package badgermux.scale;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** What the system tells of a process: processor time so far, in seconds, and resident memory, in MB. */
record ProcessUsage(double cpuSeconds, double rssMb) {
    private static final double TICKS_PER_SECOND = 100, KB_IN_MB = 1024;
    /** Places behind the name in {@code /proc/PID/stat}, which may hold blanks and ends in a parenthesis. */
    private static final int USER_TIME_FIELD = 11, SYSTEM_TIME_FIELD = 12;

    static ProcessUsage of(long pid) throws IOException {
        String stat = Files.readString(Path.of("/proc", String.valueOf(pid), "stat"));
        String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
        double ticks = Double.parseDouble(fields[USER_TIME_FIELD]) + Double.parseDouble(fields[SYSTEM_TIME_FIELD]);
        double rss = Files.readAllLines(Path.of("/proc", String.valueOf(pid), "status")).stream()
            .filter(line -> line.startsWith("VmRSS:")).mapToDouble(line -> Double.parseDouble(line.replaceAll("\\D", "")))
            .findFirst().orElse(0);
        return new ProcessUsage(ticks / TICKS_PER_SECOND, rss / KB_IN_MB);
    }
}
