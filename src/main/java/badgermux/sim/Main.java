package badgermux.sim;

import java.io.BufferedInputStream;
import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintStream;

/** The {@code sim} command: the module on the simulator's wire, on standard input and output. */
public final class Main {
    private Main() { }

    /** Runs until the input ends; bad input is told in one line on standard error and a non-zero exit. */
    public static void main(String[] args) {
        int status = run(new BufferedInputStream(System.in, 1 << 16),
            new FileOutputStream(FileDescriptor.out), System.err);
        if (status != 0) {
            System.exit(status);
        }
    }

    static int run(InputStream in, OutputStream out, PrintStream err) {
        try {
            new SimulatorAdapter(in, out).run();
            return 0;
        } catch (MalformedInputException | IOException e) {
            err.println("badgermux: " + e.getMessage());
            return 2;
        }
    }
}
