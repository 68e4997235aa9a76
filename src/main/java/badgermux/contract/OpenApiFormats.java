package badgermux.contract;

import com.networknt.schema.ExecutionContext;
import com.networknt.schema.SchemaContext;
import com.networknt.schema.format.Format;
import java.util.Base64;
import java.util.List;
import tools.jackson.databind.JsonNode;

/** Formats of the OpenAPI format registry that the validator does not support: int32, int64 and byte. */
final class OpenApiFormats {
    private OpenApiFormats() { }

    /** The check of one format; a value of a type to which the format does not apply passes. */
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
