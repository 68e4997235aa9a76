package badgermux.scale;

import badgermux.backend.HttpBackendClient;
import badgermux.config.Config;
import badgermux.core.ResponseListener;
import badgermux.core.Clock;
import badgermux.core.Deadlines;
import badgermux.core.Engine;
import badgermux.decide.DispatchPolicy;
import badgermux.decide.DefaultDispatchPolicy;
import badgermux.discovery.DiscoveryClient;
import badgermux.http.ForwardedRequest;
import badgermux.metrics.Metrics;
import io.netty.channel.EventLoop;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * A dispatcher without clients. It connects the real dispatch policy, engine, discovery client and backend client as the
 * program does, and generates the requests itself. All state is confined to one event loop, which several may share.
 */
final class HollowDispatcher {
    private static final byte[] BODY = "x".repeat(200).getBytes(StandardCharsets.US_ASCII);

    /** Requests by outcome. */
    static final class AnswerCounts {
        long asked;
        long served;
        long synthetic;
        long failed;
        /** Answers after the final answer of a request. */
        long repeated;

        /** Returns the requests without an answer. */
        long lost() {
            return asked - served - synthetic - failed;
        }
    }

    private final EventLoop loop;
    private final Clock clock = new Clock();
    private final Metrics metrics = new Metrics(List.of(FleetLayout.CLASS));
    private final Deadlines deadlines = new Deadlines(clock::nowMicros, this::setAlarm, metrics);
    private final Engine<ForwardedRequest> engine;
    private final DiscoveryClient discovery;
    private final RequestIds ids;
    private final AnswerCounts answers;
    private final long timeoutMicros;
    private Future<?> alarm;

    HollowDispatcher(EventLoop loop, Config config, int connections, RequestIds ids, AnswerCounts answers,
            PolicyTimer policyTimer) {
        this.loop = loop;
        this.ids = ids;
        this.answers = answers;
        DispatchPolicy.Settings settings = config.settings();
        settings.holdsUntilListConfirmed = true;
        timeoutMicros = settings.classes.get(0).clientTimeoutMicros();
        engine = new Engine<>(clock::nowMicros, deadlines, metrics, settings.maxAttempts);
        HttpBackendClient backends = new HttpBackendClient(loop, deadlines, clock::nowMicros, metrics, engine,
            config.connectTimeoutMicros(), settings.idleTimeoutMicros, connections,
            settings.reportMode == DispatchPolicy.ReportMode.ON_PROBE);
        discovery = new DiscoveryClient(loop, deadlines, clock, metrics, engine, backends, config.discoveryAddress(),
            config.cachedList(), config.zoneNames(), config.kindNames(), null, null, settings.listPushed,
            config.seed());
        DispatchPolicy policy = new DefaultDispatchPolicy(settings, config.seed(), engine);
        engine.connect(policyTimer.around(policy), backends, discovery::watch);
    }

    void start() {
        discovery.start();
    }

    Metrics metrics() {
        return metrics;
    }

    /** Submits one request of a tenant. */
    void submitRequest(int tenant) {
        String id = ids.next();
        answers.asked++;
        ForwardedRequest forwarded = new ForwardedRequest(id, "POST /" + FleetLayout.CLASS + " HTTP/1.1",
            "X-Request-ID: " + id + "\r\n", BODY, null);
        engine.submit(new AnswerCounter(), forwarded, 0, tenant, 1, clock.nowMicros() + timeoutMicros, true);
    }

    /** Schedules the next run of deadlines, which replaces an earlier one. */
    private void setAlarm(long dueMicros) {
        if (alarm != null) {
            alarm.cancel(false);
        }
        alarm = loop.schedule(deadlines::runDue, Math.max(0, dueMicros - clock.nowMicros()), TimeUnit.MICROSECONDS);
    }

    /** Counts the answers to one request. */
    private final class AnswerCounter implements ResponseListener {
        private boolean isAnswered;

        @Override public void onServed(byte[] result) {
            answers.served += countAnswer();
        }

        @Override public void onRefused(long retryAfterMicros) {
            answers.synthetic += countAnswer();
        }

        @Override public void onFailed(boolean late) {
            answers.failed += countAnswer();
        }

        /** Returns 1 for the first answer; counts a further one as repeated, and returns 0. */
        private int countAnswer() {
            answers.repeated += isAnswered ? 1 : 0;
            int count = isAnswered ? 0 : 1;
            isAnswered = true;
            return count;
        }
    }
}
