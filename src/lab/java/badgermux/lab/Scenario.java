package badgermux.lab;

import java.util.ArrayList;
import java.util.List;

/** What a run consists of. Spans are in seconds. */
final class Scenario {
    /** A zone's nodes: gone at {@code from}, started anew, cold, at {@code to}. */
    record Loss(int zone, double startSeconds, double endSeconds) { }

    String name = "loss";
    int zones = 2;
    int backendsPerZone = 7;
    int dispatchersPerZone = 2;
    /** Work that comes, against what the nodes of all zones but one can do. */
    double load = 1.0;
    double durationSeconds = 80;
    final List<Loss> losses = new ArrayList<>();
    /** Whether lost nodes fall silent (a cut cable, a dark hall) or refuse connections (dead processes). */
    boolean isLossSilent = true;
    /** Whether a cold node counts what its class needs on average, not what the very job turns out to need. */
    boolean countsMeanWork;
    /** Whether nodes of the slower kind run what was cancelled while it waited there. */
    boolean ignoresCancel;
    /** How old a report is, in microseconds, when it can be had. */
    long reportLagMicros;
    /** The part of the jobs of wide classes that need two slots. */
    double twoSlotShare = 0.5;
    /** The dispatcher of this number starts anew at this time; -1 for none. */
    int restartedDispatcher = -1;
    double restartAtSeconds;
    /** How late the list is, at least and at most. */
    double minListDelaySeconds = 1;
    double maxListDelaySeconds = 14;

    /** All dispatchers are started anew, a tenth at a time, from {@code rollFrom} to {@code rollTo}; none where 0. */
    double rollStartSeconds;
    double rollEndSeconds;
    /** Whether reports tell how long jobs ran lately. */
    boolean reportsRunTimes;
    /** Whether one that is started anew goes on from what it has learnt before. */
    boolean keepsLearnedState;
    /** This part of the nodes is replaced in six steps, from {@code swapFrom} to {@code swapTo}, by cold ones of other ids. */
    double replacedShare;
    double replaceStartSeconds;
    double replaceEndSeconds;
    /** This part of the nodes starts when the run begins, as all dispatchers do. */
    double initialColdShare;

    Scenario withName(String to) {
        name = to;
        return this;
    }

    Scenario withLoss(int zone, double from, double to) {
        losses.add(new Loss(zone, from, to));
        return this;
    }

    Scenario withRollingRestart(double from, double to) {
        rollStartSeconds = from;
        rollEndSeconds = to;
        return this;
    }

    Scenario withReplacement(double share, double from, double to) {
        replacedShare = share;
        replaceStartSeconds = from;
        replaceEndSeconds = to;
        return this;
    }

    Scenario load(double to) {
        load = to;
        return this;
    }

    Scenario withSize(int ofZones, int nodes, int dispatchers) {
        zones = ofZones;
        backendsPerZone = nodes;
        dispatchersPerZone = dispatchers;
        return this;
    }

    Scenario withRestart(int dispatcher, double at) {
        restartedDispatcher = dispatcher;
        restartAtSeconds = at;
        return this;
    }
}
