package badgermux.sim;

import badgermux.config.SettingsParser;
import badgermux.decide.DefaultDispatchPolicy;
import badgermux.decide.DispatchPolicy;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Connects many independent dispatch policies to the simulator. It only translates between the simulator's records and the
 * policies' events and actions. Fields of a record that the policies do not use are read and dropped.
 */
final class SimulatorAdapter {
    /** The kinds of list updates, by their codes. */
    private static final DispatchPolicy.ListUpdate[] LIST_UPDATES = {DispatchPolicy.ListUpdate.DELTA,
        DispatchPolicy.ListUpdate.FULL, DispatchPolicy.ListUpdate.CACHED, DispatchPolicy.ListUpdate.FAILED};
    /** The states of a listed backend, by their codes. */
    private static final DispatchPolicy.BackendState[] BACKEND_STATES = {DispatchPolicy.BackendState.GONE,
        DispatchPolicy.BackendState.READY, DispatchPolicy.BackendState.DRAINING};
    /** The outcomes of attempts and probes; an outcome's code is its index plus 1. */
    private static final DispatchPolicy.Outcome[] OUTCOMES = Arrays.copyOf(DispatchPolicy.Outcome.values(), 8);

    private final FrameCodec frames;
    private final Map<Integer, Instance> instances = new HashMap<>();
    /** The simulator's time in microseconds. */
    private long now;

    SimulatorAdapter(InputStream in, OutputStream out) {
        frames = new FrameCodec(in, out);
    }

    /**
     * Replies to each batch until the input ends.
     *
     * @throws MalformedInputException if the input violates the protocol
     */
    void run() throws IOException {
        while (frames.readBatch()) {
            now = toMicros(frames.clockMillis());
            for (int i = 0; i < frames.recordCount(); i++) {
                try {
                    handleEvent();
                } catch (IllegalArgumentException e) {
                    throw new MalformedInputException(e.getMessage());
                }
            }
            frames.requireEndOfBatch();
            frames.writeReply();
        }
    }

    private void handleEvent() {
        int code = frames.readU8();
        int id = frames.readU32();
        switch (code) {
            case 1 -> createInstance(id);
            case 2 -> handleBackendList(instance(id));
            case 3 -> handleRequest(instance(id));
            case 4 -> handleStreamStart(instance(id));
            case 5 -> handleAttemptEnd(instance(id));
            case 6 -> handleClientGone(instance(id));
            case 7 -> handleTimer(instance(id));
            case 8 -> handleProbeAnswer(instance(id));
            case 9 -> skipPeerMessage();
            case 10 -> instances.remove(id);
            case 11 -> handleNotice(instance(id));
            default -> throw new MalformedInputException("unknown record code " + code);
        }
    }

    /** Returns a running instance. */
    private Instance instance(int id) {
        Instance instance = instances.get(id);
        if (instance == null) {
            throw new MalformedInputException("event for instance " + id + ", which is not running");
        }
        return instance;
    }

    private void createInstance(int id) {
        long seed = frames.readU64();
        SettingsParser.ParsedSettings settings = SettingsParser.parse(frames.readText());
        instances.put(id, new Instance(id, seed, settings));
    }

    private void handleBackendList(Instance instance) {
        DispatchPolicy.ListUpdate update = LIST_UPDATES[requireIndex(frames.readU8(), LIST_UPDATES.length,
            "list update code")];
        frames.readU32();
        int count = frames.readU32();
        List<DispatchPolicy.Backend> backends = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            long id = frames.readBackend();
            int zone = frames.readU8();
            int kind = requireIndex(frames.readU16(), instance.settings.settings().kindCount, "machine kind");
            int cell = frames.readU16();
            DispatchPolicy.BackendState state = BACKEND_STATES[requireIndex(frames.readU8(), BACKEND_STATES.length,
                "backend state code")];
            frames.readF32();
            backends.add(new DispatchPolicy.Backend(id, zone, kind, cell, state, toMicros(frames.readF64())));
        }
        instance.runEvent(() -> instance.policy.backendsListed(now, update, backends));
    }

    private void handleRequest(Instance instance) {
        long id = frames.readU64();
        int tenant = frames.readU16();
        double expectedWorkMillis = frames.readF64();
        int classIndex = requireIndex(frames.readU16(), instance.settings.settings().classes.size(), "request class");
        frames.readF32();
        frames.readU64();
        double slots = frames.readF32();
        boolean isWorkKnown = (frames.readU16() & 1) != 0;
        DispatchPolicy.Request request = new DispatchPolicy.Request(id, classIndex, tenant, slots,
            isWorkKnown ? Math.max(0, toMicros(expectedWorkMillis)) : 0,
            Math.max(0, toMicros(frames.readF64())));
        instance.runEvent(() -> instance.policy.requestReceived(now, request));
    }

    private void handleStreamStart(Instance instance) {
        long id = frames.readU64();
        frames.readBackend();
        int attempt = frames.readU16();
        frames.readF64();
        instance.runEvent(() -> instance.policy.responseStreaming(now, id, attempt));
    }

    private void handleAttemptEnd(Instance instance) {
        long id = frames.readU64();
        frames.readF64();
        DispatchPolicy.Outcome outcome = OUTCOMES[requireIndex(frames.readU8() - 1, OUTCOMES.length, "outcome")];
        int attempt = frames.readU16();
        long backendId = frames.readBackend();
        frames.readU32();
        boolean isSettled = frames.readU8() != 0;
        DispatchPolicy.LoadReport report = instance.readLoadReport(frames);
        instance.runEvent(() -> instance.policy.attemptEnded(now, id, attempt, backendId, outcome, isSettled, report));
    }

    private void handleClientGone(Instance instance) {
        long id = frames.readU64();
        instance.runEvent(() -> instance.policy.clientDisconnected(now, id));
    }

    private void handleTimer(Instance instance) {
        int token = frames.readU32();
        instance.runEvent(() -> instance.policy.timerFired(now, token));
    }

    private void handleProbeAnswer(Instance instance) {
        long backendId = frames.readBackend();
        int outcomeIndex = requireIndex(frames.readU8() - 1, OUTCOMES.length, "outcome");
        frames.readF64();
        DispatchPolicy.LoadReport report = instance.readLoadReport(frames);
        instance.runEvent(() -> instance.policy.probeEnded(now, backendId, outcomeIndex == 0, report));
    }

    /** Skips a message from another dispatcher; the policies send each other no messages. */
    private void skipPeerMessage() {
        frames.readU32();
        frames.skip(frames.readU16());
    }

    /** Handles a report of a running attempt: its start or its progress; other kinds are ignored. */
    private void handleNotice(Instance instance) {
        long id = frames.readU64();
        int kind = frames.readU8();
        frames.readF32();
        int attempt = frames.readU16();
        frames.readBackend();
        if (kind == 1) {
            instance.runEvent(() -> instance.policy.attemptStarted(now, id, attempt));
        } else if (kind == 2) {
            instance.runEvent(() -> instance.policy.attemptProgressed(now, id, attempt));
        }
    }

    /** Returns a value that must be less than {@code size}; {@code field} names it in the message otherwise. */
    private static int requireIndex(int value, int size, String field) {
        if (value < 0 || value >= size) {
            throw new MalformedInputException("unknown " + field + ' ' + value);
        }
        return value;
    }

    private static long toMicros(double millis) {
        return Math.round(millis * 1000);
    }

    /** One policy; its actions are written to the current reply. */
    private final class Instance implements DispatchPolicy.Actions {
        private final int id;
        private final SettingsParser.ParsedSettings settings;
        private final DefaultDispatchPolicy policy;
        private final DispatchPolicy.LoadReport report = new DispatchPolicy.LoadReport();

        Instance(int id, long seed, SettingsParser.ParsedSettings settings) {
            this.id = id;
            this.settings = settings;
            policy = new DefaultDispatchPolicy(settings.settings(), seed, this);
        }

        /** Runs one event; an exception of the policy is written as a record with the place where it was thrown. */
        void runEvent(Runnable event) {
            try {
                event.run();
            } catch (RuntimeException e) {
                StackTraceElement[] trace = e.getStackTrace();
                frames.beginAction(10, id).putText(e + (trace.length > 0 ? " at " + trace[0] : ""));
            }
        }

        /** Reads a load report, which is valid until the next call; null if the record contains none. */
        DispatchPolicy.LoadReport readLoadReport(FrameCodec in) {
            int count = in.readU8();
            report.freeSlots = report.inFlight = report.queued = report.recentRunMicros = Double.NaN;
            for (int i = 0; i < count; i++) {
                double value = in.readF32();
                switch (i < settings.reportColumns().length ? settings.reportColumns()[i] : "") {
                    case "x0" -> report.freeSlots = value;
                    case "outstanding" -> report.inFlight = value;
                    case "backlog" -> report.queued = value;
                    case "recent_ms" -> report.recentRunMicros = value * 1000;
                    default -> { }
                }
            }
            return count == 0 ? null : report;
        }

        @Override public void send(long requestId, long backendId) {
            frames.beginAction(1, id).putU64(requestId).putBackend(backendId).putF64(0);
        }

        @Override public void refuse(long requestId, long retryAfterMicros) {
            frames.beginAction(2, id).putU64(requestId).putF64(retryAfterMicros / 1000.0);
        }

        @Override public void fail(long requestId) {
            frames.beginAction(3, id).putU64(requestId);
        }

        @Override public void cancel(long requestId, int attempt) {
            frames.beginAction(4, id).putU64(requestId).putU16(attempt);
        }

        @Override public void startTimer(long delayMicros, int token) {
            frames.beginAction(5, id).putF64(delayMicros / 1000.0).putU32(token);
        }

        @Override public void probe(long backendId) {
            frames.beginAction(6, id).putBackend(backendId);
        }

        @Override public void closeIdleConnections(long backendId) {
            frames.beginAction(7, id).putBackend(backendId);
        }

        @Override public void watchBackendList() {
            frames.beginAction(11, id).putU8(1);
        }

        @Override public void log(String line) {
            frames.beginAction(9, id).putText(line);
        }
    }
}
