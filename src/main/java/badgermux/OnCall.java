package badgermux;

import badgermux.config.ConfigException;
import badgermux.console.Console;
import badgermux.console.Desk;
import badgermux.core.Clock;
import badgermux.core.Deadlines;
import badgermux.director.Director;
import badgermux.front.Front;
import badgermux.hand.Hands;
import badgermux.metrics.Metrics;
import badgermux.operator.OutFolder;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.Consumer;
import org.tinylog.Logger;

/** Joins what operators call with what they call for: the console, the runners out by hand, and where those are kept. */
final class OnCall implements Desk {
    /** What is kept of a call; false where it can't be. */
    private interface Keeping {
        void keep(OutFolder folder) throws IOException;
    }

    private final EventLoopGroup loop;
    private final Clock clock;
    private final Hands hands;
    private final OutFolder folder;
    /** Files are written here: the event loop waits for no disk. */
    private final ExecutorService writer = Executors.newSingleThreadExecutor(work -> {
        Thread thread = new Thread(work, "out-folder");
        thread.setDaemon(true);
        return thread;
    });
    /** The number of the last call for each runner that a file is being written for. */
    private final Map<String, Long> lastCall = new HashMap<>();
    private long calls;
    private Metrics metrics;
    private Director director;
    private Front front;
    private Console console;

    /**
     * Reads which runners are out.
     *
     * @param name    the dispatcher's: what is kept is kept under it
     * @param coldFor how long a runner that came back is cold
     * @param folder  $TMPDIR; null where nothing can be kept
     */
    OnCall(String name, long coldFor, String folder, EventLoopGroup loop, Clock clock) throws ConfigException {
        this.loop = loop;
        this.clock = clock;
        hands = new Hands(coldFor);
        this.folder = folder == null || folder.isBlank() ? null : open(folder, name, coldFor);
        if (this.folder == null) {
            Logger.warn("runners taken out by hand are not kept over an upgrade: TMPDIR is not set, or can't be used");
        }
    }

    private OutFolder open(String temporary, String name, long coldFor) {
        try {
            OutFolder opened = OutFolder.open(Path.of(temporary, "badgermux-" + name.replaceAll("[^A-Za-z0-9_.-]", "_")));
            opened.out().forEach(hands::takeOut);
            opened.back(System.currentTimeMillis() - coldFor / 1000)
                .forEach((id, millis) -> hands.cameBack(id, clock.fromUnixMillis(millis)));
            if (!hands.out().isEmpty()) {
                Logger.info("out by hand: {}", hands.out());
            }
            return opened;
        } catch (IOException | InvalidPathException e) {
            // Guards against a start that fails for it: jobs go before what operators set.
            Logger.warn("what is kept of runners out by hand can't be read: {}", e.toString());
            return null;
        }
    }

    Hands hands() {
        return hands;
    }

    /** Called on the event loop before it listens; {@code callers} bounds how many there are at once. */
    void join(Director list, Front clients, Deadlines deadlines, Metrics counts, int callers) {
        director = list;
        front = clients;
        metrics = counts;
        console = new Console(loop, deadlines, counts, this, callers);
    }

    ChannelFuture listen(InetSocketAddress at) {
        return console.listen(at);
    }

    void close() {
        console.close();
    }

    // ---- What callers reach, on the event loop

    @Override public String notReady() {
        return front.notReady();
    }

    @Override public String figures() {
        return metrics.dump();
    }

    @Override public void takeOut(String id, Consumer<String> told) {
        if (!director.names(id) && !hands.isOut(id)) {
            told.accept("no runner has the id " + id);
            return;
        }
        boolean was = hands.isOut(id);
        // At once: what is not sent while the file is written is not missed.
        hands.takeOut(id);
        director.seenAnew(id);
        keep(id, kept -> kept.takeOut(id), (why, last) -> {
            if (why != null && !was && last) {
                hands.putBack(id, clock.now());
                director.seenAnew(id);
            }
            told.accept(why);
        });
    }

    @Override public void putBack(String id, Consumer<String> told) {
        if (!hands.isOut(id)) {
            told.accept(director.names(id) ? null : "no runner has the id " + id);
            return;
        }
        keep(id, kept -> kept.putBack(id), (why, last) -> {
            // Guards against a runner in use that a later call has taken out: the last call counts.
            if (why == null && last) {
                hands.putBack(id, clock.now());
                director.seenAnew(id);
            }
            told.accept(why);
        });
    }

    /** Told on the event loop why it could not be kept, or null; and whether no later call was for the same runner. */
    private interface Kept {
        void kept(String why, boolean last);
    }

    private void keep(String id, Keeping keeping, Kept then) {
        if (folder == null) {
            then.kept(null, true);
            return;
        }
        long call = ++calls;
        lastCall.put(id, call);
        writer.execute(() -> {
            String why = null;
            try {
                keeping.keep(folder);
            } catch (IOException | RuntimeException e) {
                Logger.warn("a call for {} can't be kept: {}", id, e.toString());
                why = "it can't be kept: " + e.getClass().getSimpleName();
            }
            String told = why;
            loop.execute(() -> {
                boolean last = lastCall.remove(id, call);
                then.kept(told, last);
            });
        });
    }
}
