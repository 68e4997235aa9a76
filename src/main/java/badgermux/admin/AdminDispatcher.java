package badgermux.admin;

import badgermux.operator.SettingsNotOwnedException;
import badgermux.operator.SnapshotConflictException;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.tinylog.Logger;

/**
 * Has the resources of the admin API handle calls one after another on the settings thread. A change at a process that does
 * not own the settings is forwarded to the one that does. Methods are called on the event loop, and so are callbacks.
 */
public final class AdminDispatcher {
    /** The longest body, in bytes, that is forwarded: far longer than usual descriptions. */
    private static final int MAX_FORWARDED_BYTES = 4 << 20;
    private static final int RETRY_AFTER_SECONDS = 1;

    private final Map<String, Resource> resources = new TreeMap<>();
    private final Executor settingsThread;
    private final Executor eventLoop;
    private ChangeForwarder forwarder = ChangeForwarder.NONE;

    /** The executors run tasks on the settings thread and on the event loop. */
    public AdminDispatcher(Executor settingsThread, Executor eventLoop) {
        this.settingsThread = settingsThread;
        this.eventLoop = eventLoop;
    }

    /** Adds the resource under {@code /v1/NAME}. To be called before the first call. */
    public void add(String name, Resource resource) {
        resources.put(name, resource);
    }

    /** Sets who forwards changes; until then, all are handled here. */
    public void setForwarder(ChangeForwarder newForwarder) {
        forwarder = newForwarder;
    }

    /** Returns the names of all resources. */
    Iterable<String> resourceNames() {
        return resources.keySet();
    }

    /** Whether there is a resource of this name. */
    boolean has(String name) {
        return resources.containsKey(name);
    }

    /** Handles a call, here or at the process that owns the settings. {@code request} is evaluated on the settings thread. */
    void handle(String resource, Supplier<AdminRequest> request, boolean isChange,
            Consumer<AdminResponse> callback) {
        boolean isForwarded = isChange && !forwarder.isOwner();
        settingsThread.execute(() -> {
            try {
                AdminCall call = new AdminCall(resource, request.get());
                AdminResponse response = isForwarded ? null : execute(call);
                if (response == null) {
                    forward(call, callback);
                } else {
                    eventLoop.execute(() -> callback.accept(response));
                }
            } catch (OutOfMemoryError e) {
                eventLoop.execute(() -> callback.accept(outOfMemory()));
            }
        });
    }

    /** Handles a call that another process has forwarded, and passes the encoded response to the callback. */
    public void handleForwarded(String encodedCall, Consumer<String> callback) {
        settingsThread.execute(() -> {
            AdminResponse response;
            try {
                response = execute(AdminCall.decode(encodedCall));
            } catch (JsonParseException e) {
                response = AdminResponse.problem(400, e.getMessage());
            }
            String encoded = AdminCall.encodeResponse(response == null ? unavailable(
                "the settings have just been handed over", null) : response);
            eventLoop.execute(() -> callback.accept(encoded));
        });
    }

    /** Forwards a call. Called on the settings thread. */
    private void forward(AdminCall call, Consumer<AdminResponse> callback) {
        boolean isTooLong = call.request().body().length > MAX_FORWARDED_BYTES;
        String encodedCall = isTooLong ? null : call.encode();
        eventLoop.execute(() -> {
            boolean isForwarded = !isTooLong && forwarder.forward(encodedCall, encodedResponse -> settingsThread.execute(() -> {
                AdminResponse response = decodeResponse(encodedResponse);
                eventLoop.execute(() -> callback.accept(response));
            }));
            if (!isForwarded) {
                callback.accept(unavailable(forwarder.unavailableReason(), forwarder.ownerAddress()));
            }
        });
    }

    private static AdminResponse decodeResponse(String encodedResponse) {
        try {
            return encodedResponse == null ? AdminResponse.problem(502,
                "the process that held the settings has ended; whether the change is kept shows in a GET")
                : AdminCall.decodeResponse(encodedResponse);
        } catch (JsonParseException e) {
            return AdminResponse.problem(502, e.getMessage());
        }
    }

    /** Returns a refusal that is to be tried again; {@code ownerAddress} is null where it is not known. */
    private static AdminResponse unavailable(String detail, String ownerAddress) {
        JsonObject members = new JsonObject();
        if (ownerAddress != null) {
            members.addProperty("owner", ownerAddress);
        }
        return AdminResponse.problem(503, detail + "; nothing has changed", "Retry-After: " + RETRY_AFTER_SECONDS + "\r\n", members);
    }

    /** Has a resource handle a call; returns null if this process does not own the settings that it would change. */
    private AdminResponse execute(AdminCall call) {
        Resource resource = resources.get(call.resource());
        if (resource == null) {
            return AdminResponse.problem(404, "there is no resource " + call.resource());
        }
        try {
            return resource.handle(call.request());
        } catch (SettingsNotOwnedException e) {
            return null;
        } catch (SnapshotConflictException e) {
            return AdminResponse.problem(409, e.getMessage() + "; nothing of this change is kept");
        } catch (Exception | StackOverflowError e) {
            Logger.error(e, "Exception while handling an admin request");
            return AdminResponse.problem(500, "the call failed; the log says why");
        } catch (OutOfMemoryError e) {
            return outOfMemory();
        }
    }

    private static AdminResponse outOfMemory() {
        return AdminResponse.problem(507, "there is not enough memory for it");
    }
}
