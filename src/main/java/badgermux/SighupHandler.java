package badgermux;

import java.lang.reflect.Proxy;

/**
 * Installs a handler for SIGHUP. The JDK offers signal handling only in {@code sun.misc.Signal}, which is accessed by
 * reflection: javac's warning about direct use can't be suppressed, and this project treats warnings as errors.
 */
final class SighupHandler {
    private SighupHandler() { }

    /** Runs the action on a separate thread for each SIGHUP, instead of terminating the process. */
    static void handle(Runnable action) {
        try {
            Class<?> signalClass = Class.forName("sun.misc.Signal");
            Class<?> handlerClass = Class.forName("sun.misc.SignalHandler");
            Object handler = Proxy.newProxyInstance(SighupHandler.class.getClassLoader(), new Class<?>[] {handlerClass},
                (proxy, method, arguments) -> {
                    if (method.getName().equals("handle")) {
                        action.run();
                        return null;
                    }
                    return method.invoke(action, arguments);  // a method of Object, such as hashCode
                });
            signalClass.getMethod("handle", signalClass, handlerClass)
                .invoke(null, signalClass.getConstructor(String.class).newInstance("HUP"), handler);
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException("Failed to install the SIGHUP handler", e);
        }
    }
}
