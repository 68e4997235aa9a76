package badgermux;

import java.lang.reflect.Proxy;

/**
 * SIGHUP. Java has no other way to it than a class of the JDK's own, {@code sun.misc.Signal}, which is reached by its name
 * here: javac's warning of it can't be switched off, and warnings are errors in this project.
 */
final class SighupHandler {
    private SighupHandler() { }

    /** Has this run for each SIGHUP, on a thread of its own, in place of the process's end. */
    static void handle(Runnable what) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object handling = Proxy.newProxyInstance(SighupHandler.class.getClassLoader(), new Class<?>[] {handler},
                (proxy, method, arguments) -> {
                    if (method.getName().equals("handle")) {
                        what.run();
                        return null;
                    }
                    return method.invoke(what, arguments);  // one of Object's
                });
            signal.getMethod("handle", signal, handler)
                .invoke(null, signal.getConstructor(String.class).newInstance("HUP"), handling);
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException("SIGHUP can't be handled", e);
        }
    }
}
