package badgermux;

import badgermux.backend.HttpBackendClient;
import badgermux.console.Console;
import badgermux.core.Clock;
import badgermux.core.Deadlines;
import badgermux.core.Engine;
import badgermux.discovery.DiscoveryClient;
import badgermux.discovery.BackendListCodec;
import badgermux.front.Frontend;
import badgermux.cordon.Cordons;
import badgermux.http.Address;
import badgermux.upgrade.HandoverState;
import badgermux.upgrade.LearnedStateCodec;
import badgermux.upgrade.HandoverLink;
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
final class HandoverCoordinator implements HandoverLink.Listener {
    /** How long a new process waits for the one before it to say what it holds. */
    private static final long TAKEOVER_REPLY_TIMEOUT_MICROS = 1_000_000;
    /** What a start takes until the process before has answered. */
    private static final long MIN_STARTUP_MICROS = 300_000, MAX_STARTUP_MICROS = 2_000_000;
    /** How what it holds begins. */
    private static final String STATE_REPLY_PREFIX = "200 ";

    private final EventLoopGroup loop;
    private final Clock clock;
    private final Cordons cordons;
    private final String settingsFingerprint;
    private final Path addressFile;
    private final Executor fileWriter;
    private final HandoverReadiness readiness = new HandoverReadiness();
    private final String secret = secret();
    private Deadlines deadlines;
    private DiscoveryClient discovery;
    private Frontend frontend;
    private HttpBackendClient backends;
    private Engine<?> engine;
    private Console console;
    private int maxDescriptors;
    private boolean ending;
    /** To the process before this one, and to the next one; null where there is none. */
    private HandoverLink previousLink;
    private HandoverLink nextLink;
    private boolean nextServes;
    private Deadlines.Deadline heartbeat;
    /** Told the list that the process before this one holds, or null. */
    private Consumer<BackendListCodec.BackendList> onPreviousList;

    /**
     * Knows of no other process yet.
     *
     * @param address where this one writes where the next one may call, and reads where the one before did; null for nowhere
     * @param writer  writes it
     * @param fingerprint of all settings: only what was learnt under the same is taken over
     */
    HandoverCoordinator(EventLoopGroup loop, Clock clock, Cordons cordons, Path address, Executor writer, String fingerprint) {
        this.settingsFingerprint = fingerprint;
        this.loop = loop;
        this.clock = clock;
        this.cordons = cordons;
        this.addressFile = address;
        this.fileWriter = writer;
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
    void attach(DiscoveryClient list, Frontend clients, HttpBackendClient runners, Engine<?> core, Console calls, int descriptors) {
        discovery = list;
        frontend = clients;
        backends = runners;
        engine = core;
        console = calls;
        maxDescriptors = descriptors;
        applyDescriptorBudget();
        if (previousLink != null) {
            sendHeartbeat();
        }
    }

    /** The console listens now. */
    void onConsoleListening() {
        // Guards against a next process that finds nobody to ask: this one may serve before it listens for calls.
        if (previousLink == null || readiness.isServing()) {
            writeAddressFile();
        }
    }

    /** SIGTERM has come: nobody takes over any more who has not yet. */
    void ending() {
        ending = true;
    }

    /** Why the process before may not be ended yet; null where it may. */
    String blockedReason() {
        return readiness.blockedReason(clock.nowMicros());
    }

    /** Tells the others of a call. */
    void broadcast(String line) {
        forward(null, line);
    }

    /** Whether a process before this one still serves. */
    boolean hasPrevious() {
        return previousLink != null;
    }

    /**
     * Asks the process before this one, if it wrote down where, to hand over; called on the event loop, before anything
     * else is made.
     *
     * @param then told the list that it holds, or null where there is none
     */
    void takeOverFromPrevious(Deadlines due, Consumer<BackendListCodec.BackendList> then) {
        deadlines = due;
        String[] parts = readAddressFile();
        InetSocketAddress at = parts == null ? null : Address.parse(parts[0]);
        if (at == null) {
            then.accept(null);
            return;
        }
        onPreviousList = then;
        previousLink = new HandoverLink(deadlines, this);
        deadlines.scheduleAfter(TAKEOVER_REPLY_TIMEOUT_MICROS, () -> {
            if (onPreviousList != null && previousLink != null) {
                previousLink.close();
            }
        });
        HandoverLink link = previousLink;
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
    private String[] readAddressFile() {
        try {
            String[] parts = addressFile == null ? new String[0] : Files.readString(addressFile).strip().split(" ");
            return parts.length == 2 ? parts : null;
        } catch (IOException e) {
            return null;    // nobody was here before, or nobody who can be asked
        }
    }

    private void writeAddressFile() {
        SocketAddress at = console.address();
        if (addressFile != null && at instanceof InetSocketAddress bound) {
            String text = bound.getAddress().getHostAddress() + ':' + bound.getPort() + ' ' + secret + '\n';
            fileWriter.execute(() -> {
                try {
                    // Guards against others who read the secret: the file is its owner's before it holds anything.
                    Path fresh = addressFile.resolveSibling("console.new");
                    Files.writeString(fresh, "");
                    Files.setPosixFilePermissions(fresh, PosixFilePermissions.fromString("rw-------"));
                    Files.writeString(fresh, text);
                    Files.move(fresh, addressFile, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
                } catch (IOException e) {
                    Logger.warn("the next process can't be told where to call: {}", e.toString());
                }
            });
        }
    }

    /** What goes on with the connection of the next process; null where the secret is not ours, or we are ending. */
    HandoverLink createHandoverLink(String told) {
        boolean right = MessageDigest.isEqual(told.getBytes(StandardCharsets.UTF_8), secret.getBytes(StandardCharsets.UTF_8));
        return right && !ending ? new HandoverLink(deadlines, this) : null;
    }

    /** The next process is at the other end of this. */
    void startHandover(HandoverLink by) {
        HandoverLink earlier = nextLink;
        nextLink = by;
        nextServes = false;
        if (earlier != null) {
            earlier.close();    // it never got so far, or hangs: the latest counts
        }
        applyDescriptorBudget();
        Map<String, Long> out = new HashMap<>();
        cordons.cordoned().forEach((id, at) -> out.put(id, clock.toUnixMillis(at)));
        Map<String, long[]> back = new HashMap<>();
        cordons.absences().forEach((id, absence) ->
            back.put(id, new long[] {clock.toUnixMillis(absence.cordonedAt()), clock.toUnixMillis(absence.returnedAt())}));
        nextLink.send(STATE_REPLY_PREFIX + new HandoverState(discovery.encodeList(), out, back).encode());
        Logger.info("the next process is here");
        sendHeartbeat();
    }

    /** Says that we are alive, and what there is to say. */
    private void sendHeartbeat() {
        deadlines.cancel(heartbeat);
        if (previousLink == null && nextLink == null) {
            return;
        }
        if (previousLink != null && !readiness.isServing() && onPreviousList == null && frontend.notReadyReason() == null) {
            readiness.servingStarted();
            frontend.cancelHandover();
            previousLink.send("SERVING");
            writeAddressFile();
            Logger.info("serving; the process before answers what it has taken");
        }
        for (HandoverLink link : new HandoverLink[] {previousLink, nextLink}) {
            if (link != null) {
                link.send("OPEN " + engine.openRequestCount());
            }
        }
        heartbeat = deadlines.scheduleAfter(HandoverLink.HEARTBEAT_MICROS, this::sendHeartbeat);
    }

    @Override public void onLine(HandoverLink link, String line) {
        if (link == previousLink && onPreviousList != null) {
            handleTakeoverReply(line);
            return;
        }
        try {
            handleLine(link, line);
        } catch (RuntimeException e) {
            // Guards against another version's lines: they change nothing, and the upgrade goes on.
            Logger.warn("a line of the other process can't be read: {}", e.toString());
        }
    }

    private void handleLine(HandoverLink link, String line) {
        String[] parts = line.split(" ");
        switch (parts[0]) {
            case "SERVING" -> handOverTo(link);
            case "LEFT" -> {
                readiness.previousHandedOver();
                engine.importLearnedState(LearnedStateCodec.decode(line.substring(parts[0].length()), settingsFingerprint));
            }
            case "OPEN" -> {
                if (link == previousLink) {
                    readiness.previousReportsOpen(Integer.parseInt(parts[1]));
                }
            }
            case "OUT" -> {
                cordons.cordon(parts[1], clock.nowMicros());
                discovery.republish(parts[1]);
                forward(link, line);
            }
            case "BACK" -> {
                cordons.uncordon(parts[1], clock.fromUnixMillis(Long.parseLong(parts[2])));
                discovery.republish(parts[1]);
                forward(link, line);
            }
            default -> Logger.warn("the other process says what this one does not know: {}", parts[0]);
        }
    }

    /** The process before this one has answered: what it holds counts, and not what was read at the start. */
    private void handleTakeoverReply(String line) {
        BackendListCodec.BackendList listing = null;
        try {
            if (line.startsWith(STATE_REPLY_PREFIX)) {
                HandoverState held = HandoverState.decode(line.substring(STATE_REPLY_PREFIX.length()));
                listing = BackendListCodec.decode(held.backendList());
                Map<String, Long> out = new HashMap<>();
                held.cordoned().forEach((id, millis) -> out.put(id, clock.fromUnixMillis(millis)));
                Map<String, Cordons.Absence> back = new HashMap<>();
                held.returned().forEach((id, millis) -> back.put(id,
                    new Cordons.Absence(clock.fromUnixMillis(millis[0]), clock.fromUnixMillis(millis[1]))));
                cordons.replaceAll(out, back);
                readiness.previousConnected(processStartMicros());
            }
        } catch (RuntimeException e) {
            listing = null;
            Logger.warn("what the process before tells can't be read: {}", e.toString());
        }
        if (listing == null) {
            previousLink.close();
            return;
        }
        Consumer<BackendListCodec.BackendList> then = onPreviousList;
        onPreviousList = null;
        then.accept(listing);
    }

    /** When this process was started: by the system's word, which is to the second, within what a start can have taken. */
    private long processStartMicros() {
        long now = clock.nowMicros();
        long told = ProcessHandle.current().info().startInstant().map(at -> clock.fromUnixMillis(at.toEpochMilli())).orElse(now);
        return Math.max(now - MAX_STARTUP_MICROS, Math.min(now - MIN_STARTUP_MICROS, told));
    }

    private void handOverTo(HandoverLink to) {
        if (to == nextLink) {
            nextServes = true;
            // What is left to answer here needs no cold runner; their budget is the next process's.
            cordons.drainCold(clock.nowMicros());
            discovery.republishAll();
            to.send("LEFT " + LearnedStateCodec.encode(engine.exportLearnedState(), settingsFingerprint));
            frontend.handOver();
            Logger.info("handed over: the next process serves");
        }
    }

    @Override public void onClosed(HandoverLink link) {
        if (link == previousLink) {
            previousLink = null;
            readiness.previousDisconnected();
            if (onPreviousList != null) {
                Consumer<BackendListCodec.BackendList> then = onPreviousList;
                onPreviousList = null;
                then.accept(null);
                return;
            }
            if (!readiness.isServing()) {
                frontend.cancelHandover();
                writeAddressFile();
            }
            applyDescriptorBudget();
            Logger.info("the process before has ended");
        } else if (link == nextLink) {
            nextLink = null;
            applyDescriptorBudget();
            if (nextServes && !ending) {
                cordons.drainCold(Long.MAX_VALUE);
                discovery.republishAll();
                frontend.cancelHandover();
                Logger.warn("the next process has ended, or hangs: this one serves again");
            }
            if (!ending) {
                writeAddressFile();
            }
        }
    }

    /** The two of an upgrade have half of the descriptors each: one dispatcher may hold no more than all. */
    private void applyDescriptorBudget() {
        DescriptorBudget budget = DescriptorBudget.of(previousLink == null && nextLink == null ? maxDescriptors : maxDescriptors / 2, true);
        frontend.setConnectionLimits(budget.clientConnections(), budget.excessClientConnections());
        backends.setMaxConnections(budget.backendConnections());
        console.setMaxConnections(budget.consoleConnections());
    }

    private void forward(HandoverLink from, String line) {
        for (HandoverLink link : new HandoverLink[] {previousLink, nextLink}) {
            if (link != null && link != from) {
                link.send(line);
            }
        }
    }
}
