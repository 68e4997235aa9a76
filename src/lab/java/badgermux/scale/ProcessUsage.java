package badgermux.scale;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** The processor time that a process has used so far, in seconds, and its resident memory, in MB. */
record ProcessUsage(double cpuSeconds, double rssMb) {
    private static final double TICKS_PER_SECOND = 100;
    private static final double KB_IN_MB = 1024;
    /**
     * The index of a field in {@code /proc/PID/stat}, counted after the process name, which ends in a parenthesis and may
     * contain spaces.
     */
    private static final int USER_TIME_FIELD = 11;
    private static final int SYSTEM_TIME_FIELD = 12;

    /** Reads the usage of a process from {@code /proc}. */
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
