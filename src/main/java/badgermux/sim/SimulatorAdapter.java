package badgermux.sim;

import badgermux.config.SettingsParser;
import badgermux.decide.DispatchPolicy;
import badgermux.decide.DefaultDispatchPolicy;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Speaks the simulator's wire for many dispatchers that share nothing. It translates and decides nothing. */
final class SimulatorAdapter {
    private static final DispatchPolicy.ListUpdate[] LIST_UPDATES = {DispatchPolicy.ListUpdate.DELTA, DispatchPolicy.ListUpdate.FULL,
        DispatchPolicy.ListUpdate.CACHED, DispatchPolicy.ListUpdate.FAILED};
    private static final DispatchPolicy.BackendState[] BACKEND_STATES = {DispatchPolicy.BackendState.GONE, DispatchPolicy.BackendState.READY,
        DispatchPolicy.BackendState.DRAINING};
    private static final DispatchPolicy.Outcome[] OUTCOMES = Arrays.copyOf(DispatchPolicy.Outcome.values(), 8);

    private final FrameCodec frames;
    private final Map<Integer, Instance> instances = new HashMap<>();
    private long now;

    SimulatorAdapter(InputStream in, OutputStream out) {
        frames = new FrameCodec(in, out);
    }

    /** Answers every batch until the input ends. */
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

    private Instance instance(int id) {
        Instance instance = instances.get(id);
        if (instance == null) {
            throw new MalformedInputException("event for instance " + id + ", which is not running");
        }
        return instance;
    }

    private void createInstance(int id) {
        long seed = frames.readU64();
        SettingsParser.ParsedSettings boot = SettingsParser.parse(frames.readText());
        instances.put(id, new Instance(id, seed, boot));
    }

    private void handleBackendList(Instance to) {
        DispatchPolicy.ListUpdate mode = LIST_UPDATES[requireIndex(frames.readU8(), LIST_UPDATES.length, "list mode")];
        frames.readU32();
        int count = frames.readU32();
        List<DispatchPolicy.Backend> workers = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            long id = frames.readBackend();
            int zone = frames.readU8();
            int kind = requireIndex(frames.readU16(), to.settings.settings().kindCount, "machine kind");
            int cell = frames.readU16();
            DispatchPolicy.BackendState state = BACKEND_STATES[requireIndex(frames.readU8(), BACKEND_STATES.length, "condition")];
            frames.readF32();
            workers.add(new DispatchPolicy.Backend(id, zone, kind, cell, state, toMicros(frames.readF64())));
        }
        to.runEvent(() -> to.policy.backendsListed(now, mode, workers));
    }

    private void handleRequest(Instance to) {
        long id = frames.readU64();
        int tenant = frames.readU16();
        double hintMs = frames.readF64();
        int profile = requireIndex(frames.readU16(), to.settings.settings().classes.size(), "class");
        frames.readF32();
        frames.readU64();
        double slots = frames.readF32();
        boolean hinted = (frames.readU16() & 1) != 0;
        DispatchPolicy.Request job = new DispatchPolicy.Request(id, profile, tenant, slots, hinted ? Math.max(0, toMicros(hintMs)) : 0,
            Math.max(0, toMicros(frames.readF64())));
        to.runEvent(() -> to.policy.requestReceived(now, job));
    }

    private void handleStreamStart(Instance to) {
        long id = frames.readU64();
        frames.readBackend();
        int shot = frames.readU16();
        frames.readF64();
        to.runEvent(() -> to.policy.responseStreaming(now, id, shot));
    }

    private void handleAttemptEnd(Instance to) {
        long id = frames.readU64();
        frames.readF64();
        DispatchPolicy.Outcome outcome = OUTCOMES[requireIndex(frames.readU8() - 1, OUTCOMES.length, "verdict")];
        int shot = frames.readU16();
        long runner = frames.readBackend();
        frames.readU32();
        boolean settled = frames.readU8() != 0;
        DispatchPolicy.LoadReport report = to.readLoadReport(frames);
        to.runEvent(() -> to.policy.attemptEnded(now, id, shot, runner, outcome, settled, report));
    }

    private void handleClientGone(Instance to) {
        long id = frames.readU64();
        to.runEvent(() -> to.policy.clientDisconnected(now, id));
    }

    private void handleTimer(Instance to) {
        int label = frames.readU32();
        to.runEvent(() -> to.policy.timerFired(now, label));
    }

    private void handleProbeAnswer(Instance to) {
        long runner = frames.readBackend();
        int verdict = requireIndex(frames.readU8() - 1, OUTCOMES.length, "verdict");
        frames.readF64();
        DispatchPolicy.LoadReport report = to.readLoadReport(frames);
        to.runEvent(() -> to.policy.probeEnded(now, runner, verdict == 0, report));
    }

    /** This dispatcher sends its peers nothing; what comes from others is skipped. */
    private void skipPeerMessage() {
        frames.readU32();
        frames.skip(frames.readU16());
    }

    private void handleNotice(Instance to) {
        long id = frames.readU64();
        int kind = frames.readU8();
        frames.readF32();
        int shot = frames.readU16();
        frames.readBackend();
        if (kind == 1) {
            to.runEvent(() -> to.policy.attemptStarted(now, id, shot));
        } else if (kind == 2) {
            to.runEvent(() -> to.policy.attemptProgressed(now, id, shot));
        }
    }

    private static int requireIndex(int value, int size, String what) {
        if (value < 0 || value >= size) {
            throw new MalformedInputException("unknown " + what + ' ' + value);
        }
        return value;
    }

    private static long toMicros(double ms) {
        return Math.round(ms * 1000);
    }

    /** One dispatcher and the actions that it writes. */
    private final class Instance implements DispatchPolicy.Actions {
        private final int id;
        private final SettingsParser.ParsedSettings settings;
        private final DefaultDispatchPolicy policy;
        private final DispatchPolicy.LoadReport report = new DispatchPolicy.LoadReport();

        Instance(int id, long seed, SettingsParser.ParsedSettings boot) {
            this.id = id;
            this.settings = boot;
            policy = new DefaultDispatchPolicy(boot.settings(), seed, this);
        }

        /** Runs one event; a fault of the module is told as such, with its cause. */
        void runEvent(Runnable event) {
            try {
                event.run();
            } catch (RuntimeException e) {
                StackTraceElement[] trace = e.getStackTrace();
                frames.beginAction(10, id).putText(e + (trace.length > 0 ? " at " + trace[0] : ""));
            }
        }

        /** A load report, or null where none came along. */
        DispatchPolicy.LoadReport readLoadReport(FrameCodec in) {
            int n = in.readU8();
            report.freeSlots = report.inFlight = report.queued = report.recentRunMicros = Double.NaN;
            for (int i = 0; i < n; i++) {
                double value = in.readF32();
                switch (i < settings.reportColumns().length ? settings.reportColumns()[i] : "") {
                    case "x0" -> report.freeSlots = value;
                    case "outstanding" -> report.inFlight = value;
                    case "backlog" -> report.queued = value;
                    case "recent_ms" -> report.recentRunMicros = value * 1000;
                    default -> { }
                }
            }
            return n == 0 ? null : report;
        }

        @Override public void send(long job, long worker) {
            frames.beginAction(1, id).putU64(job).putBackend(worker).putF64(0);
        }

        @Override public void refuse(long job, long comeBack) {
            frames.beginAction(2, id).putU64(job).putF64(comeBack / 1000.0);
        }

        @Override public void fail(long job) {
            frames.beginAction(3, id).putU64(job);
        }

        @Override public void cancel(long job, int attempt) {
            frames.beginAction(4, id).putU64(job).putU16(attempt);
        }

        @Override public void startTimer(long delay, int token) {
            frames.beginAction(5, id).putF64(delay / 1000.0).putU32(token);
        }

        @Override public void probe(long worker) {
            frames.beginAction(6, id).putBackend(worker);
        }

        @Override public void closeIdleConnections(long worker) {
            frames.beginAction(7, id).putBackend(worker);
        }

        @Override public void watchBackendList() {
            frames.beginAction(11, id).putU8(1);
        }

        @Override public void log(String line) {
            frames.beginAction(9, id).putText(line);
        }
    }
}
