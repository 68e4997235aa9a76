package badgermux.admin;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import badgermux.operator.SettingsNotOwnedException;
import badgermux.operator.SnapshotConflictException;
import com.google.gson.JsonParseException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class AdminDispatcherTest {
    private final AdminDispatcher dispatcher = new AdminDispatcher(Runnable::run, Runnable::run);
    private final List<String> forwarded = new ArrayList<>();
    private boolean isOwner = true;
    private boolean isReachable = true;
    private String reply;

    @BeforeEach void setUp() {
        dispatcher.add("echo", request -> new AdminResponse(200, "", request.body()));
        dispatcher.add("lost", request -> {
            throw new SettingsNotOwnedException("passed while it was compiled");
        });
        dispatcher.add("conflict", request -> {
            throw new SnapshotConflictException("changed");
        });
        dispatcher.setForwarder(new ChangeForwarder() {
            @Override public boolean isOwner() {
                return isOwner;
            }

            @Override public boolean forward(String encodedCall, Consumer<String> callback) {
                forwarded.add(encodedCall);
                if (isReachable) {
                    callback.accept(reply);
                }
                return isReachable;
            }

            @Override public String unavailableReason() {
                return "elsewhere";
            }

            @Override public String ownerAddress() {
                return "127.0.0.1:8601";
            }
        });
    }

    private AdminResponse call(String resource, boolean isChange, byte[] body) {
        List<AdminResponse> responses = new ArrayList<>();
        dispatcher.handle(resource, () -> new AdminRequest("PUT", List.of("a/b"), Map.of("q", "=&"), "\"7\"", body), isChange,
            responses::add);
        assertEquals(1, responses.size());
        return responses.get(0);
    }

    private static String text(AdminResponse response) {
        return new String(response.body(), StandardCharsets.UTF_8);
    }

    @Test void changesAreForwardedWherePassedOnAndReadsAreNot() {
        byte[] body = {0, -1, '"', '\n'};
        assertArrayEquals(body, call("echo", true, body).body());
        isOwner = false;
        assertArrayEquals(body, call("echo", false, body).body());
        assertEquals(List.of(), forwarded);
        reply = AdminCall.encodeResponse(new AdminResponse(201, "ETag: \"8\"\r\n", body));
        AdminResponse response = call("echo", true, body);
        assertEquals(201, response.status());
        assertEquals("ETag: \"8\"\r\n", response.headers());
        assertArrayEquals(body, response.body());
        AdminCall call = AdminCall.decode(forwarded.get(0));
        assertEquals("echo", call.resource());
        assertEquals(List.of("a/b"), call.request().path());
        assertEquals(Map.of("q", "=&"), call.request().query());
        assertEquals("\"7\"", call.request().ifMatch());
        assertArrayEquals(body, call.request().body());
    }

    /** The settings pass to the other process while a change is compiled: it is made there. */
    @Test void changeIsForwardedThatFindsTheSettingsPassedOn() {
        reply = AdminCall.encodeResponse(new AdminResponse(200, "", new byte[0]));
        assertEquals(200, call("lost", true, new byte[0]).status());
        assertEquals(1, forwarded.size());
    }

    @Test void refusalNamesOwnerAndWhenToTryAgain() {
        isOwner = false;
        isReachable = false;
        AdminResponse refused = call("echo", true, new byte[0]);
        assertEquals(503, refused.status());
        assertTrue(refused.headers().contains("Retry-After: 1\r\n"), refused.headers());
        assertTrue(text(refused).contains("\"detail\": \"elsewhere; nothing has changed\",\n  \"owner\": \"127.0.0.1:8601\""),
            text(refused));
        isReachable = true;
        forwarded.clear();
        assertEquals(503, call("echo", true, new byte[(4 << 20) + 1]).status(), "too long for the link");
        assertEquals(List.of(), forwarded);
        reply = null;
        assertEquals(502, call("echo", true, new byte[0]).status(), "the owner has ended");
        reply = "no response";
        assertEquals(502, call("echo", true, new byte[0]).status());
    }

    @Test void conflictIsToldAsSuch() {
        AdminResponse conflict = call("conflict", true, new byte[0]);
        assertEquals(409, conflict.status());
        assertTrue(text(conflict).contains("changed; nothing of this change is kept"), text(conflict));
    }

    /** A call that another process has forwarded is not forwarded again. */
    @Test void forwardedCallsAreHandledHereOrRefused() {
        for (Map.Entry<String, Integer> expected : Map.of("echo", 200, "lost", 503, "none", 404).entrySet()) {
            List<String> responses = new ArrayList<>();
            dispatcher.handleForwarded(new AdminCall(expected.getKey(),
                new AdminRequest("PUT", List.of(), Map.of(), null, new byte[0])).encode(), responses::add);
            assertEquals(expected.getValue(), AdminCall.decodeResponse(responses.get(0)).status());
        }
        List<String> responses = new ArrayList<>();
        dispatcher.handleForwarded("{}", responses::add);
        assertEquals(400, AdminCall.decodeResponse(responses.get(0)).status());
        assertEquals(List.of(), forwarded);
    }

    @Test void codecKeepsAbsentConditionAndRejectsOtherText() {
        String encoded = new AdminCall("a", new AdminRequest("GET", List.of(), Map.of(), null, new byte[0])).encode();
        assertNull(AdminCall.decode(encoded).request().ifMatch());
        assertThrows(JsonParseException.class, () -> AdminCall.decode("[]"));
        assertThrows(JsonParseException.class, () -> AdminCall.decodeResponse("{\"status\":1}"));
    }
}
