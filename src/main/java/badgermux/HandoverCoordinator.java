package badgermux;

import badgermux.backend.HttpBackendClient;
import badgermux.console.Console;
import badgermux.cordon.Cordons;
import badgermux.core.Clock;
import badgermux.core.Deadlines;
import badgermux.core.Engine;
import badgermux.discovery.BackendListCodec;
import badgermux.discovery.DiscoveryClient;
import badgermux.front.Frontend;
import badgermux.http.Address;
import badgermux.upgrade.AcceptQueueFile;
import badgermux.upgrade.HandoverLink;
import badgermux.upgrade.HandoverReadiness;
import badgermux.upgrade.HandoverState;
import badgermux.upgrade.LearnedStateCodec;
import badgermux.upgrade.SettingsReplication;
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
import java.util.Arrays;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.Map;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import org.tinylog.Logger;

/**
 * Coordinates a hot restart with the previous and the next process of this dispatcher: takes over the backend list, cordons
 * and learned state from the previous process, and hands them over to the next one.
 *
 * <p>The next process connects to the console and sends TAKEOVER; the previous one replies with its {@link HandoverState}.
 * Once the next process serves, it sends SERVING; the previous one stops accepting clients and replies with LEFT and its
 * learned state. Both send OPEN, with the number of their open requests and the Unix time in milliseconds since when clients
 * may wait in the listening socket's queue (0 if unknown; missing in older versions), as a heartbeat, OUT and BACK for
 * cordons, and SENT with the ids of requests that must not run again: all that are known when the link is established, then
 * each one as it is submitted. A version that does not know SENT ignores it. {@link SettingsReplication} has lines of its own,
 * and this process serves only once that has made it the owner of the settings.
 */
final class HandoverCoordinator implements HandoverLink.Listener {
    /** How long a new process waits for the reply to TAKEOVER. */
    private static final long TAKEOVER_REPLY_TIMEOUT_MICROS = 1_000_000;
    /** The least time from the start of a process to the previous process's reply. */
    private static final long MIN_STARTUP_MICROS = 300_000;
    /** The greatest time from the start of a process to the previous process's reply. */
    private static final long MAX_STARTUP_MICROS = 2_000_000;
    /** Precedes the handover state in the reply to TAKEOVER. */
    private static final String STATE_REPLY_PREFIX = "200 ";

    private final EventLoopGroup loop;
    private final Clock clock;
    private final Cordons cordons;
    private final String settingsFingerprint;
    private final Path addressFile;
    /** Null where nothing can be stored. */
    private final AcceptQueueFile acceptQueueFile;
    private final Executor fileWriter;
    private final HandoverReadiness readiness = new HandoverReadiness();
    private final SettingsReplication settings;
    /** Authenticates the next process, which reads it from the address file. */
    private final String secret = newSecret();
    private Deadlines deadlines;
    private DiscoveryClient discovery;
    private Frontend frontend;
    private HttpBackendClient backends;
    private Engine<?> engine;
    private Console console;
    private int maxDescriptors;
    private boolean shuttingDown;
    /** The link to the previous process; null where there is none. */
    private HandoverLink previousLink;
    /** The link to the next process; null where there is none. */
    private HandoverLink nextLink;
    private boolean nextServes;
    /** Whether clients have been left to a next process, and this one has not begun to serve again. */
    private boolean handedOver;
    private Deadlines.Deadline heartbeat;
    /** Receives the previous process's backend list, or null where there is none; set until the reply is in. */
    private Consumer<BackendListCodec.BackendList> onPreviousList;

    /**
     * Creates a coordinator without links.
     *
     * @param addressFile         where each process writes its console's address and secret for the next one; null where
     *                            nothing can be stored
     * @param fileWriter          runs the writes of that file
     * @param settingsFingerprint hash of all settings; learned state is exchanged only between equal settings
     * @param settings            replicates what operators have set
     */
    HandoverCoordinator(EventLoopGroup loop, Clock clock, Cordons cordons, Path addressFile, Executor fileWriter,
            String settingsFingerprint, SettingsReplication settings) {
        this.settings = settings;
        this.settingsFingerprint = settingsFingerprint;
        this.loop = loop;
        this.clock = clock;
        this.cordons = cordons;
        this.addressFile = addressFile;
        acceptQueueFile = addressFile == null ? null : new AcceptQueueFile(addressFile.getParent());
        this.fileWriter = fileWriter;
    }

    /** Reads /dev/urandom directly: loading Java's random number classes would take a tenth of the startup time. */
    private static String newSecret() {
        try (InputStream random = Files.newInputStream(Path.of("/dev/urandom"))) {
            return HexFormat.of().formatHex(random.readNBytes(16));
        } catch (IOException e) {
            byte[] bytes = new byte[16];
            new SecureRandom().nextBytes(bytes);
            return HexFormat.of().formatHex(bytes);
        }
    }

    /** Sets the components that a handover affects. Called on the event loop before clients can connect. */
    void attach(DiscoveryClient newDiscovery, Frontend newFrontend, HttpBackendClient newBackends, Engine<?> newEngine,
            Console newConsole, int descriptorLimit) {
        discovery = newDiscovery;
        frontend = newFrontend;
        backends = newBackends;
        engine = newEngine;
        console = newConsole;
        maxDescriptors = descriptorLimit;
        frontend.setUnrepeatableIdListener(id -> broadcast("SENT " + id));
        applyDescriptorBudget();
        if (previousLink != null) {
            settings.onPreviousConnected(previousLink);
            sendHeartbeat();
        }
    }

    /** Called once the console listens. */
    void onConsoleListening() {
        // This process may serve before its console listens; without this the next process would find no address.
        if (previousLink == null || readiness.isServing()) {
            writeAddressFile();
        }
    }

    /** Refuses further TAKEOVER commands. Called when SIGTERM was received. */
    void stopTakeovers() {
        shuttingDown = true;
    }

    /**
     * Returns since when clients may have waited in the listening socket's queue, as the previous process has left it; 0 if it
     * has left nothing. Reads a small file; called before anything is served.
     */
    long storedQueuedSinceMicros() {
        return acceptQueueFile == null ? 0 : clock.fromUnixMillis(acceptQueueFile.readMillis());
    }

    /** Stores the same for the next process, if this one has just stopped accepting from a shared socket. */
    void storeQueuedSince() {
        if (acceptQueueFile == null || !frontend.isListenerShared() || nextServes) {
            return;
        }
        long millis = clock.toUnixMillis(frontend.queuedSinceMicros());
        fileWriter.execute(() -> {
            try {
                acceptQueueFile.writeMillis(millis);
            } catch (IOException e) {
                Logger.warn("Failed to write since when clients wait for the next process: {}", e.toString());
            }
        });
    }

    /** Returns why the previous process must not be stopped yet; null where it may be. */
    String blockedReason() {
        return readiness.blockedReason(clock.nowMicros());
    }

    /** Sends a line to the previous and the next process. */
    void broadcast(String line) {
        forward(null, line);
    }

    /** Whether a link to the previous process is open. */
    boolean hasPrevious() {
        return previousLink != null;
    }

    /**
     * Asks the previous process, if it left an address, to hand over. Called on the event loop before any component is
     * created.
     *
     * @param callback receives the previous process's backend list; null where there is none
     */
    void takeOverFromPrevious(Deadlines newDeadlines, Consumer<BackendListCodec.BackendList> callback) {
        deadlines = newDeadlines;
        String[] addressAndSecret = readAddressFile();
        InetSocketAddress address = addressAndSecret == null ? null : Address.parse(addressAndSecret[0]);
        if (address == null) {
            callback.accept(null);
            return;
        }
        onPreviousList = callback;
        previousLink = new HandoverLink(deadlines, this);
        deadlines.scheduleAfter(TAKEOVER_REPLY_TIMEOUT_MICROS, () -> {
            if (onPreviousList != null && previousLink != null) {
                previousLink.close();
            }
        });
        HandoverLink link = previousLink;
        new Bootstrap().group(loop).channel(NioSocketChannel.class).option(ChannelOption.TCP_NODELAY, true).handler(link)
            .connect(address).addListener(done -> {
                if (done.isSuccess()) {
                    link.send("TAKEOVER " + addressAndSecret[1]);
                } else {
                    link.close();
                }
            });
    }

    /** Reads the file on the event loop: nothing is served yet, and it is a small file in memory. */
    private String[] readAddressFile() {
        try {
            String[] parts = addressFile == null ? new String[0] : Files.readString(addressFile).strip().split(" ");
            return parts.length == 2 ? parts : null;
        } catch (IOException e) {
            return null;    // no previous process, or none that can hand over
        }
    }

    private void writeAddressFile() {
        SocketAddress address = console.address();
        if (addressFile != null && address instanceof InetSocketAddress bound) {
            String text = bound.getAddress().getHostAddress() + ':' + bound.getPort() + ' ' + secret + '\n';
            fileWriter.execute(() -> {
                try {
                    // Restricts the permissions before the secret is written, so that no other user can read it.
                    Path newFile = addressFile.resolveSibling("console.new");
                    Files.writeString(newFile, "");
                    Files.setPosixFilePermissions(newFile, PosixFilePermissions.fromString("rw-------"));
                    Files.writeString(newFile, text);
                    Files.move(newFile, addressFile, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
                } catch (IOException e) {
                    Logger.warn("Failed to write the console address for the next process: {}", e.toString());
                }
            });
        }
    }

    /** Returns the handler for the next process's connection; null if the secret is wrong or this process is shutting down. */
    HandoverLink createHandoverLink(String givenSecret) {
        boolean matches = MessageDigest.isEqual(givenSecret.getBytes(StandardCharsets.UTF_8),
            secret.getBytes(StandardCharsets.UTF_8));
        return matches && !shuttingDown ? new HandoverLink(deadlines, this) : null;
    }

    /** Sends the handover state over a link to the next process, which was just installed. */
    void startHandover(HandoverLink link) {
        HandoverLink earlier = nextLink;
        nextLink = link;
        nextServes = false;
        if (earlier != null) {
            earlier.close();    // that process did not get to serve, or hangs: the latest one takes over
        }
        applyDescriptorBudget();
        Map<String, Long> cordonedMillis = new HashMap<>();
        cordons.cordoned().forEach((id, at) -> cordonedMillis.put(id, clock.toUnixMillis(at)));
        Map<String, long[]> returnedMillis = new HashMap<>();
        cordons.absences().forEach((id, absence) -> returnedMillis.put(id,
            new long[] {clock.toUnixMillis(absence.cordonedAt()), clock.toUnixMillis(absence.returnedAt())}));
        nextLink.send(STATE_REPLY_PREFIX + new HandoverState(discovery.encodeList(), cordonedMillis, returnedMillis).encode());
        nextLink.send("SENT " + String.join(" ", frontend.unrepeatableIds()));
        settings.onNextConnected(nextLink);
        Logger.info("The next process has connected");
        sendHeartbeat();
    }

    /** Sends the number of open requests, and SERVING once this process serves. */
    private void sendHeartbeat() {
        deadlines.cancel(heartbeat);
        if (previousLink == null && nextLink == null) {
            return;
        }
        if (previousLink != null && !readiness.isServing() && onPreviousList == null && frontend.notReadyReason() == null
                && settings.claim(this::sendHeartbeat)) {
            readiness.servingStarted();
            frontend.cancelHandover();
            previousLink.send("SERVING");
            writeAddressFile();
            Logger.info("Serving; the previous process answers the requests it has accepted");
        }
        for (HandoverLink link : new HandoverLink[] {previousLink, nextLink}) {
            if (link != null) {
                link.send("OPEN " + engine.openRequestCount() + ' ' + clock.toUnixMillis(frontend.queuedSinceMicros()));
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
            // The other process may run another version: a line that can't be parsed is ignored and the handover goes on.
            Logger.warn("Failed to handle a line of the other process: {}", e.toString());
        }
    }

    private void handleLine(HandoverLink link, String line) {
        if (line.startsWith(SettingsReplication.LINE_PREFIX)) {
            settings.onLine(link, line.substring(SettingsReplication.LINE_PREFIX.length()));
            return;
        }
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
                if (parts.length > 2) {
                    frontend.otherProcessReportsQueue(clock.fromUnixMillis(Long.parseLong(parts[2])));
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
            case "SENT" -> {
                Arrays.stream(parts).skip(1).forEach(frontend::otherProcessReportsId);
                forward(link, line);
            }
            default -> Logger.warn("Unknown message of the other process: {}", parts[0]);
        }
    }

    /** Applies the previous process's state, which replaces the cordons read at startup. */
    private void handleTakeoverReply(String line) {
        BackendListCodec.BackendList backendList = null;
        try {
            if (line.startsWith(STATE_REPLY_PREFIX)) {
                HandoverState state = HandoverState.decode(line.substring(STATE_REPLY_PREFIX.length()));
                backendList = BackendListCodec.decode(state.backendList());
                Map<String, Long> cordoned = new HashMap<>();
                state.cordoned().forEach((id, millis) -> cordoned.put(id, clock.fromUnixMillis(millis)));
                Map<String, Cordons.Absence> absences = new HashMap<>();
                state.returned().forEach((id, millis) -> absences.put(id,
                    new Cordons.Absence(clock.fromUnixMillis(millis[0]), clock.fromUnixMillis(millis[1]))));
                cordons.replaceAll(cordoned, absences);
                readiness.previousConnected(processStartMicros());
            }
        } catch (RuntimeException e) {
            backendList = null;
            Logger.warn("Failed to read the state of the previous process: {}", e.toString());
        }
        if (backendList == null) {
            previousLink.close();
            return;
        }
        Consumer<BackendListCodec.BackendList> callback = onPreviousList;
        onPreviousList = null;
        callback.accept(backendList);
    }

    /** Returns when this process started: the system's time, which is in whole seconds, limited to plausible startup times. */
    private long processStartMicros() {
        long now = clock.nowMicros();
        long systemTime = ProcessHandle.current().info().startInstant().map(at -> clock.fromUnixMillis(at.toEpochMilli()))
            .orElse(now);
        return Math.max(now - MAX_STARTUP_MICROS, Math.min(now - MIN_STARTUP_MICROS, systemTime));
    }

    private void handOverTo(HandoverLink link) {
        if (link == nextLink) {
            nextServes = true;
            handedOver = true;
            settings.onNextServes();
            // From here on the next process spends the budget of cold backends; the requests left here can do without them.
            cordons.drainCold(clock.nowMicros());
            discovery.republishAll();
            link.send("LEFT " + LearnedStateCodec.encode(engine.exportLearnedState(), settingsFingerprint));
            frontend.handOver();
            Logger.info("Requests are handed over to the next process");
        }
    }

    @Override public void onClosed(HandoverLink link) {
        if (link == previousLink) {
            previousLink = null;
            readiness.previousDisconnected();
            if (onPreviousList != null) {
                Consumer<BackendListCodec.BackendList> callback = onPreviousList;
                onPreviousList = null;
                callback.accept(null);
                return;
            }
            settings.onClosed(link, this::serveWithoutPrevious);
            applyDescriptorBudget();
            Logger.info("The previous process has ended");
        } else if (link == nextLink) {
            nextLink = null;
            applyDescriptorBudget();
            settings.onClosed(link, this::serveAgain);
            if (!shuttingDown) {
                writeAddressFile();
            }
        }
    }

    /** Accepts clients, unless that has begun before the previous process ended. */
    private void serveWithoutPrevious() {
        if (!readiness.isServing()) {
            frontend.cancelHandover();
            writeAddressFile();
        }
    }

    /** Accepts clients again after the next process has ended or hangs, unless another one serves by now. */
    private void serveAgain() {
        boolean anotherServes = nextLink != null && nextServes;
        if (handedOver && !anotherServes && !shuttingDown) {
            handedOver = false;
            cordons.drainCold(Long.MAX_VALUE);
            discovery.republishAll();
            frontend.cancelHandover();
            Logger.warn("The next process has ended or hangs; this one serves again");
        }
    }

    /** Gives each of two linked processes half of the descriptors: the limit holds for both together. */
    private void applyDescriptorBudget() {
        DescriptorBudget budget = DescriptorBudget.of(
            previousLink == null && nextLink == null ? maxDescriptors : maxDescriptors / 2, true);
        frontend.setConnectionLimits(budget.clientConnections(), budget.excessClientConnections());
        backends.setMaxConnections(budget.backendConnections());
        console.setMaxConnections(budget.consoleConnections());
    }

    /** Sends a line to every linked process but the one it came from. */
    private void forward(HandoverLink source, String line) {
        for (HandoverLink link : new HandoverLink[] {previousLink, nextLink}) {
            if (link != null && link != source) {
                link.send(line);
            }
        }
    }
}
