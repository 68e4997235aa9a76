package badgermux.contract;

import com.networknt.schema.ExecutionContext;
import com.networknt.schema.SchemaContext;
import com.networknt.schema.format.Format;
import java.util.Base64;
import java.util.List;
import tools.jackson.databind.JsonNode;

/** The formats of OpenAPI's own registry that the validator does not know: of numbers, and of bytes as text. */
final class OpenApiFormats {
    private OpenApiFormats() { }

    private interface Check {
        boolean passes(JsonNode value);
    }

    private record ValueFormat(String name, Check check) implements Format {
        @Override public String getName() {
            return name;
        }

        @Override public boolean matches(ExecutionContext context, SchemaContext schema, JsonNode value) {
            return check.passes(value);
        }
    }

    static List<Format> all() {
        return List.of(
            new ValueFormat("int32", value -> !value.isNumber() || value.canConvertToInt()),
            new ValueFormat("int64", value -> !value.isNumber() || value.canConvertToLong()),
            new ValueFormat("byte", value -> !value.isString() || isBase64(value.stringValue())));
    }

    private static boolean isBase64(String text) {
        try {
            Base64.getDecoder().decode(text);
            return true;
        } catch (IllegalArgumentException e) {
            return false;
        }
    }
}
