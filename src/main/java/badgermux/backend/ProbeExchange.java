package badgermux.backend;

import badgermux.decide.DispatchPolicy;
import badgermux.http.InvalidMessageException;
import badgermux.http.MessageEncoder;
import badgermux.http.MessageHead;
import badgermux.http.OutboundConnection;
import io.netty.buffer.ByteBuf;
import java.io.ByteArrayOutputStream;

/** One probe on its connection: a GET request and its response. */
final class ProbeExchange implements OutboundConnection.Exchange {
    /** Receives the result of the probe, once, after the connection has finished the exchange. */
    interface Listener {
        /**
         * The probe has ended.
         *
         * @param isAnswered whether the response has status 200
         * @param report     null if there is none or it is malformed
         */
        void onProbeEnded(boolean isAnswered, DispatchPolicy.LoadReport report);
    }

    private final String target;
    private final String hostHeader;
    private final Listener listener;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private int status;

    ProbeExchange(String target, String hostHeader, Listener listener) {
        this.target = target;
        this.hostHeader = hostHeader;
        this.listener = listener;
    }

    @Override public ByteBuf createRequest() {
        return MessageEncoder.getRequest(target, hostHeader);
    }

    @Override public void onHead(MessageHead head) throws InvalidMessageException {
        status = head.status();
    }

    @Override public void onBody(byte[] bytes) {
        body.writeBytes(bytes);
    }

    @Override public void onResponseEnded() {
        listener.onProbeEnded(status == 200, LoadReportParser.parse(body.toByteArray()));
    }

    @Override public void onConnectionFailed(boolean requestWritten) {
        listener.onProbeEnded(false, null);
    }
}
