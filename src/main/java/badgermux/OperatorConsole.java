package badgermux;

import badgermux.backend.Backends;
import badgermux.console.Console;
import badgermux.console.CommandHandler;
import badgermux.core.Clock;
import badgermux.core.Deadlines;
import badgermux.core.Engine;
import badgermux.discovery.Discovery;
import badgermux.front.Front;
import badgermux.cordon.Cordons;
import badgermux.metrics.Metrics;
import badgermux.operator.OutFolder;
import badgermux.upgrade.Link;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.Consumer;
import org.tinylog.Logger;

/** Joins what operators call with what they call for: the console, the runners cordoned, and where those are kept. */
final class OperatorConsole implements CommandHandler {
    /** Keeps a call. */
    private interface Keeping {
        void keep(OutFolder folder) throws IOException;
    }

    private final EventLoopGroup loop;
    private final Clock clock;
    private final Cordons cordons;
    private final OutFolder folder;
    /** Files are written here: the event loop waits for no disk. */
    private final ExecutorService writer = Executors.newSingleThreadExecutor(work -> {
        Thread thread = new Thread(work, "out-folder");
        thread.setDaemon(true);
        return thread;
    });
    /** The number of the last call for each runner that a file is being written for. */
    private final Map<String, Long> lastCall = new HashMap<>();
    private final Upgrade upgrade;
    private long calls;
    private Metrics metrics;
    private Discovery discovery;
    private Front front;
    private Console console;

    /**
     * Reads which runners are out.
     *
     * @param name    the dispatcher's: what is kept is kept under it
     * @param coldFor how long a runner that came back is cold
     * @param folder  $TMPDIR; null where nothing can be kept
     * @param fingerprint of all settings
     */
    OperatorConsole(String name, long coldFor, String folder, EventLoopGroup loop, Clock clock, String fingerprint) {
        this.loop = loop;
        this.clock = clock;
        cordons = new Cordons(coldFor);
        Path kept = folder == null || folder.isBlank() ? null
            : Path.of(folder, "badgermux-" + name.replaceAll("[^A-Za-z0-9_.-]", "_"));
        this.folder = open(kept, coldFor);
        upgrade = new Upgrade(loop, clock, cordons, this.folder == null ? null : kept.resolve("console"), writer,
            fingerprint);
    }

    /** Null where nothing can be kept, which the log says. */
    private OutFolder open(Path kept, long coldFor) {
        try {
            if (kept == null) {
                throw new IOException("TMPDIR is not set");
            }
            OutFolder opened = OutFolder.open(kept);
            opened.out().forEach((id, millis) -> cordons.takeOut(id, clock.fromUnixMillis(millis)));
            opened.back(System.currentTimeMillis() - coldFor / 1000).forEach((id, millis) -> cordons.cameBack(id,
                new Cordons.Absence(clock.fromUnixMillis(millis[0]), clock.fromUnixMillis(millis[1]))));
            if (!cordons.out().isEmpty()) {
                Logger.info("out by hand: {}", cordons.out().keySet());
            }
            return opened;
        } catch (IOException e) {
            // Guards against a start that fails for it: jobs go before what operators set.
            Logger.warn("runners out by hand are not kept beyond this process: {}", e.toString());
            return null;
        }
    }

    Cordons cordons() {
        return cordons;
    }

    /** The processes before and after this one. */
    Upgrade upgrade() {
        return upgrade;
    }

    /** Called on the event loop before clients are let in. */
    void join(Discovery list, Front clients, Backends runners, Engine<?> engine, Deadlines deadlines, Metrics counts, int sockets) {
        discovery = list;
        front = clients;
        metrics = counts;
        console = new Console(loop, deadlines, counts, this, DescriptorBudget.of(sockets, true).callers());
        upgrade.join(list, clients, runners, engine, console, sockets);
    }

    ChannelFuture listen(InetSocketAddress at) {
        ChannelFuture bound = console.listen(at);
        bound.addListener(done -> {
            if (done.isSuccess()) {
                upgrade.callable();
            }
        });
        return bound;
    }

    void close() {
        console.close();
    }

    // ---- What callers reach, on the event loop

    @Override public String notReady() {
        String why = front.notReady();
        return why != null ? why : upgrade.notYet();
    }

    @Override public String figures() {
        return metrics.dump();
    }

    @Override public void takeOut(String id, Consumer<String> told) {
        if (!discovery.names(id) && !cordons.isOut(id)) {
            told.accept("no runner has the id " + id);
            return;
        }
        boolean was = cordons.isOut(id);
        // At once: what is not sent while the file is written is not missed.
        cordons.takeOut(id, clock.now());
        discovery.seenAnew(id);
        Logger.info("{} is out by hand", id);
        keep(id, kept -> kept.takeOut(id), (why, last) -> {
            if (why != null && !was && last) {
                cordons.putBack(id, clock.now());
                discovery.seenAnew(id);
            } else if (last) {
                upgrade.tell("OUT " + id);
            }
            told.accept(why);
        });
    }

    @Override public void putBack(String id, Consumer<String> told) {
        if (!cordons.isOut(id)) {
            told.accept(discovery.names(id) ? null : "no runner has the id " + id);
            return;
        }
        long since = clock.toUnixMillis(cordons.outSince(id));
        keep(id, kept -> kept.putBack(id, since), (why, last) -> {
            // Guards against a runner in use that a later call has taken out: the last call counts.
            if (why == null && last) {
                long now = clock.now();
                cordons.putBack(id, now);
                discovery.seenAnew(id);
                upgrade.tell("BACK " + id + ' ' + clock.toUnixMillis(now));
                Logger.info("{} is back by hand", id);
            }
            told.accept(why);
        });
    }

    @Override public ChannelHandler takeOver(String secret) {
        return upgrade.takeOver(secret);
    }

    @Override public void takenOver(ChannelHandler by) {
        upgrade.takenOver((Link) by);
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
