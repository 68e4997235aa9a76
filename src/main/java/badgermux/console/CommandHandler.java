package badgermux.console;

import io.netty.channel.ChannelHandler;
import java.util.function.Consumer;

/** What callers reach. Asked on the event loop, and told there what came of it. */
public interface CommandHandler {
    /** Why this process is not ready to serve; null where it is. */
    String notReady();

    /** The figures, in whole lines. */
    String figures();

    /** Takes a runner out; tells null once it is kept, or why it can't be. */
    void takeOut(String id, Consumer<String> told);

    /** Puts a runner back; tells null once that is kept, or why it can't be. */
    void putBack(String id, Consumer<String> told);

    /** What goes on with the connection of the next process; null where the secret is not ours. */
    ChannelHandler takeOver(String secret);

    /** The connection is handed on to what {@link #takeOver} gave. */
    void takenOver(ChannelHandler by);
}
