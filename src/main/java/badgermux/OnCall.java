package badgermux;

import badgermux.backend.Backends;
import badgermux.console.Console;
import badgermux.console.Desk;
import badgermux.core.Clock;
import badgermux.core.Deadlines;
import badgermux.core.Engine;
import badgermux.director.Director;
import badgermux.director.ListDecoder;
import badgermux.front.Front;
import badgermux.hand.Hands;
import badgermux.http.Address;
import badgermux.metrics.Metrics;
import badgermux.operator.OutFolder;
import badgermux.upgrade.Heritages;
import badgermux.upgrade.Link;
import badgermux.upgrade.Succession;
import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.security.MessageDigest;
import java.security.SecureRandom;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.Consumer;
import org.tinylog.Logger;

/**
 * Joins what operators call with what they call for: the console, the runners out by hand, where those are kept, and the
 * processes before and after this one in an upgrade.
 */
final class OnCall implements Desk, Link.End {
    /** What is kept of a call; false where it can't be. */
    private interface Keeping {
        void keep(OutFolder folder) throws IOException;
    }

    /** How long a new process waits for the one before it to say what it holds. */
    private static final long ANSWER_WITHIN = 1_000_000;
    /** How what it holds begins. */
    private static final String TOLD = "200 ";

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
    private final Succession succession = new Succession();
    private final String secret = secret();
    private final Path address;
    private long calls;
    private Deadlines deadlines;
    private Metrics metrics;
    private Director director;
    private Front front;
    private Backends backends;
    private Engine<?> engine;
    private Console console;
    private int sockets;
    private boolean ending;
    /** To the process before this one, and to the next one; null where there is none. */
    private Link before;
    private Link after;
    private boolean afterServes;
    private Deadlines.Deadline beating;
    /** Told the list that the process before this one holds, or null. */
    private Consumer<ListDecoder.Listing> following;

    /**
     * Reads which runners are out.
     *
     * @param name    the dispatcher's: what is kept is kept under it
     * @param coldFor how long a runner that came back is cold
     * @param folder  $TMPDIR; null where nothing can be kept
     */
    OnCall(String name, long coldFor, String folder, EventLoopGroup loop, Clock clock) {
        this.loop = loop;
        this.clock = clock;
        hands = new Hands(coldFor);
        Path kept = folder == null || folder.isBlank() ? null
            : Path.of(folder, "badgermux-" + name.replaceAll("[^A-Za-z0-9_.-]", "_"));
        this.folder = kept == null ? null : open(kept, coldFor);
        address = this.folder == null ? null : kept.resolve("console");
        if (this.folder == null) {
            Logger.warn("runners taken out by hand are not kept over an upgrade: TMPDIR is not set, or can't be used");
        }
    }

    /** From the system's source: to load what Java has for it costs a start a tenth of its time. */
    private static String secret() {
        try (InputStream random = Files.newInputStream(Path.of("/dev/urandom"))) {
            return HexFormat.of().formatHex(random.readNBytes(16));
        } catch (IOException e) {
            byte[] bytes = new byte[16];
            new SecureRandom().nextBytes(bytes);
            return HexFormat.of().formatHex(bytes);
        }
    }

    private OutFolder open(Path kept, long coldFor) {
        try {
            OutFolder opened = OutFolder.open(kept);
            opened.out().forEach((id, millis) -> hands.takeOut(id, clock.fromUnixMillis(millis)));
            opened.back(System.currentTimeMillis() - coldFor / 1000).forEach((id, millis) -> hands.cameBack(id,
                new Hands.Absence(clock.fromUnixMillis(millis[0]), clock.fromUnixMillis(millis[1]))));
            if (!hands.out().isEmpty()) {
                Logger.info("out by hand: {}", hands.out().keySet());
            }
            return opened;
        } catch (IOException e) {
            // Guards against a start that fails for it: jobs go before what operators set.
            Logger.warn("what is kept of runners out by hand can't be read: {}", e.toString());
            return null;
        }
    }

    Hands hands() {
        return hands;
    }

    /** Called on the event loop before clients are let in. */
    void join(Director list, Front clients, Backends runners, Engine<?> core, Deadlines due, Metrics counts, int descriptors) {
        director = list;
        front = clients;
        backends = runners;
        engine = core;
        deadlines = due;
        metrics = counts;
        sockets = descriptors;
        console = new Console(loop, deadlines, counts, this, Room.of(sockets, true).callers());
        share();
        if (before != null) {
            beat();
        }
    }

    ChannelFuture listen(InetSocketAddress at) {
        ChannelFuture bound = console.listen(at);
        bound.addListener(done -> {
            // Guards against a next process that finds nobody to ask: this one may serve before it listens for calls.
            if (done.isSuccess() && (before == null || succession.isServing())) {
                writeAddress();
            }
        });
        return bound;
    }

    /** SIGTERM has come: calls are answered until the end, and the next process is told of nothing but that. */
    void ending() {
        ending = true;
    }

    void close() {
        console.close();
    }

    // ---- The processes before and after this one

    /** Whether a process before this one still serves. */
    boolean follows() {
        return before != null;
    }

    /**
     * Asks the process before this one, if it wrote down where, to hand over; called on the event loop, before anything
     * else is made.
     *
     * @param then told the list that it holds, or null where there is none
     */
    void follow(Deadlines due, Consumer<ListDecoder.Listing> then) {
        deadlines = due;
        String[] parts = writtenAddress();
        InetSocketAddress at = parts == null ? null : Address.parse(parts[0]);
        if (at == null) {
            then.accept(null);
            return;
        }
        following = then;
        before = new Link(deadlines, this);
        deadlines.after(ANSWER_WITHIN, () -> {
            if (following != null && before != null) {
                before.close();
            }
        });
        Link link = before;
        new Bootstrap().group(loop).channel(NioSocketChannel.class).option(ChannelOption.TCP_NODELAY, true).handler(link)
            .connect(at).addListener(done -> {
                if (done.isSuccess()) {
                    link.send("TAKEOVER " + parts[1]);
                } else {
                    link.close();
                }
            });
    }

    /** Read before anything is served, so on the event loop: a file in memory of some bytes. */
    private String[] writtenAddress() {
        try {
            String[] parts = address == null ? new String[0] : Files.readString(address).strip().split(" ");
            return parts.length == 2 ? parts : null;
        } catch (IOException e) {
            return null;    // nobody was here before, or nobody who can be asked
        }
    }

    private void writeAddress() {
        SocketAddress at = console.address();
        if (address != null && at instanceof InetSocketAddress bound) {
            String text = bound.getAddress().getHostAddress() + ':' + bound.getPort() + ' ' + secret + '\n';
            writer.execute(() -> {
                try {
                    Path fresh = address.resolveSibling("console.new");
                    Files.writeString(fresh, text);
                    Files.move(fresh, address, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
                } catch (IOException e) {
                    Logger.warn("the next process can't be told where to call: {}", e.toString());
                }
            });
        }
    }

    @Override public ChannelHandler takeOver(String told) {
        boolean right = MessageDigest.isEqual(told.getBytes(StandardCharsets.UTF_8), secret.getBytes(StandardCharsets.UTF_8));
        return right && !ending ? new Link(deadlines, this) : null;
    }

    @Override public void takenOver(ChannelHandler by) {
        Link earlier = after;
        after = (Link) by;
        afterServes = false;
        if (earlier != null) {
            earlier.close();    // it never got so far, or hangs: the latest counts
        }
        share();
        JsonObject state = new JsonObject();
        state.add("list", director.held());
        JsonObject out = new JsonObject();
        hands.out().forEach((id, at) -> out.addProperty(id, clock.toUnixMillis(at)));
        state.add("out", out);
        JsonObject back = new JsonObject();
        hands.back().forEach((id, absence) -> {
            JsonArray times = new JsonArray();
            times.add(clock.toUnixMillis(absence.from()));
            times.add(clock.toUnixMillis(absence.to()));
            back.add(id, times);
        });
        state.add("back", back);
        after.send(TOLD + state);
        Logger.info("the next process is here");
        beat();
    }

    /** Says that we are alive, and what there is to say. */
    private void beat() {
        deadlines.cancel(beating);
        if (before == null && after == null) {
            return;
        }
        if (before != null && !succession.isServing() && following == null && front.notReady() == null) {
            succession.serving();
            front.takeBack();
            before.send("SERVING");
            writeAddress();
            Logger.info("serving; the process before answers what it has taken");
        }
        for (Link link : new Link[] {before, after}) {
            if (link != null) {
                link.send("OPEN " + engine.open());
            }
        }
        beating = deadlines.after(Link.BEAT, this::beat);
    }

    @Override public void line(Link link, String line) {
        if (link == before && following != null) {
            followed(line);
            return;
        }
        try {
            said(link, line);
        } catch (RuntimeException e) {
            // Guards against another version's lines: they change nothing, and the upgrade goes on.
            Logger.warn("a line of the other process can't be read: {}", e.toString());
        }
    }

    private void said(Link link, String line) {
        String[] parts = line.split(" ");
        switch (parts[0]) {
            case "SERVING" -> handOver(link);
            case "LEFT" -> engine.inherit(Heritages.decode(line.substring(parts[0].length())));
            case "OPEN" -> {
                if (link == before) {
                    succession.open(Integer.parseInt(parts[1]));
                }
            }
            case "OUT" -> {
                hands.takeOut(parts[1], clock.now());
                director.seenAnew(parts[1]);
                pass(link, line);
            }
            case "BACK" -> {
                hands.putBack(parts[1], clock.fromUnixMillis(Long.parseLong(parts[2])));
                director.seenAnew(parts[1]);
                pass(link, line);
            }
            default -> Logger.warn("the other process says what this one does not know: {}", parts[0]);
        }
    }

    /** The process before this one has answered: what it holds counts, and not what was read at the start. */
    private void followed(String line) {
        ListDecoder.Listing listing = null;
        try {
            if (line.startsWith(TOLD)) {
                JsonObject state = JsonParser.parseString(line.substring(TOLD.length())).getAsJsonObject();
                Map<String, Long> out = new HashMap<>();
                state.getAsJsonObject("out").entrySet()
                    .forEach(e -> out.put(e.getKey(), clock.fromUnixMillis(e.getValue().getAsLong())));
                Map<String, Hands.Absence> back = new HashMap<>();
                state.getAsJsonObject("back").entrySet().forEach(e -> back.put(e.getKey(), new Hands.Absence(
                    clock.fromUnixMillis(e.getValue().getAsJsonArray().get(0).getAsLong()),
                    clock.fromUnixMillis(e.getValue().getAsJsonArray().get(1).getAsLong()))));
                listing = ListDecoder.decode(state.get("list").toString());
                hands.become(out, back);
                succession.linked(startedAt());
            }
        } catch (RuntimeException e) {
            listing = null;
            Logger.warn("what the process before tells can't be read: {}", e.toString());
        }
        if (listing == null) {
            before.close();
            return;
        }
        Consumer<ListDecoder.Listing> then = following;
        following = null;
        then.accept(listing);
    }

    /** When this process was started; now, where that is not known. */
    private long startedAt() {
        return ProcessHandle.current().info().startInstant().map(at -> clock.fromUnixMillis(at.toEpochMilli()))
            .orElseGet(clock::now);
    }

    private void handOver(Link to) {
        if (to == after) {
            afterServes = true;
            // What is left to answer here needs no cold runner; their budget is the next process's.
            hands.restCold(clock.now());
            director.allSeenAnew();
            to.send("LEFT " + Heritages.encode(engine.leave()));
            front.handOver();
            Logger.info("handed over: the next process serves");
        }
    }

    @Override public void ended(Link link) {
        if (link == before) {
            before = null;
            succession.lost();
            if (following != null) {
                Consumer<ListDecoder.Listing> then = following;
                following = null;
                then.accept(null);
                return;
            }
            if (!succession.isServing()) {
                front.takeBack();
                writeAddress();
            }
            share();
            Logger.info("the process before has ended");
        } else if (link == after) {
            after = null;
            share();
            if (afterServes && !ending) {
                hands.restCold(Long.MAX_VALUE);
                director.allSeenAnew();
                front.takeBack();
                Logger.warn("the next process has ended, or hangs: this one serves again");
            }
            if (!ending) {
                writeAddress();
            }
        }
    }

    /** The two of an upgrade have half of the descriptors each: one dispatcher may hold no more than all. */
    private void share() {
        Room room = Room.of(before == null && after == null ? sockets : sockets / 2, true);
        front.limit(room.clients(), room.overCap());
        backends.limit(room.toBackends());
        console.limit(room.callers());
    }

    private void pass(Link from, String line) {
        for (Link link : new Link[] {before, after}) {
            if (link != null && link != from) {
                link.send(line);
            }
        }
    }

    // ---- What callers reach, on the event loop

    @Override public String notReady() {
        String why = front.notReady();
        return why != null ? why : succession.notYet(clock.now());
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
        hands.takeOut(id, clock.now());
        director.seenAnew(id);
        Logger.info("{} is out by hand", id);
        keep(id, kept -> kept.takeOut(id), (why, last) -> {
            if (why != null && !was && last) {
                hands.putBack(id, clock.now());
                director.seenAnew(id);
            } else if (last) {
                pass(null, "OUT " + id);
            }
            told.accept(why);
        });
    }

    @Override public void putBack(String id, Consumer<String> told) {
        if (!hands.isOut(id)) {
            told.accept(director.names(id) ? null : "no runner has the id " + id);
            return;
        }
        long since = clock.toUnixMillis(hands.outSince(id));
        keep(id, kept -> kept.putBack(id, since), (why, last) -> {
            // Guards against a runner in use that a later call has taken out: the last call counts.
            if (why == null && last) {
                long now = clock.now();
                hands.putBack(id, now);
                director.seenAnew(id);
                pass(null, "BACK " + id + ' ' + clock.toUnixMillis(now));
                Logger.info("{} is back by hand", id);
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
