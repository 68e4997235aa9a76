package badgermux.zone;

/** What is held of a zone. */
public enum ZoneHealth {
    /** Its nodes answer. */
    WHOLE,
    /** Some do not; what they can't take goes on to the next tier. */
    DEGRADED,
    /** Too few do: no work but for trials. */
    DARK,
    /** It answers again and is let back stage by stage. */
    RETURNING
}
