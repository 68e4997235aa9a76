package badgermux.scale;

import badgermux.decide.DispatchPolicy;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Proxy;
import org.HdrHistogram.Histogram;

/** Times what the decision module does: news of the list, and all else. One thread uses it. */
final class TimedModule {
    private static final String NEWS = "workers";
    private static final long LONGEST_US = 60_000_000;
    private static final int NANOS = 1_000;

    final Histogram news = new Histogram(LONGEST_US, 3);
    final Histogram others = new Histogram(LONGEST_US, 3);

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
                    Histogram of = method.getName().equals(NEWS) ? news : others;
                    of.recordValue(Math.min(LONGEST_US, (System.nanoTime() - from) / NANOS));
                }
            });
    }
}
