package badgermux.admin;

import java.util.function.Consumer;

/** Forwards changes to the process that owns the settings, where that is another one. Methods are called on the event loop. */
public interface ChangeForwarder {
    /** Whether this process may change the settings itself. */
    boolean isOwner();

    /**
     * Has the owner handle an encoded call; see {@link AdminCall}.
     *
     * @param callback receives the encoded response on the event loop, or null if the owner ended before it responded
     * @return false if the owner can't be reached or takes no calls; the callback is not used then
     */
    boolean forward(String encodedCall, Consumer<String> callback);

    /** Returns why the settings can't be changed here at the moment. */
    String unavailableReason();

    /** Returns where the owner's admin API listens; null if that is not known or this process is the owner. */
    String ownerAddress();

    /** The forwarder of a process that is alone. */
    ChangeForwarder NONE = new ChangeForwarder() {
        @Override public boolean isOwner() {
            return true;
        }

        @Override public boolean forward(String encodedCall, Consumer<String> callback) {
            return false;
        }

        @Override public String unavailableReason() {
            return "the settings can't be changed";
        }

        @Override public String ownerAddress() {
            return null;
        }
    };
}
