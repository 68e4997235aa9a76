package badgermux.admin;

import java.util.List;
import java.util.Map;

/**
 * One call of the admin API.
 *
 * @param method  the method
 * @param path    the path's segments behind the resource's own, percent-encoding undone
 * @param query   the query's pairs; the last of a name counts
 * @param ifMatch the value of If-Match; null for none
 * @param body    the body; empty for none
 */
public record AdminRequest(String method, List<String> path, Map<String, String> query, String ifMatch, byte[] body) { }
