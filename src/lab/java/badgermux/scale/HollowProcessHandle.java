package badgermux.scale;

import com.google.gson.Gson;
import java.io.BufferedReader;
import java.io.Closeable;
import java.io.File;
import java.io.IOException;
import java.io.Writer;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;

/** A handle of a {@link HollowProcess}, which exits when the handle is closed or this process dies. */
final class HollowProcessHandle implements Closeable {
    private static final int EXIT_TIMEOUT_SECONDS = 10;
    private static final Gson GSON = new Gson();

    final int dispatchers;
    private final Process process;
    private final Writer orders;
    private final BufferedReader answers;

    HollowProcessHandle(HollowProcess.Plan plan, int heapMb) throws IOException {
        dispatchers = plan.configs().size();
        process = new ProcessBuilder(System.getProperty("java.home") + File.separator + "bin" + File.separator + "java",
            "-Xmx" + heapMb + "m", "-XX:+UseSerialGC", "-XX:CICompilerCount=2", "-Dtinylog.level=error",
            "-Dio.netty.allocator.type=unpooled", "-cp", System.getProperty("java.class.path"), HollowProcess.class.getName())
            .redirectError(ProcessBuilder.Redirect.INHERIT).start();
        orders = process.outputWriter(StandardCharsets.UTF_8);
        answers = process.inputReader(StandardCharsets.UTF_8);
        writeLine(GSON.toJson(plan));
    }

    long pid() {
        return process.pid();
    }

    /** Sends an order, waits until it is executed and returns the answer. */
    String order(HollowProcess.Order order) throws IOException {
        writeLine(order.name());
        String answer = answers.readLine();
        if (answer == null) {
            throw new IOException("a process of hollow dispatchers has exited");
        }
        return answer;
    }

    /** Returns the figures of the process. */
    HollowProcess.Report report() throws IOException {
        return GSON.fromJson(order(HollowProcess.Order.REPORT), HollowProcess.Report.class);
    }

    private void writeLine(String line) throws IOException {
        orders.write(line + "\n");
        orders.flush();
    }

    @Override public void close() throws IOException {
        orders.close();
        try {
            if (!process.waitFor(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
                process.destroyForcibly();
            }
        } catch (InterruptedException e) {
            process.destroyForcibly();
            Thread.currentThread().interrupt();
        }
    }
}
