package badgermux.scale;

import badgermux.decide.DispatchPolicy;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Proxy;
import org.HdrHistogram.Histogram;

/** Measures the time of each call of a dispatch policy, separately for list updates and other events. Not thread-safe. */
final class PolicyTimer {
    /** The name of {@link DispatchPolicy#backendsListed}. */
    private static final String LIST_METHOD = "backendsListed";
    private static final long MAX_RECORDED_MICROS = 60_000_000;
    private static final int NANOS_PER_MICRO = 1_000;

    final Histogram listUpdates = new Histogram(MAX_RECORDED_MICROS, 3);
    final Histogram otherEvents = new Histogram(MAX_RECORDED_MICROS, 3);

    /** Returns a proxy of the policy that measures the time of each call. */
    DispatchPolicy around(DispatchPolicy policy) {
        return (DispatchPolicy) Proxy.newProxyInstance(DispatchPolicy.class.getClassLoader(),
            new Class<?>[] {DispatchPolicy.class}, (proxy, method, arguments) -> {
                long startNanos = System.nanoTime();
                try {
                    return method.invoke(policy, arguments);
                } catch (InvocationTargetException e) {
                    throw e.getCause();
                } finally {
                    Histogram histogram = method.getName().equals(LIST_METHOD) ? listUpdates : otherEvents;
                    histogram.recordValue(Math.min(MAX_RECORDED_MICROS, (System.nanoTime() - startNanos) / NANOS_PER_MICRO));
                }
            });
    }
}
