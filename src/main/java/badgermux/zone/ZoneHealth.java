package badgermux.zone;

/** The health of a zone as one dispatcher sees it. */
public enum ZoneHealth {
    /** Its backends respond. */
    WHOLE,
    /** Some backends do not respond; the load that exceeds the others' capacity spills to the next tier. */
    DEGRADED,
    /** Too few backends respond: the zone gets trial requests only. */
    DARK,
    /** Backends respond again, and the load is restored in stages. */
    RETURNING
}
