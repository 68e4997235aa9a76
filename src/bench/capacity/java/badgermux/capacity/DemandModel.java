package badgermux.capacity;

import java.util.ArrayList;
import java.util.List;

/**
 * Works out what each role needs, from measured slopes and the target. All rates are for one dispatcher unless said
 * otherwise; bursts are averaged over the target's window.
 */
public final class DemandModel {
    /** Requests that a dispatcher has served soon after a start, and long after it; the second's cost is the lasting one. */
    private static final int SERVED_AFTER_START = 300, SERVED_LONG_RUNNING = 20_000;
    /** An age of the process, in seconds, at which its idle time was measured as it lasts. */
    private static final int LONG_RUNNING_AGE_SECONDS = 240;
    private static final double SECONDS_PER_DAY = 86_400, MICROS_PER_SECOND = 1e6, MILLIS_PER_SECOND = 1e3;

    private final Slopes slopes;
    private final Target target;

    public DemandModel(Slopes slopes, Target target) {
        this.slopes = slopes;
        this.target = target;
    }

    /** The demands of all roles in all situations, for one number of dispatchers. */
    public List<Demand> demands(int dispatchers) {
        List<Demand> all = new ArrayList<>();
        for (Situation situation : Situation.values()) {
            SituationLoad load = new SituationLoad(dispatchers, situation);
            all.add(load.frontend());
            all.add(load.decisionPolicy());
            all.add(load.discoveryClient());
            all.add(load.attempts());
            all.add(load.probes());
            all.add(load.settings());
            all.add(load.metricsScrapes());
            all.add(load.logs());
            all.add(load.processBaseline());
            all.add(totalControl(all, dispatchers, situation));
            all.add(load.stubDiscovery());
            all.add(load.stubBackend());
        }
        return all;
    }

    private static Demand totalControl(List<Demand> all, int dispatchers, Situation situation) {
        List<Demand> control = all.stream().filter(d -> d.situation() == situation && d.kind() == Demand.Kind.CONTROL
            && !d.hasNoMechanism()).toList();
        return new Demand("All control that has a mechanism", Demand.Kind.CONTROL, situation, dispatchers,
            control.stream().mapToDouble(Demand::stateBytes).sum(), control.stream().mapToDouble(Demand::messagesPerSecond).sum(),
            control.stream().mapToDouble(Demand::bytesPerSecond).sum(), control.stream().mapToDouble(Demand::coreShare).sum(), "sum");
    }

    /** Requests a second over all dispatchers, were every job of an ordinary day as wide a gang as there may be. */
    double averageStartsPerSecond() {
        return target.get("jobsPerDay") * target.get("gangMost") / SECONDS_PER_DAY;
    }

    /** Entries of the list that change in a second on an ordinary day. */
    double averageEntriesPerSecond() {
        return (target.get("machinesFailedPerDay") * target.get("entriesPerFailure")
            + target.get("machinesReplacedPerDay") * target.get("entriesPerReplacement"))
            * target.get("workersPerMachine") / SECONDS_PER_DAY;
    }

    /** Workers of which one dispatcher gets news when a situation begins. */
    double lostBackends(Situation situation) {
        double workers = target.get("workers");
        return switch (situation) {
            case MACHINE_FAILURE -> target.get("workersPerMachine");
            case RACK_FAILURE -> target.get("rackMachines") * target.get("workersPerMachine");
            case ZONE_FAILURE -> workers / target.get("zones");
            case REGION_CUT_OFF -> workers / target.get("regions");
            default -> 0;
        };
    }

    /** Seconds of processor time that the loss of workers takes in the decision module, told one by one. */
    double lossCpuSeconds(Situation situation) {
        if (situation == Situation.ZONE_FAILURE) {
            return slopes.get("cpu.zone.single").costAt(target.get("workers")) / MICROS_PER_SECOND;
        }
        return lostBackends(situation) * slopes.get("cpu.news").costAt(target.get("workers")) / MICROS_PER_SECOND;
    }

    /** Seconds that a whole list takes at the budget's rate. */
    double listTransferSeconds(boolean indented) {
        String name = indented ? "bytes.list.indented" : "bytes.list";
        return slopes.get(name).costAt(target.get("workers")) / target.budget().bytesPerSecond();
    }

    /** Seconds of processor time for a start, which is what most changes of settings take today. */
    double startCpuSeconds() {
        double known = slopes.get("cpu.start").costAt(target.get("workers"));
        double teams = slopes.get("cpu.start.tenants").slope() * target.get("teams");
        return (known + Math.max(0, teams)) / MICROS_PER_SECOND;
    }

    /** Descriptors of a dispatcher whose open requests have a client's and a worker's connection each. */
    double descriptorsPerDispatcher(int dispatchers) {
        return 2 * target.get("tasksRunning") / dispatchers;
    }

    /** Slots that a worker has on average. */
    double slotsPerBackend() {
        return target.get("accelerators") / target.get("workers");
    }

    /** Requests a second from which on probes alone take a dispatcher's bytes. */
    double probeLimitedRequestsPerSecond() {
        return target.budget().bytesPerSecond() / (probesPerRequest() * slopes.get("bytes.probe").costAt(1));
    }

    double probesPerRequest() {
        return slopes.get("probes.request").costAt(target.get("workers"));
    }

    /** What comes to one dispatcher in a situation. */
    private final class SituationLoad {
        private final int dispatchers;
        private final Situation situation;
        private final double windowSeconds = target.get("windowSeconds");
        private final double backends = target.get("workers");
        private final double openRequests;
        private final double requestsPerSecond;
        private final double entriesPerSecond;

        SituationLoad(int dispatchers, Situation situation) {
            this.dispatchers = dispatchers;
            this.situation = situation;
            openRequests = target.get("tasksRunning") / dispatchers;
            double lostAttempts = target.get("tasksRunning") * lostBackends(situation) / backends / dispatchers;
            double starts = situation == Situation.PEAK_STARTS ? target.get("startsAtPeak") : averageStartsPerSecond();
            requestsPerSecond = starts / dispatchers + lostAttempts / windowSeconds;
            entriesPerSecond = averageEntriesPerSecond() + lostBackends(situation) / windowSeconds;
        }

        private Demand demand(String role, Demand.Kind kind, double state, double messages, double bytes, double core,
                String mechanism) {
            return new Demand(role, kind, situation, dispatchers, state, messages, bytes, core, mechanism);
        }

        /** Its processor time is measured with that of attempts and stands there. */
        Demand frontend() {
            double state = openRequests * slopes.get("heap.connection").slope();
            return demand("Client front", Demand.Kind.TRAFFIC, state, 2 * requestsPerSecond,
                requestsPerSecond * slopes.get("bytes.request").costAt(1), 0, "Frontend, FrontendConnection");
        }

        Demand decisionPolicy() {
            double state = slopes.get("heap.worker").costAt(backends) + openRequests * slopes.get("heap.open").slope()
                + target.get("teams") * slopes.get("heap.tenant").slope();
            double core = (requestsPerSecond * slopes.get("cpu.request").costAt(backends)
                + entriesPerSecond * slopes.get("cpu.news").costAt(backends) + listsPerSecond() * slopes.get("cpu.list").costAt(backends)) / MICROS_PER_SECOND;
            double events = requestsPerSecond * (1 + 2 * target.get("attemptsPerRequest") + probesPerRequest()) + entriesPerSecond;
            return demand("Decision module", Demand.Kind.CONTROL, state, events, 0, core, "DefaultDispatchPolicy");
        }

        /** Whole lists a second. */
        private double listsPerSecond() {
            return situation == Situation.FULL_RESTART ? 1 / windowSeconds : 0;
        }

        /** Calls of discovery a second: each ends with its time, or with an entry that has changed. */
        private double watchesPerSecond() {
            return 1 / target.get("watchSeconds") + entriesPerSecond;
        }

        Demand discoveryClient() {
            Slope delta = slopes.get("bytes.delta");
            double state = slopes.get("heap.process").costAt(backends) - slopes.get("heap.process").costAt(8)
                - slopes.get("heap.worker").costAt(backends);
            double bytes = watchesPerSecond() * Math.max(0, delta.base()) + entriesPerSecond * delta.slope()
                + listsPerSecond() * slopes.get("bytes.list.indented").costAt(backends);
            double core = (entriesPerSecond * slopes.get("cpu.parse").slope()
                + listsPerSecond() * (slopes.get("cpu.list.process").costAt(backends) - slopes.get("cpu.list").costAt(backends))) / MICROS_PER_SECOND;
            return demand("Discovery client", Demand.Kind.CONTROL, Math.max(0, state), 2 * (watchesPerSecond() + listsPerSecond()), bytes, core,
                "DiscoveryClient, BackendListCodec");
        }

        /** How much a process has served by then, as a size of the slopes of requests. */
        private int servedRequests() {
            return situation == Situation.FULL_RESTART ? SERVED_AFTER_START : SERVED_LONG_RUNNING;
        }

        /** Processor time of the whole way of a request on sockets, from its client to its worker and back. */
        Demand attempts() {
            double sent = requestsPerSecond * target.get("attemptsPerRequest");
            double core = requestsPerSecond * Math.max(0, slopes.get("cpu.request.silent").costAt(servedRequests())) / MICROS_PER_SECOND;
            return demand("Worker connections: attempts", Demand.Kind.TRAFFIC, openRequests * slopes.get("heap.connection").slope(),
                2 * sent, sent * slopes.get("bytes.attempt").costAt(1), core, "HttpBackendClient, AttemptExchange");
        }

        Demand probes() {
            double probes = requestsPerSecond * probesPerRequest();
            double oneProbe = (slopes.get("cpu.request.probing").costAt(servedRequests()) - slopes.get("cpu.request.silent").costAt(servedRequests()))
                / slopes.get("probes.process").costAt(servedRequests());
            return demand("Worker connections: probes and reports", Demand.Kind.CONTROL, 0, 2 * probes,
                probes * slopes.get("bytes.probe").costAt(1), probes * Math.max(0, oneProbe) / MICROS_PER_SECOND,
                "HttpBackendClient, ProbeExchange, LoadReportParser");
        }

        /** By today's means: the whole file to each process, and a start, with the changes of so long gathered as may wait. */
        Demand settings() {
            double changes = Math.min(target.get("changesPerDay") / SECONDS_PER_DAY, 1 / target.budget().changeSeconds());
            double teams = target.get("teams");
            double file = slopes.get("bytes.settings").costAt(teams);
            return demand("Settings and contracts", Demand.Kind.CONTROL, file, changes, changes * file,
                changes * startCpuSeconds(), Demand.NO_MECHANISM);
        }

        Demand metricsScrapes() {
            double looks = 1 / target.get("scrapeSeconds");
            double bytes = looks * slopes.get("bytes.metrics").costAt(target.get("classes"));
            double core = looks * slopes.get("cpu.metrics").costAt(target.get("teams")) / MICROS_PER_SECOND;
            return demand("Operators' figures", Demand.Kind.CONTROL, 0, 2 * looks, bytes, core, "Metrics, FrontendConnection");
        }

        /** A line for each worker that is listed for the first time; lines of workers set aside are bounded by the module. */
        Demand logs() {
            Slope start = slopes.get("bytes.log.start");
            double bytes = averageEntriesPerSecond() * start.slope() + listsPerSecond() * start.costAt(backends);
            return demand("Logs", Demand.Kind.CONTROL, 0, listsPerSecond() * backends + averageEntriesPerSecond(), bytes, 0, "AsynchronousWriter");
        }

        /** The process with no request; a restart's own processor time is that of one start. */
        Demand processBaseline() {
            double core = situation == Situation.FULL_RESTART
                ? slopes.get("cpu.idle").costAt(backends) / MICROS_PER_SECOND + startCpuSeconds() / windowSeconds
                : slopes.get("cpu.idle.age").costAt(LONG_RUNNING_AGE_SECONDS) / MICROS_PER_SECOND;
            Slope heap = slopes.get("heap.process");
            double state = slopes.get("rss.process").costAt(backends) - (heap.costAt(backends) - heap.costAt(8));
            return demand("Process: Java, idle rounds, start", Demand.Kind.CONTROL, state, 0, 0, core, "DispatcherProcess, Deadlines");
        }

        /** Over all dispatchers. */
        Demand stubDiscovery() {
            Demand one = discoveryClient();
            double state = slopes.get("bytes.list.indented").costAt(backends);
            return demand("Stand-in discovery, all dispatchers", Demand.Kind.OUTSIDE, state, dispatchers * one.messagesPerSecond(),
                dispatchers * one.bytesPerSecond(), 0, "outside the program");
        }

        /** One worker, asked by all dispatchers. */
        Demand stubBackend() {
            double probes = dispatchers * requestsPerSecond * probesPerRequest() / backends;
            double attempts = dispatchers * requestsPerSecond * target.get("attemptsPerRequest") / backends;
            double bytes = probes * slopes.get("bytes.probe").costAt(1) + attempts * slopes.get("bytes.attempt").costAt(1);
            return demand("Stand-in worker, one of all", Demand.Kind.OUTSIDE, 0, 2 * (probes + attempts), bytes,
                probes * target.get("probeWorkMillis") / MILLIS_PER_SECOND, "outside the program");
        }
    }
}
