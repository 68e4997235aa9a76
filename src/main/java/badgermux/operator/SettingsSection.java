package badgermux.operator;

/** A subsystem whose settings are a section of the snapshot. */
public interface SettingsSection {
    /** The step that puts checked settings in force; does not fail for the settings' sake. */
    interface Installation {
        void install() throws Exception;
    }

    /**
     * Checks and compiles this subsystem's section of a snapshot; nothing changes yet. Called on the settings thread, like the
     * step that it returns.
     *
     * @throws SnapshotException if the section can't be used
     */
    Installation prepare(Snapshot snapshot) throws SnapshotException;
}
