package badgermux.scale;

import badgermux.backend.Backends;
import badgermux.config.Config;
import badgermux.core.Asker;
import badgermux.core.Clock;
import badgermux.core.Deadlines;
import badgermux.core.Engine;
import badgermux.decide.Dispatch;
import badgermux.decide.Dispatcher;
import badgermux.discovery.Discovery;
import badgermux.http.Relay;
import badgermux.metrics.Metrics;
import io.netty.channel.EventLoop;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * A dispatcher without clients: the real decision module, engine, discovery client and worker connections, joined as the
 * program joins them, with requests made up here. All is used on one event loop, which it may share.
 */
final class HollowDispatcher {
    private static final byte[] BODY = "x".repeat(200).getBytes(StandardCharsets.US_ASCII);

    /** What became of the requests. */
    static final class Answers {
        long asked;
        long served;
        long synthetic;
        long failed;
        /** Beyond the one answer that each request gets. */
        long second;

        long lost() {
            return asked - served - synthetic - failed;
        }
    }

    private final EventLoop loop;
    private final Clock clock = new Clock();
    private final Metrics metrics = new Metrics(List.of(Layout.CLASS));
    private final Deadlines deadlines = new Deadlines(clock::now, this::alarm, metrics);
    private final Engine<Relay> engine;
    private final Discovery discovery;
    private final RequestIds ids;
    private final Answers answers;
    private final long giveUpMicros;
    private Future<?> alarm;

    HollowDispatcher(EventLoop loop, Config config, int connections, RequestIds ids, Answers answers, TimedModule timed) {
        this.loop = loop;
        this.ids = ids;
        this.answers = answers;
        Dispatch.Settings settings = config.settings();
        giveUpMicros = settings.classes.get(0).deadline();
        engine = new Engine<>(clock::now, deadlines, metrics, settings.maxAttempts);
        Backends backends = new Backends(loop, deadlines, clock::now, metrics, engine, config.connectTimeout(),
            settings.connectionIdle, connections, settings.reports == Dispatch.ReportMode.ON_PROBE);
        discovery = new Discovery(loop, deadlines, clock, metrics, engine, backends, config.discovery(), config.known(),
            config.zones(), config.kinds(), null, null, settings.listPushed);
        Dispatch module = new Dispatcher(settings, config.seed(), engine);
        engine.join(timed.around(module), backends, discovery::watch);
    }

    void start() {
        discovery.start();
    }

    Metrics metrics() {
        return metrics;
    }

    /** Takes one request of a tenant in. */
    void ask(int tenant) {
        String id = ids.next();
        answers.asked++;
        Relay relay = new Relay(id, "POST /" + Layout.CLASS + " HTTP/1.1", "X-Request-ID: " + id + "\r\n", BODY, null);
        engine.take(new OneAnswer(), relay, 0, tenant, 1, clock.now() + giveUpMicros, true);
    }

    private void alarm(long at) {
        if (alarm != null) {
            alarm.cancel(false);
        }
        alarm = loop.schedule(deadlines::runDue, Math.max(0, at - clock.now()), TimeUnit.MICROSECONDS);
    }

    /** Counts the answer of one request. */
    private final class OneAnswer implements Asker {
        private boolean answered;

        @Override public void served(byte[] result) {
            answers.served += first();
        }

        @Override public void synthetic(long comeBack) {
            answers.synthetic += first();
        }

        @Override public void failed(boolean late) {
            answers.failed += first();
        }

        private int first() {
            answers.second += answered ? 1 : 0;
            int counts = answered ? 0 : 1;
            answered = true;
            return counts;
        }
    }
}
