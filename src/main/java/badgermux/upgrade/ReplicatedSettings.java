package badgermux.upgrade;

import badgermux.operator.Snapshot;
import java.util.function.Consumer;

/**
 * The settings of this process, as {@link SettingsReplication} uses them. Methods are called on the event loop and return at
 * once; callbacks run on the event loop, in the order of the calls.
 */
public interface ReplicatedSettings {
    /** Returns the snapshot in force. */
    Snapshot current();

    /** Passes the snapshot in force to the callback, encoded by {@link Snapshot#line}. */
    void encode(Consumer<String> callback);

    /**
     * Puts an encoded snapshot in force unless it is older than the current one.
     *
     * @param callback receives null, or the reason why the snapshot can't be used
     */
    void adopt(String encodedSnapshot, Consumer<String> callback);

    /**
     * Puts the stored snapshot in force if it is newer than the current one.
     *
     * @param callback receives null, or the reason why the stored snapshot can't be used
     */
    void reload(Consumer<String> callback);

    /** Handles a call of the admin API that another process has forwarded; the callback receives the encoded response. */
    void handleForwarded(String encodedCall, Consumer<String> callback);

    /** Returns where the admin API of this process listens, {@code HOST:PORT}; null if it has none. */
    String adminAddress();

    /**
     * The ownership has passed from this process to one whose admin API listens at an address, null if that is not known.
     * Where it is the same address, this process stops listening there.
     */
    void onOwnershipPassed(String ownerAddress);

    /** This process owns the settings. */
    void onOwnershipTaken();

    /** The settings of the previous process can't be used, so that this one can't take over from it. */
    void onUnusable(String reason);
}
