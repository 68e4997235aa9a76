package badgermux.lab;

import java.util.ArrayList;
import java.util.List;

/** The setup and the events of one simulated run. Times are in seconds from its begin unless a name says otherwise. */
final class Scenario {
    /** A loss of all backends of a zone at {@code startSeconds}; at {@code endSeconds} they start again, cold. */
    record Loss(int zone, double startSeconds, double endSeconds) { }

    String name = "loss";
    int zones = 2;
    int backendsPerZone = 7;
    int dispatchersPerZone = 2;
    /** The work offered, as a multiple of what the backends of all zones but one can do. */
    double load = 1.0;
    double durationSeconds = 80;
    final List<Loss> losses = new ArrayList<>();
    /** Whether lost backends stop answering (network or power failure) or refuse connections (dead processes). */
    boolean isLossSilent = true;
    /** Whether the overload limit of a cold backend counts the mean work of a class instead of the work of each request. */
    boolean countsMeanWork;
    /** Whether backends of the slower kind run queued requests that were cancelled. */
    boolean ignoresCancel;
    /** The age of a load report when it becomes available. */
    long reportLagMicros;
    /** The share of requests that need two slots, in classes that have such requests. */
    double twoSlotShare = 0.5;
    /** The number of the dispatcher that restarts at {@code restartAtSeconds}; -1 for none. */
    int restartedDispatcher = -1;
    double restartAtSeconds;
    /** The shortest delay after which a dispatcher learns of a change of the backend list. */
    double minListDelaySeconds = 1;
    /** The longest such delay. */
    double maxListDelaySeconds = 14;
    /** All dispatchers restart, a tenth of them at a time, from here to {@code rollEndSeconds}. */
    double rollStartSeconds;
    /** The end of the rolling restart; 0 for none. */
    double rollEndSeconds;
    /** Whether load reports carry recent run times. */
    boolean reportsRunTimes;
    /** Whether a restarted dispatcher gets its learned state back. */
    boolean keepsLearnedState;
    /**
     * The share of the backends that cold ones with other ids replace, in six steps between {@code replaceStartSeconds} and
     * {@code replaceEndSeconds}.
     */
    double replacedShare;
    double replaceStartSeconds;
    double replaceEndSeconds;
    /** The share of the backends that start cold when the run begins, as all dispatchers do. */
    double initialColdShare;

    Scenario withName(String newName) {
        name = newName;
        return this;
    }

    Scenario withLoss(int zone, double startSeconds, double endSeconds) {
        losses.add(new Loss(zone, startSeconds, endSeconds));
        return this;
    }

    Scenario withRollingRestart(double startSeconds, double endSeconds) {
        rollStartSeconds = startSeconds;
        rollEndSeconds = endSeconds;
        return this;
    }

    Scenario withReplacement(double share, double startSeconds, double endSeconds) {
        replacedShare = share;
        replaceStartSeconds = startSeconds;
        replaceEndSeconds = endSeconds;
        return this;
    }

    Scenario withLoad(double newLoad) {
        load = newLoad;
        return this;
    }

    /** Sets the number of zones, and of backends and dispatchers in each. */
    Scenario withSize(int zoneCount, int backends, int dispatchers) {
        zones = zoneCount;
        backendsPerZone = backends;
        dispatchersPerZone = dispatchers;
        return this;
    }

    Scenario withRestart(int dispatcher, double atSeconds) {
        restartedDispatcher = dispatcher;
        restartAtSeconds = atSeconds;
        return this;
    }
}
