package badgermux.operator;

import java.util.concurrent.CompletableFuture;

/**
 * Tells whether this process owns the settings, so that at any moment one process of a dispatcher may change them. Methods are
 * called on the event loop.
 */
public interface SettingsOwnership {
    /**
     * Begins a change. Returns null if this process owns the settings, and then holds the ownership until
     * {@link #endChange}; otherwise returns the reason why it may not change them.
     */
    String beginChange();

    /**
     * Ends a change.
     *
     * @param changed the new snapshot, in force at this process, as {@link Snapshot#line} encodes it; null if nothing has changed
     * @param revision the revision in force
     * @return completes once the other process of a hot restart has the new snapshot in force, or is gone
     */
    CompletableFuture<Void> endChange(String changed, long revision);

    /** The ownership of a process that is alone: it may always change the settings. */
    SettingsOwnership SOLE = new SettingsOwnership() {
        @Override public String beginChange() {
            return null;
        }

        @Override public CompletableFuture<Void> endChange(String changed, long revision) {
            return CompletableFuture.completedFuture(null);
        }
    };
}
