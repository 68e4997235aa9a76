package badgermux.capacity;

import java.util.ArrayList;
import java.util.List;

/**
 * Works out what each role needs, from measured slopes and the target. All rates are for one dispatcher unless said
 * otherwise; bursts are averaged over the target's window.
 */
public final class Model {
    /** Requests that a dispatcher has served soon after a start, and long after it; the second's cost is the lasting one. */
    private static final int FEW_SERVED = 300, MANY_SERVED = 20_000;
    /** An age of the process, in seconds, at which its idle time was measured as it lasts. */
    private static final int GROWN_SECONDS = 240;
    private static final double SECONDS_PER_DAY = 86_400, MICROS = 1e6, MILLIS = 1e3;

    private final Slopes slopes;
    private final Target target;

    public Model(Slopes slopes, Target target) {
        this.slopes = slopes;
        this.target = target;
    }

    /** The demands of all roles in all situations, for one number of dispatchers. */
    public List<Demand> demands(int dispatchers) {
        List<Demand> all = new ArrayList<>();
        for (Situation situation : Situation.values()) {
            Load load = new Load(dispatchers, situation);
            all.add(load.front());
            all.add(load.module());
            all.add(load.discovery());
            all.add(load.attempts());
            all.add(load.probes());
            all.add(load.settings());
            all.add(load.figures());
            all.add(load.logs());
            all.add(load.idle());
            all.add(total(all, dispatchers, situation));
            all.add(load.standInDiscovery());
            all.add(load.standInWorkers());
        }
        return all;
    }

    private static Demand total(List<Demand> all, int dispatchers, Situation situation) {
        List<Demand> control = all.stream().filter(d -> d.situation() == situation && d.kind() == Demand.Kind.CONTROL
            && !d.hasNoMechanism()).toList();
        return new Demand("All control that has a mechanism", Demand.Kind.CONTROL, situation, dispatchers,
            control.stream().mapToDouble(Demand::stateBytes).sum(), control.stream().mapToDouble(Demand::messages).sum(),
            control.stream().mapToDouble(Demand::bytes).sum(), control.stream().mapToDouble(Demand::coreShare).sum(), "sum");
    }

    /** Requests a second over all dispatchers, were every job of an ordinary day as wide a gang as there may be. */
    double startsOnAverage() {
        return target.get("jobsPerDay") * target.get("gangMost") / SECONDS_PER_DAY;
    }

    /** Entries of the list that change in a second on an ordinary day. */
    double entriesOnAverage() {
        return (target.get("machinesFailedPerDay") * target.get("entriesPerFailure")
            + target.get("machinesReplacedPerDay") * target.get("entriesPerReplacement"))
            * target.get("workersPerMachine") / SECONDS_PER_DAY;
    }

    /** Workers of which one dispatcher gets news when a situation begins. */
    double workersLost(Situation situation) {
        double workers = target.get("workers");
        return switch (situation) {
            case MACHINE -> target.get("workersPerMachine");
            case RACK -> target.get("rackMachines") * target.get("workersPerMachine");
            case ZONE -> workers / target.get("zones");
            case REGION -> workers / target.get("regions");
            default -> 0;
        };
    }

    /** Seconds of processor time that the loss of workers takes in the decision module, told one by one. */
    double newsSeconds(Situation situation) {
        if (situation == Situation.ZONE) {
            return slopes.get("cpu.zone.single").at(target.get("workers")) / MICROS;
        }
        return workersLost(situation) * slopes.get("cpu.news").at(target.get("workers")) / MICROS;
    }

    /** Seconds that a whole list takes at the budget's rate. */
    double listSeconds(boolean indented) {
        String name = indented ? "bytes.list.indented" : "bytes.list";
        return slopes.get(name).at(target.get("workers")) / target.budget().bytesPerSecond();
    }

    /** Seconds of processor time for a start, which is what most changes of settings take today. */
    double startSeconds() {
        double known = slopes.get("cpu.start").at(target.get("workers"));
        double teams = slopes.get("cpu.start.tenants").slope() * target.get("teams");
        return (known + Math.max(0, teams)) / MICROS;
    }

    /** Descriptors of a dispatcher whose open requests have a client's and a worker's connection each. */
    double descriptors(int dispatchers) {
        return 2 * target.get("tasksRunning") / dispatchers;
    }

    /** Slots that a worker has on average. */
    double slotsPerWorker() {
        return target.get("accelerators") / target.get("workers");
    }

    /** Requests a second from which on probes alone take a dispatcher's bytes. */
    double requestsThatProbesAllow() {
        return target.budget().bytesPerSecond() / (probesPerRequest() * slopes.get("bytes.probe").at(1));
    }

    double probesPerRequest() {
        return slopes.get("probes.request").at(target.get("workers"));
    }

    /** What comes to one dispatcher in a situation. */
    private final class Load {
        private final int dispatchers;
        private final Situation situation;
        private final double window = target.get("windowSeconds");
        private final double workers = target.get("workers");
        private final double open;
        private final double requests;
        private final double entries;

        Load(int dispatchers, Situation situation) {
            this.dispatchers = dispatchers;
            this.situation = situation;
            open = target.get("tasksRunning") / dispatchers;
            double lostAttempts = target.get("tasksRunning") * workersLost(situation) / workers / dispatchers;
            double starts = situation == Situation.PEAK ? target.get("startsAtPeak") : startsOnAverage();
            requests = starts / dispatchers + lostAttempts / window;
            entries = entriesOnAverage() + workersLost(situation) / window;
        }

        private Demand demand(String role, Demand.Kind kind, double state, double messages, double bytes, double core,
                String mechanism) {
            return new Demand(role, kind, situation, dispatchers, state, messages, bytes, core, mechanism);
        }

        /** Its processor time is measured with that of attempts and stands there. */
        Demand front() {
            double state = open * slopes.get("heap.connection").slope();
            return demand("Client front", Demand.Kind.TRAFFIC, state, 2 * requests,
                requests * slopes.get("bytes.request").at(1), 0, "Frontend, FrontendConnection");
        }

        Demand module() {
            double state = slopes.get("heap.worker").at(workers) + open * slopes.get("heap.open").slope()
                + target.get("teams") * slopes.get("heap.tenant").slope();
            double core = (requests * slopes.get("cpu.request").at(workers)
                + entries * slopes.get("cpu.news").at(workers) + lists() * slopes.get("cpu.list").at(workers)) / MICROS;
            double events = requests * (1 + 2 * target.get("attemptsPerRequest") + probesPerRequest()) + entries;
            return demand("Decision module", Demand.Kind.CONTROL, state, events, 0, core, "DefaultDispatchPolicy");
        }

        /** Whole lists a second. */
        private double lists() {
            return situation == Situation.RESTART ? 1 / window : 0;
        }

        /** Calls of discovery a second: each ends with its time, or with an entry that has changed. */
        private double calls() {
            return 1 / target.get("watchSeconds") + entries;
        }

        Demand discovery() {
            Slope delta = slopes.get("bytes.delta");
            double state = slopes.get("heap.process").at(workers) - slopes.get("heap.process").at(8)
                - slopes.get("heap.worker").at(workers);
            double bytes = calls() * Math.max(0, delta.base()) + entries * delta.slope()
                + lists() * slopes.get("bytes.list.indented").at(workers);
            double core = (entries * slopes.get("cpu.parse").slope()
                + lists() * (slopes.get("cpu.list.process").at(workers) - slopes.get("cpu.list").at(workers))) / MICROS;
            return demand("Discovery client", Demand.Kind.CONTROL, Math.max(0, state), 2 * (calls() + lists()), bytes, core,
                "DiscoveryClient, BackendListCodec");
        }

        /** How much a process has served by then, as a size of the slopes of requests. */
        private int served() {
            return situation == Situation.RESTART ? FEW_SERVED : MANY_SERVED;
        }

        /** Processor time of the whole way of a request on sockets, from its client to its worker and back. */
        Demand attempts() {
            double sent = requests * target.get("attemptsPerRequest");
            double core = requests * Math.max(0, slopes.get("cpu.request.silent").at(served())) / MICROS;
            return demand("Worker connections: attempts", Demand.Kind.TRAFFIC, open * slopes.get("heap.connection").slope(),
                2 * sent, sent * slopes.get("bytes.attempt").at(1), core, "HttpBackendClient, AttemptExchange");
        }

        Demand probes() {
            double probes = requests * probesPerRequest();
            double oneProbe = (slopes.get("cpu.request.probing").at(served()) - slopes.get("cpu.request.silent").at(served()))
                / slopes.get("probes.process").at(served());
            return demand("Worker connections: probes and reports", Demand.Kind.CONTROL, 0, 2 * probes,
                probes * slopes.get("bytes.probe").at(1), probes * Math.max(0, oneProbe) / MICROS,
                "HttpBackendClient, ProbeExchange, LoadReportParser");
        }

        /** By today's means: the whole file to each process, and a start, with the changes of so long gathered as may wait. */
        Demand settings() {
            double changes = Math.min(target.get("changesPerDay") / SECONDS_PER_DAY, 1 / target.budget().changeSeconds());
            double teams = target.get("teams");
            double file = slopes.get("bytes.settings").at(teams);
            return demand("Settings and contracts", Demand.Kind.CONTROL, file, changes, changes * file,
                changes * startSeconds(), Demand.NONE);
        }

        Demand figures() {
            double looks = 1 / target.get("scrapeSeconds");
            double bytes = looks * slopes.get("bytes.metrics").at(target.get("classes"));
            double core = looks * slopes.get("cpu.metrics").at(target.get("teams")) / MICROS;
            return demand("Operators' figures", Demand.Kind.CONTROL, 0, 2 * looks, bytes, core, "Metrics, FrontendConnection");
        }

        /** A line for each worker that is listed for the first time; lines of workers set aside are bounded by the module. */
        Demand logs() {
            Slope start = slopes.get("bytes.log.start");
            double bytes = entriesOnAverage() * start.slope() + lists() * start.at(workers);
            return demand("Logs", Demand.Kind.CONTROL, 0, lists() * workers + entriesOnAverage(), bytes, 0, "AsynchronousWriter");
        }

        /** The process with no request; a restart's own processor time is that of one start. */
        Demand idle() {
            double core = situation == Situation.RESTART
                ? slopes.get("cpu.idle").at(workers) / MICROS + startSeconds() / window
                : slopes.get("cpu.idle.age").at(GROWN_SECONDS) / MICROS;
            Slope heap = slopes.get("heap.process");
            double state = slopes.get("rss.process").at(workers) - (heap.at(workers) - heap.at(8));
            return demand("Process: Java, idle rounds, start", Demand.Kind.CONTROL, state, 0, 0, core, "DispatcherProcess, Deadlines");
        }

        /** Over all dispatchers. */
        Demand standInDiscovery() {
            Demand one = discovery();
            double state = slopes.get("bytes.list.indented").at(workers);
            return demand("Stand-in discovery, all dispatchers", Demand.Kind.OUTSIDE, state, dispatchers * one.messages(),
                dispatchers * one.bytes(), 0, "outside the program");
        }

        /** One worker, asked by all dispatchers. */
        Demand standInWorkers() {
            double probes = dispatchers * requests * probesPerRequest() / workers;
            double attempts = dispatchers * requests * target.get("attemptsPerRequest") / workers;
            double bytes = probes * slopes.get("bytes.probe").at(1) + attempts * slopes.get("bytes.attempt").at(1);
            return demand("Stand-in worker, one of all", Demand.Kind.OUTSIDE, 0, 2 * (probes + attempts), bytes,
                probes * target.get("probeWorkMillis") / MILLIS, "outside the program");
        }
    }
}
