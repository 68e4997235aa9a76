package badgermux;

import badgermux.backend.Backends;
import badgermux.console.Console;
import badgermux.core.Clock;
import badgermux.core.Deadlines;
import badgermux.core.Engine;
import badgermux.discovery.Discovery;
import badgermux.discovery.ListDecoder;
import badgermux.front.Front;
import badgermux.cordon.Cordons;
import badgermux.http.Address;
import badgermux.upgrade.HandoverState;
import badgermux.upgrade.LearnedStateCodec;
import badgermux.upgrade.Link;
import badgermux.upgrade.HandoverReadiness;
import io.netty.bootstrap.Bootstrap;
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
import java.nio.file.attribute.PosixFilePermissions;
import java.security.MessageDigest;
import java.security.SecureRandom;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.Map;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import org.tinylog.Logger;

/** Joins this process to those before and after it: what they are told, and what comes of what they tell. */
final class Upgrade implements Link.End {
    /** How long a new process waits for the one before it to say what it holds. */
    private static final long ANSWER_WITHIN = 1_000_000;
    /** What a start takes until the process before has answered. */
    private static final long SHORTEST_START = 300_000, LONGEST_START = 2_000_000;
    /** How what it holds begins. */
    private static final String TOLD = "200 ";

    private final EventLoopGroup loop;
    private final Clock clock;
    private final Cordons cordons;
    private final String fingerprint;
    private final Path address;
    private final Executor writer;
    private final HandoverReadiness readiness = new HandoverReadiness();
    private final String secret = secret();
    private Deadlines deadlines;
    private Discovery discovery;
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
     * Knows of no other process yet.
     *
     * @param address where this one writes where the next one may call, and reads where the one before did; null for nowhere
     * @param writer  writes it
     * @param fingerprint of all settings: only what was learnt under the same is taken over
     */
    Upgrade(EventLoopGroup loop, Clock clock, Cordons cordons, Path address, Executor writer, String fingerprint) {
        this.fingerprint = fingerprint;
        this.loop = loop;
        this.clock = clock;
        this.cordons = cordons;
        this.address = address;
        this.writer = writer;
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

    /** Called on the event loop before clients are let in. */
    void join(Discovery list, Front clients, Backends runners, Engine<?> core, Console calls, int descriptors) {
        discovery = list;
        front = clients;
        backends = runners;
        engine = core;
        console = calls;
        sockets = descriptors;
        share();
        if (before != null) {
            beat();
        }
    }

    /** The console listens now. */
    void callable() {
        // Guards against a next process that finds nobody to ask: this one may serve before it listens for calls.
        if (before == null || readiness.isServing()) {
            writeAddress();
        }
    }

    /** SIGTERM has come: nobody takes over any more who has not yet. */
    void ending() {
        ending = true;
    }

    /** Why the process before may not be ended yet; null where it may. */
    String notYet() {
        return readiness.notYet(clock.now());
    }

    /** Tells the others of a call. */
    void tell(String line) {
        pass(null, line);
    }

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
                    // Guards against others who read the secret: the file is its owner's before it holds anything.
                    Path fresh = address.resolveSibling("console.new");
                    Files.writeString(fresh, "");
                    Files.setPosixFilePermissions(fresh, PosixFilePermissions.fromString("rw-------"));
                    Files.writeString(fresh, text);
                    Files.move(fresh, address, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
                } catch (IOException e) {
                    Logger.warn("the next process can't be told where to call: {}", e.toString());
                }
            });
        }
    }

    /** What goes on with the connection of the next process; null where the secret is not ours, or we are ending. */
    Link takeOver(String told) {
        boolean right = MessageDigest.isEqual(told.getBytes(StandardCharsets.UTF_8), secret.getBytes(StandardCharsets.UTF_8));
        return right && !ending ? new Link(deadlines, this) : null;
    }

    /** The next process is at the other end of this. */
    void takenOver(Link by) {
        Link earlier = after;
        after = by;
        afterServes = false;
        if (earlier != null) {
            earlier.close();    // it never got so far, or hangs: the latest counts
        }
        share();
        Map<String, Long> out = new HashMap<>();
        cordons.out().forEach((id, at) -> out.put(id, clock.toUnixMillis(at)));
        Map<String, long[]> back = new HashMap<>();
        cordons.back().forEach((id, absence) ->
            back.put(id, new long[] {clock.toUnixMillis(absence.from()), clock.toUnixMillis(absence.to())}));
        after.send(TOLD + new HandoverState(discovery.held(), out, back).encode());
        Logger.info("the next process is here");
        beat();
    }

    /** Says that we are alive, and what there is to say. */
    private void beat() {
        deadlines.cancel(beating);
        if (before == null && after == null) {
            return;
        }
        if (before != null && !readiness.isServing() && following == null && front.notReady() == null) {
            readiness.serving();
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
            case "LEFT" -> {
                readiness.handedOver();
                engine.inherit(LearnedStateCodec.decode(line.substring(parts[0].length()), fingerprint));
            }
            case "OPEN" -> {
                if (link == before) {
                    readiness.open(Integer.parseInt(parts[1]));
                }
            }
            case "OUT" -> {
                cordons.takeOut(parts[1], clock.now());
                discovery.seenAnew(parts[1]);
                pass(link, line);
            }
            case "BACK" -> {
                cordons.putBack(parts[1], clock.fromUnixMillis(Long.parseLong(parts[2])));
                discovery.seenAnew(parts[1]);
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
                HandoverState held = HandoverState.decode(line.substring(TOLD.length()));
                listing = ListDecoder.decode(held.list());
                Map<String, Long> out = new HashMap<>();
                held.out().forEach((id, millis) -> out.put(id, clock.fromUnixMillis(millis)));
                Map<String, Cordons.Absence> back = new HashMap<>();
                held.back().forEach((id, millis) -> back.put(id,
                    new Cordons.Absence(clock.fromUnixMillis(millis[0]), clock.fromUnixMillis(millis[1]))));
                cordons.become(out, back);
                readiness.linked(startedAt());
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

    /** When this process was started: by the system's word, which is to the second, within what a start can have taken. */
    private long startedAt() {
        long now = clock.now();
        long told = ProcessHandle.current().info().startInstant().map(at -> clock.fromUnixMillis(at.toEpochMilli())).orElse(now);
        return Math.max(now - LONGEST_START, Math.min(now - SHORTEST_START, told));
    }

    private void handOver(Link to) {
        if (to == after) {
            afterServes = true;
            // What is left to answer here needs no cold runner; their budget is the next process's.
            cordons.restCold(clock.now());
            discovery.allSeenAnew();
            to.send("LEFT " + LearnedStateCodec.encode(engine.leave(), fingerprint));
            front.handOver();
            Logger.info("handed over: the next process serves");
        }
    }

    @Override public void ended(Link link) {
        if (link == before) {
            before = null;
            readiness.lost();
            if (following != null) {
                Consumer<ListDecoder.Listing> then = following;
                following = null;
                then.accept(null);
                return;
            }
            if (!readiness.isServing()) {
                front.takeBack();
                writeAddress();
            }
            share();
            Logger.info("the process before has ended");
        } else if (link == after) {
            after = null;
            share();
            if (afterServes && !ending) {
                cordons.restCold(Long.MAX_VALUE);
                discovery.allSeenAnew();
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
        DescriptorBudget budget = DescriptorBudget.of(before == null && after == null ? sockets : sockets / 2, true);
        front.limit(budget.clients(), budget.overCap());
        backends.limit(budget.toBackends());
        console.limit(budget.callers());
    }

    private void pass(Link from, String line) {
        for (Link link : new Link[] {before, after}) {
            if (link != null && link != from) {
                link.send(line);
            }
        }
    }
}
