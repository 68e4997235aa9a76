package badgermux.capacity;

import java.util.ArrayList;
import java.util.List;

/**
 * Computes what each role needs from the measured slopes and the target. Rates are those of one dispatcher unless stated
 * otherwise; bursts are averaged over the target's window.
 */
public final class DemandModel {
    /** Number of requests that a dispatcher has served soon after a start, when its code is not fully compiled. */
    private static final int SERVED_AFTER_START = 300;
    /** Number of served requests after which the cost of a request is taken as not falling any further. */
    private static final int SERVED_LONG_RUNNING = 20_000;
    /** Age of a process from which on its idle processor time is taken as constant. */
    private static final int LONG_RUNNING_AGE_SECONDS = 240;
    /** Backends in the smallest list of MeasureProcess; the heap that a process uses beyond that counts as its list. */
    private static final int SMALLEST_BACKEND_COUNT = 8;
    private static final double SECONDS_PER_DAY = 86_400;
    private static final double MICROS_PER_SECOND = 1e6;
    private static final double MILLIS_PER_SECOND = 1e3;

    private final Slopes slopes;
    private final Target target;

    public DemandModel(Slopes slopes, Target target) {
        this.slopes = slopes;
        this.target = target;
    }

    /** Returns the demands of all roles in all situations for the given number of dispatchers. */
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

    /** Sums the control demands of a situation for which the program has a mechanism. */
    private static Demand totalControl(List<Demand> all, int dispatchers, Situation situation) {
        List<Demand> control = all.stream().filter(demand -> demand.situation() == situation
            && demand.kind() == Demand.Kind.CONTROL && !demand.hasNoMechanism()).toList();
        return new Demand("All control that has a mechanism", Demand.Kind.CONTROL, situation, dispatchers,
            control.stream().mapToDouble(Demand::stateBytes).sum(), control.stream().mapToDouble(Demand::messagesPerSecond).sum(),
            control.stream().mapToDouble(Demand::bytesPerSecond).sum(),
            control.stream().mapToDouble(Demand::coreShare).sum(), "sum");
    }

    /** Requests a second at all dispatchers on an average day, if each job of the target had as many tasks as the largest one. */
    double averageStartsPerSecond() {
        return target.get("jobsPerDay") * target.get("gangMost") / SECONDS_PER_DAY;
    }

    /** Changed entries of the backend list a second on an average day. */
    double averageEntriesPerSecond() {
        return (target.get("machinesFailedPerDay") * target.get("entriesPerFailure")
            + target.get("machinesReplacedPerDay") * target.get("entriesPerReplacement"))
            * target.get("workersPerMachine") / SECONDS_PER_DAY;
    }

    /** Number of backends that leave the list when a situation begins. */
    double lostBackends(Situation situation) {
        double backends = target.get("workers");
        return switch (situation) {
            case MACHINE_FAILURE -> target.get("workersPerMachine");
            case RACK_FAILURE -> target.get("rackMachines") * target.get("workersPerMachine");
            case ZONE_FAILURE -> backends / target.get("zones");
            case REGION_CUT_OFF -> backends / target.get("regions");
            default -> 0;
        };
    }

    /** Seconds of processor time that the decision policy needs for the loss of backends, reported one by one. */
    double lossCpuSeconds(Situation situation) {
        if (situation == Situation.ZONE_FAILURE) {
            return slopes.get("cpu.zone.single").costAt(target.get("workers")) / MICROS_PER_SECOND;
        }
        return lostBackends(situation) * slopes.get("cpu.news").costAt(target.get("workers")) / MICROS_PER_SECOND;
    }

    /** Seconds to transfer a complete list at the budget's byte rate. */
    double listTransferSeconds(boolean indented) {
        String name = indented ? "bytes.list.indented" : "bytes.list";
        return slopes.get(name).costAt(target.get("workers")) / target.budget().bytesPerSecond();
    }

    /** Seconds of processor time of a start, which most changes of settings require. */
    double startCpuSeconds() {
        double microsWithKnownList = slopes.get("cpu.start").costAt(target.get("workers"));
        double microsForTenants = slopes.get("cpu.start.tenants").slope() * target.get("teams");
        return (microsWithKnownList + Math.max(0, microsForTenants)) / MICROS_PER_SECOND;
    }

    /** Descriptors that one dispatcher needs: each open request has one connection to its client and one to its backend. */
    double descriptorsPerDispatcher(int dispatchers) {
        return 2 * target.get("tasksRunning") / dispatchers;
    }

    /** Average number of slots of a backend. */
    double slotsPerBackend() {
        return target.get("accelerators") / target.get("workers");
    }

    /** Requests a second of one dispatcher at which its probes alone use up the budget's byte rate. */
    double probeLimitedRequestsPerSecond() {
        return target.budget().bytesPerSecond() / (probesPerRequest() * slopes.get("bytes.probe").costAt(1));
    }

    /** Average number of probes that one request causes. */
    double probesPerRequest() {
        return slopes.get("probes.request").costAt(target.get("workers"));
    }

    /** The load on one dispatcher in a situation, and the demands that follow from it. */
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
            double startsPerSecond = situation == Situation.PEAK_STARTS ? target.get("startsAtPeak") : averageStartsPerSecond();
            requestsPerSecond = startsPerSecond / dispatchers + lostAttempts / windowSeconds;
            entriesPerSecond = averageEntriesPerSecond() + lostBackends(situation) / windowSeconds;
        }

        private Demand demand(String role, Demand.Kind kind, double stateBytes, double messagesPerSecond,
                double bytesPerSecond, double coreShare, String mechanism) {
            return new Demand(role, kind, situation, dispatchers, stateBytes, messagesPerSecond, bytesPerSecond,
                coreShare, mechanism);
        }

        /** Connections and messages of clients. The processor time is measured with that of {@link #attempts}. */
        Demand frontend() {
            double stateBytes = openRequests * slopes.get("heap.connection").slope();
            return demand("Client front", Demand.Kind.TRAFFIC, stateBytes, 2 * requestsPerSecond,
                requestsPerSecond * slopes.get("bytes.request").costAt(1), 0, "Frontend, FrontendConnection");
        }

        /** State and processor time of the decision policy. */
        Demand decisionPolicy() {
            double stateBytes = slopes.get("heap.worker").costAt(backends) + openRequests * slopes.get("heap.open").slope()
                + target.get("teams") * slopes.get("heap.tenant").slope();
            double coreShare = (requestsPerSecond * slopes.get("cpu.request").costAt(backends)
                + entriesPerSecond * slopes.get("cpu.news").costAt(backends)
                + listsPerSecond() * slopes.get("cpu.list").costAt(backends)) / MICROS_PER_SECOND;
            double eventsPerSecond = requestsPerSecond * (1 + 2 * target.get("attemptsPerRequest") + probesPerRequest())
                + entriesPerSecond;
            return demand("Decision module", Demand.Kind.CONTROL, stateBytes, eventsPerSecond, 0, coreShare,
                "DefaultDispatchPolicy");
        }

        /** Complete backend lists a second. */
        private double listsPerSecond() {
            return situation == Situation.FULL_RESTART ? 1 / windowSeconds : 0;
        }

        /** Watches of the backend list a second: a watch ends when it times out or when an entry changes. */
        private double watchesPerSecond() {
            return 1 / target.get("watchSeconds") + entriesPerSecond;
        }

        /** Watches, complete lists and changed entries, and the list itself. */
        Demand discoveryClient() {
            Slope delta = slopes.get("bytes.delta");
            double stateBytes = slopes.get("heap.process").costAt(backends)
                - slopes.get("heap.process").costAt(SMALLEST_BACKEND_COUNT)
                - slopes.get("heap.worker").costAt(backends);
            double bytesPerSecond = watchesPerSecond() * Math.max(0, delta.base()) + entriesPerSecond * delta.slope()
                + listsPerSecond() * slopes.get("bytes.list.indented").costAt(backends);
            double coreShare = (entriesPerSecond * slopes.get("cpu.parse").slope()
                + listsPerSecond() * (slopes.get("cpu.list.process").costAt(backends)
                - slopes.get("cpu.list").costAt(backends))) / MICROS_PER_SECOND;
            return demand("Discovery client", Demand.Kind.CONTROL, Math.max(0, stateBytes),
                2 * (watchesPerSecond() + listsPerSecond()), bytesPerSecond, coreShare, "DiscoveryClient, BackendListCodec");
        }

        /** Number of requests that a process has served in this situation; a size of the slopes {@code cpu.request.*}. */
        private int servedRequests() {
            return situation == Situation.FULL_RESTART ? SERVED_AFTER_START : SERVED_LONG_RUNNING;
        }

        /**
         * Connections and messages to backends, with the processor time of a whole request over sockets, from the client to
         * the backend and back.
         */
        Demand attempts() {
            double attemptsPerSecond = requestsPerSecond * target.get("attemptsPerRequest");
            double coreShare = requestsPerSecond * Math.max(0, slopes.get("cpu.request.silent").costAt(servedRequests()))
                / MICROS_PER_SECOND;
            return demand("Worker connections: attempts", Demand.Kind.TRAFFIC,
                openRequests * slopes.get("heap.connection").slope(), 2 * attemptsPerSecond,
                attemptsPerSecond * slopes.get("bytes.attempt").costAt(1), coreShare, "HttpBackendClient, AttemptExchange");
        }

        /** Probes of backends and the load reports in the answers. */
        Demand probes() {
            double probesPerSecond = requestsPerSecond * probesPerRequest();
            double microsPerProbe = (slopes.get("cpu.request.probing").costAt(servedRequests())
                - slopes.get("cpu.request.silent").costAt(servedRequests()))
                / slopes.get("probes.process").costAt(servedRequests());
            return demand("Worker connections: probes and reports", Demand.Kind.CONTROL, 0, 2 * probesPerSecond,
                probesPerSecond * slopes.get("bytes.probe").costAt(1),
                probesPerSecond * Math.max(0, microsPerProbe) / MICROS_PER_SECOND,
                "HttpBackendClient, ProbeExchange, LoadReportParser");
        }

        /**
         * Changes of settings, none of which the program distributes by itself: each process is sent the whole file and
         * restarted. Changes are batched for as long as the budget allows a change to take.
         */
        Demand settings() {
            double changesPerSecond = Math.min(target.get("changesPerDay") / SECONDS_PER_DAY,
                1 / target.budget().changeSeconds());
            double tenants = target.get("teams");
            double fileBytes = slopes.get("bytes.settings").costAt(tenants);
            return demand("Settings and contracts", Demand.Kind.CONTROL, fileBytes, changesPerSecond,
                changesPerSecond * fileBytes, changesPerSecond * startCpuSeconds(), Demand.NO_MECHANISM);
        }

        /** Operators' scrapes of the metrics. */
        Demand metricsScrapes() {
            double scrapesPerSecond = 1 / target.get("scrapeSeconds");
            double bytesPerSecond = scrapesPerSecond * slopes.get("bytes.metrics").costAt(target.get("classes"));
            double coreShare = scrapesPerSecond * slopes.get("cpu.metrics").costAt(target.get("teams")) / MICROS_PER_SECOND;
            return demand("Operators' figures", Demand.Kind.CONTROL, 0, 2 * scrapesPerSecond, bytesPerSecond, coreShare,
                "Metrics, FrontendConnection");
        }

        /** One log line for each newly listed backend; the decision policy limits the lines about ejected backends. */
        Demand logs() {
            Slope start = slopes.get("bytes.log.start");
            double bytesPerSecond = averageEntriesPerSecond() * start.slope() + listsPerSecond() * start.costAt(backends);
            return demand("Logs", Demand.Kind.CONTROL, 0, listsPerSecond() * backends + averageEntriesPerSecond(),
                bytesPerSecond, 0, "AsynchronousWriter");
        }

        /** A process without requests; a restart adds the processor time of one start. */
        Demand processBaseline() {
            double coreShare = situation == Situation.FULL_RESTART
                ? slopes.get("cpu.idle").costAt(backends) / MICROS_PER_SECOND + startCpuSeconds() / windowSeconds
                : slopes.get("cpu.idle.age").costAt(LONG_RUNNING_AGE_SECONDS) / MICROS_PER_SECOND;
            Slope heap = slopes.get("heap.process");
            double stateBytes = slopes.get("rss.process").costAt(backends)
                - (heap.costAt(backends) - heap.costAt(SMALLEST_BACKEND_COUNT));
            return demand("Process: Java, idle rounds, start", Demand.Kind.CONTROL, stateBytes, 0, 0, coreShare,
                "DispatcherProcess, Deadlines");
        }

        /** The stub discovery service, called by all dispatchers. */
        Demand stubDiscovery() {
            Demand perDispatcher = discoveryClient();
            double stateBytes = slopes.get("bytes.list.indented").costAt(backends);
            return demand("Stand-in discovery, all dispatchers", Demand.Kind.OUTSIDE, stateBytes,
                dispatchers * perDispatcher.messagesPerSecond(), dispatchers * perDispatcher.bytesPerSecond(), 0,
                "outside the program");
        }

        /** One stub backend, which all dispatchers probe and send attempts to. */
        Demand stubBackend() {
            double probesPerSecond = dispatchers * requestsPerSecond * probesPerRequest() / backends;
            double attemptsPerSecond = dispatchers * requestsPerSecond * target.get("attemptsPerRequest") / backends;
            double bytesPerSecond = probesPerSecond * slopes.get("bytes.probe").costAt(1)
                + attemptsPerSecond * slopes.get("bytes.attempt").costAt(1);
            return demand("Stand-in worker, one of all", Demand.Kind.OUTSIDE, 0, 2 * (probesPerSecond + attemptsPerSecond),
                bytesPerSecond, probesPerSecond * target.get("probeWorkMillis") / MILLIS_PER_SECOND, "outside the program");
        }
    }
}
