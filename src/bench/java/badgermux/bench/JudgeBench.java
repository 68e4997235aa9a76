package badgermux.bench;

import badgermux.contract.ApiDescription;
import badgermux.contract.ContractSet;
import badgermux.contract.Document;
import badgermux.contract.HttpRequest;
import com.networknt.schema.Schema;
import com.networknt.schema.SchemaRegistry;
import com.networknt.schema.dialect.Dialects;
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
import tools.jackson.databind.json.JsonMapper;

/**
 * Compares the validation of a whole request with the validator library alone, on the same schema and body. Both parse the
 * bytes and validate.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(1)
public class JudgeBench {
    private static final String SCHEMA = "{\"type\":\"object\",\"required\":[\"story\",\"blocks\"],"
        + "\"additionalProperties\":false,"
        + "\"properties\":{\"story\":{\"type\":\"string\",\"maxLength\":12},\"headline\":{\"type\":\"string\",\"maxLength\":200},"
        + "\"blocks\":{\"type\":\"array\",\"maxItems\":2000,\"items\":{\"type\":\"object\",\"required\":[\"kind\",\"text\"],"
        + "\"properties\":{\"kind\":{\"enum\":[\"text\",\"box\"]},\"text\":{\"type\":\"string\",\"maxLength\":20000},"
        + "\"weight\":{\"type\":\"number\",\"minimum\":0}}}}}}";

    /** Approximate length of the body in bytes. */
    @Param({"200", "65536"})
    public int size;

    private byte[] body;
    private ContractSet contracts;
    private HttpRequest request;
    private Schema schema;
    private final JsonMapper mapper = new JsonMapper();

    @Setup public void setUp() throws Exception {
        StringBuilder text = new StringBuilder("{\"story\":\"123456\",\"headline\":\"A headline\",\"blocks\":[");
        String block = "{\"kind\":\"text\",\"text\":\"Some forty characters of a paragraph here.\",\"weight\":1.5}";
        text.append(block);
        while (text.length() + block.length() + 3 < size) {
            text.append(',').append(block);
        }
        body = text.append("]}").toString().getBytes(StandardCharsets.UTF_8);
        String description = "{\"openapi\":\"3.1.0\",\"paths\":{\"/publish/{paper}\":{\"post\":{"
            + "\"parameters\":[{\"name\":\"paper\","
            + "\"in\":\"path\",\"required\":true,\"schema\":{\"type\":\"string\"}}],\"requestBody\":{\"content\":"
            + "{\"application/json\":{\"schema\":" + SCHEMA + "}}}}}}}";
        contracts = ContractSet.of(1, List.of(ApiDescription.compile("d",
            Document.read("d", description.getBytes(StandardCharsets.UTF_8)), List.of())), false);
        request = new HttpRequest("POST", "/publish/nhan-dan",
            name -> name.equals("Content-Type") ? List.of("application/json") : List.of(), body);
        schema = SchemaRegistry.withDefaultDialect(Dialects.getOpenApi31()).getSchema(SCHEMA);
        if (!judged() || !bare()) {
            throw new IllegalStateException("the body does not conform");
        }
    }

    /** Route lookup, parameter check, strict parsing and validation with a limit on its steps. */
    @Benchmark public boolean judged() {
        return contracts.validate(request).result().conforms();
    }

    /** Parsing and validation by the libraries with their defaults. */
    @Benchmark public boolean bare() {
        return schema.validate(mapper.readTree(body)).isEmpty();
    }
}
