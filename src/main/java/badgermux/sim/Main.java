package badgermux.sim;

import java.io.BufferedInputStream;
import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintStream;

/** The {@code sim} command: runs dispatch policies for the simulator over standard input and output. */
public final class Main {
    private Main() { }

    /** Runs until the input ends. Malformed input causes a one-line message on standard error and a non-zero exit status. */
    public static void main(String[] args) {
        int status = run(new BufferedInputStream(System.in, 1 << 16),
            new FileOutputStream(FileDescriptor.out), System.err);
        if (status != 0) {
            System.exit(status);
        }
    }

    /** Runs until the input ends and returns the exit status. */
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
