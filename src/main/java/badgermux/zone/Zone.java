package badgermux.zone;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** One zone as one dispatcher sees it: its evidence, its standing, and the work that went there. */
final class Zone {
    private static final int BUCKETS = 8;

    final int number;
    final String name;
    Standing standing = Standing.WHOLE;
    String evidence = "";
    long since;
    /** The last sign of life of any of its nodes. */
    long aliveAt = Node.NEVER;
    int losses;
    long lostAt = Node.NEVER;
    int stage;
    int good;
    int badInStage;
    boolean open;
    /** Nodes that the list holds to be ready, and the most of them in the last while. */
    int ready;
    double usual;
    double slotSum;
    int slotCount;
    /** All its nodes, and where sampling has come to. */
    final List<Node> members = new ArrayList<>();
    int next;
    long sampledAt = Node.NEVER;
    /** Nodes with a failure since their last sign of life. */
    final Set<Node> failing = new LinkedHashSet<>();
    /** Slots of ours at work there, its usual level, and those among them that came from outside. */
    double inFlight;
    double usualInFlight;
    double spilled;
    /** Slot-seconds that may still be spilled there. */
    double credit;
    long spills;
    long refusals;
    long trialAt = Node.NEVER;
    private final int[] alive = new int[BUCKETS];
    private long bucket;

    Zone(int number, String name) {
        this.number = number;
        this.name = name;
    }

    /** A node gave a sign of life; each counts once for each span of evidence. */
    void alive(long now, Node node, long span) {
        long at = turn(now, span);
        long before = node.aliveAt == Node.NEVER ? -BUCKETS : node.aliveAt / (span / BUCKETS);
        if (at - before < BUCKETS && before >= 0) {
            alive[(int) Math.floorMod(before, (long) BUCKETS)]--;
        }
        alive[(int) Math.floorMod(at, (long) BUCKETS)]++;
    }

    private long turn(long now, long span) {
        long at = now / (span / BUCKETS);
        for (long b = Math.max(bucket + 1, at - BUCKETS + 1); b <= at; b++) {
            alive[(int) Math.floorMod(b, (long) BUCKETS)] = 0;
        }
        bucket = Math.max(bucket, at);
        return at;
    }

    /** How many nodes gave a sign of life within the span. */
    int aliveLately(long now, long span) {
        turn(now, span);
        int sum = 0;
        for (int count : alive) {
            sum += count;
        }
        return sum;
    }

    double slotsOf(Node node, double otherwise) {
        return node.slots > 0 ? node.slots : slotCount > 0 ? slotSum / slotCount : otherwise;
    }

    /** The slots of all nodes that are of use now. */
    double slots(int silent, double otherwise) {
        return Math.max(0, ready - silent) * (slotCount > 0 ? slotSum / slotCount : otherwise);
    }
}
