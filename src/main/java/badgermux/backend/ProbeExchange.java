package badgermux.backend;

import badgermux.decide.DispatchPolicy;
import badgermux.http.InvalidMessageException;
import badgermux.http.MessageEncoder;
import badgermux.http.OutboundConnection;
import badgermux.http.MessageHead;
import io.netty.buffer.ByteBuf;
import java.io.ByteArrayOutputStream;

/** A probe: one question, one answer. */
final class ProbeExchange implements OutboundConnection.Exchange {
    /** Told once what came of it, after the connection is done with it. */
    interface Listener {
        void onProbeEnded(boolean answered, DispatchPolicy.LoadReport report);
    }

    private final String target;
    private final String hostHeader;
    private final Listener listener;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private int status;

    ProbeExchange(String target, String host, Listener answer) {
        this.target = target;
        this.hostHeader = host;
        this.listener = answer;
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

    @Override public void onConnectionFailed(boolean written) {
        listener.onProbeEnded(false, null);
    }
}
