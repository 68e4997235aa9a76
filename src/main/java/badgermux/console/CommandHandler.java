package badgermux.console;

import io.netty.channel.ChannelHandler;
import java.util.function.Consumer;

/** Carries out the console's commands. Methods and callbacks run on the event loop. */
public interface CommandHandler {
    /** Returns why this process is not ready to serve; null where it is ready. */
    String notReadyReason();

    /** Returns what operators should know of a process that is ready to serve; null if there is nothing. */
    String warning();

    /** Returns the metrics as whole lines. */
    String metricsText();

    /** Cordons a backend. {@code onDone} receives null once the cordon is stored, or the reason why it can't be. */
    void cordon(String id, Consumer<String> onDone);

    /** Ends a backend's cordon. {@code onDone} receives null once that is stored, or the reason why it can't be. */
    void uncordon(String id, Consumer<String> onDone);

    /** Returns the handler for the next process's connection; null where the takeover is refused. */
    ChannelHandler createHandoverLink(String secret);

    /** Called once the handler from {@link #createHandoverLink} is in the connection's pipeline. */
    void startHandover(ChannelHandler link);
}
