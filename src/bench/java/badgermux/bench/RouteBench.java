package badgermux.bench;

import badgermux.contract.ApiDescription;
import badgermux.contract.ContractSet;
import badgermux.contract.Document;
import badgermux.contract.HttpRequest;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/** Measures the lookup of a route by a request of which only the path parameter is validated. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(1)
public class RouteBench {
    /** Number of routes. */
    @Param({"10", "1000", "10000"})
    public int routes;

    private ContractSet contracts;
    private HttpRequest[] requests;
    private int nextIndex;

    @Setup public void setUp() throws Exception {
        StringBuilder text = new StringBuilder("{\"openapi\":\"3.1.0\",\"paths\":{");
        requests = new HttpRequest[1024];
        for (int i = 0; i < routes; i++) {
            text.append(i == 0 ? "" : ",").append("\"/preview/r").append(i).append("/{id}/part\":{\"post\":{\"parameters\":[{"
                + "\"name\":\"id\",\"in\":\"path\",\"required\":true,\"schema\":true}]}}");
        }
        contracts = ContractSet.of(1, List.of(ApiDescription.compile("d",
            Document.read("d", text.append("}}").toString().getBytes(StandardCharsets.UTF_8)), List.of())), false);
        for (int i = 0; i < requests.length; i++) {
            requests[i] = new HttpRequest("POST", "/preview/r" + (int) ((i * 7919L) % routes) + "/x/part", name -> List.of(),
                new byte[0]);
        }
    }

    @Benchmark public boolean lookUp() {
        return contracts.validateQuickly(requests[nextIndex++ & 1023]).result().conforms();
    }
}
