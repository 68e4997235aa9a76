package badgermux.http;

import java.util.function.Consumer;

/** Validates the response to one request, from when the request is taken until its final answer. */
public interface ResponseContract {
    /** Validates the lines of one response, in their order. */
    interface LineValidator {
        /** Whether this line is allowed after the lines before it. */
        boolean accept(byte[] line);
    }

    /** Returns a validator for the lines of a response with this head; null if its lines are not validated. */
    LineValidator lineValidator(MessageHead head);

    /** Validates a result. Calls {@code onValidated} with whether it is valid, at once or later, on the event loop. */
    void validateResult(byte[] result, Consumer<Boolean> onValidated);

    /** The request has its final answer, or its client has left. */
    void release();
}
