package badgermux.zone;

/** What is known of a node beyond the list. */
final class Node {
    static final long NEVER = Long.MIN_VALUE / 4;

    final long id;
    int zone;
    boolean ready;
    int listed;
    /** The last sign of life, and the first of a row of failures since. */
    long aliveAt = NEVER;
    long badAt = NEVER;
    int bad;
    /** What the failures since the last sign of life were: connects, breaks, silence. */
    int connects;
    int breaks;
    int silences;
    /** When it gave its first sign of life after its zone had gone dark, or after we began. */
    long backAt = NEVER;
    long askedAt = NEVER;
    double slots;
    int out;

    Node(long id, int zone) {
        this.id = id;
        this.zone = zone;
    }

    /** Whether it has failed since its last sign of life, hard enough or often enough to count. */
    boolean isSilent(long now) {
        return bad > 0 && now - aliveAt > 400_000 && (bad > 1 || connects + breaks > 0);
    }
}
