package badgermux.front;

import badgermux.http.MessageHead;
import badgermux.http.ResponseContract;

/** Says of each request, before anything is taken, whether it may come in. */
public interface RequestValidator {
    /** Told the verdict once, on the event loop: from inside {@link #validate}, or later. */
    interface Callback {
        /** It may come in; {@code terms} are what its answer is held to, null for nothing. */
        void onAccepted(ResponseContract terms);

        /** It is turned away for what it is; {@code headers} are whole lines. */
        void onRejected(int status, String reason, String headers, byte[] body);

        /** It can't be judged now, for want of room. */
        void onOverloaded();
    }

    /** Judges a request that is whole. */
    void validate(String method, String target, MessageHead head, byte[] body, Callback callback);
}
