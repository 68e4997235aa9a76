package badgermux.http;

import java.util.function.Consumer;

/** What a request's answer is held to, from when the request was taken until its final answer. */
public interface ResponseContract {
    /** The judge of one answer's lines. */
    interface LineValidator {
        /** Whether this line may come now. */
        boolean accept(byte[] line);
    }

    /** The judge of an answer that begins with this head; null where its lines are not judged. */
    LineValidator lineValidator(MessageHead head);

    /** Tells, at once or later but on the event loop, whether a result may be served. */
    void validateResult(byte[] result, Consumer<Boolean> usable);

    /** The request has its final answer, or nobody waits for it any more. */
    void release();
}
