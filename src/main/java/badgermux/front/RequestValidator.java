package badgermux.front;

import badgermux.http.MessageHead;
import badgermux.http.ResponseContract;

/** Decides about each request, before it is submitted to the engine, whether it is accepted. */
public interface RequestValidator {
    /** A validation whose result is still to come. */
    interface Validation {
        /** The result is not needed any more: the callback gets none, and a validation that has not begun never does. */
        void cancel();
    }

    /** Receives the result of a validation. One method is called, once, on the event loop: within {@link #validate} or later. */
    interface Callback {
        /**
         * The request is accepted.
         *
         * @param contract validates the response; null if it is not validated
         */
        void onAccepted(ResponseContract contract);

        /**
         * The request is invalid.
         *
         * @param headers header lines of the response, each with its line end
         */
        void onRejected(int status, String reason, String headers, byte[] body);

        /** The request can't be validated now, for lack of capacity. */
        void onOverloaded();
    }

    /**
     * Validates a complete request.
     *
     * @return the validation, if its result comes later; null if the callback has been called
     */
    Validation validate(String method, String target, MessageHead head, byte[] body, Callback callback);
}
