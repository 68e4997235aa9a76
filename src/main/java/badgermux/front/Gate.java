package badgermux.front;

import badgermux.http.Head;
import badgermux.http.Terms;

/** Says of each request, before anything is taken, whether it may come in. */
public interface Gate {
    /** Told the verdict once, on the event loop: from inside {@link #judge}, or later. */
    interface Answer {
        /** It may come in; {@code terms} are what its answer is held to, null for nothing. */
        void pass(Terms terms);

        /** It is turned away for what it is; {@code headers} are whole lines. */
        void refuse(int status, String reason, String headers, byte[] body);

        /** It can't be judged now, for want of room. */
        void busy();
    }

    /** Judges a request that is whole. */
    void judge(String method, String target, Head head, byte[] body, Answer answer);
}
