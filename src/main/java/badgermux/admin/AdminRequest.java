package badgermux.admin;

import java.util.List;
import java.util.Map;

/**
 * A request of the admin API.
 *
 * @param method  the HTTP method
 * @param path    the path's segments after the resource's own, percent-decoded
 * @param query   the query parameters; of several with one name, the last
 * @param ifMatch the value of If-Match; null if absent
 * @param body    the body; empty if there is none
 */
public record AdminRequest(String method, List<String> path, Map<String, String> query, String ifMatch, byte[] body) { }
