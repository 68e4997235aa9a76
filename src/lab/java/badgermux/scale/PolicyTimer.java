package badgermux.scale;

import badgermux.decide.DispatchPolicy;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Proxy;
import org.HdrHistogram.Histogram;

/** Times what the decision module does: news of the list, and all else. One thread uses it. */
final class PolicyTimer {
    private static final String LIST_METHOD = "workers";
    private static final long MAX_RECORDED_MICROS = 60_000_000;
    private static final int NANOS = 1_000;

    final Histogram listUpdates = new Histogram(MAX_RECORDED_MICROS, 3);
    final Histogram otherEvents = new Histogram(MAX_RECORDED_MICROS, 3);

    /** The same module, timed. */
    DispatchPolicy around(DispatchPolicy module) {
        return (DispatchPolicy) Proxy.newProxyInstance(DispatchPolicy.class.getClassLoader(), new Class<?>[] {DispatchPolicy.class},
            (proxy, method, arguments) -> {
                long from = System.nanoTime();
                try {
                    return method.invoke(module, arguments);
                } catch (InvocationTargetException e) {
                    throw e.getCause();
                } finally {
                    Histogram of = method.getName().equals(LIST_METHOD) ? listUpdates : otherEvents;
                    of.recordValue(Math.min(MAX_RECORDED_MICROS, (System.nanoTime() - from) / NANOS));
                }
            });
    }
}
