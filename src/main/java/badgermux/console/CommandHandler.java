package badgermux.console;

import io.netty.channel.ChannelHandler;
import java.util.function.Consumer;

/** What callers reach. Asked on the event loop, and told there what came of it. */
public interface CommandHandler {
    /** Why this process is not ready to serve; null where it is. */
    String notReadyReason();

    /** The figures, in whole lines. */
    String metricsText();

    /** Takes a runner out; tells null once it is kept, or why it can't be. */
    void cordon(String id, Consumer<String> told);

    /** Puts a runner back; tells null once that is kept, or why it can't be. */
    void uncordon(String id, Consumer<String> told);

    /** What goes on with the connection of the next process; null where the secret is not ours. */
    ChannelHandler createHandoverLink(String secret);

    /** The connection is handed on to what {@link #createHandoverLink} gave. */
    void startHandover(ChannelHandler by);
}
