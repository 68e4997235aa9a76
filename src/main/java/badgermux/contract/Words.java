package badgermux.contract;

import com.networknt.schema.Error;
import java.util.Locale;
import java.util.stream.Collectors;
import java.util.stream.StreamSupport;
import tools.jackson.databind.JsonNode;

/** What a fault is told in: the rule in the description's own figures, never the client's value. */
final class Words {
    private Words() { }

    static String of(Error error) {
        JsonNode rule = error.getSchemaNode();
        JsonNode value = error.getInstanceNode();
        String keyword = error.getKeyword() == null ? "" : error.getKeyword();
        return switch (keyword) {
            case "type" -> "must be " + list(rule) + ", not " + type(value);
            case "required" -> "must have " + quoted(error.getProperty());
            case "dependentRequired", "dependencies" -> "must have what goes with its other members";
            case "enum" -> "must be one of " + list(rule);
            case "const" -> "must be " + list(rule);
            case "minimum" -> "must be " + list(rule) + " or more";
            case "maximum" -> "must be " + list(rule) + " or less";
            case "exclusiveMinimum" -> "must be more than " + list(rule);
            case "exclusiveMaximum" -> "must be less than " + list(rule);
            case "multipleOf" -> "must be a multiple of " + list(rule);
            case "minLength" -> "must have " + list(rule) + " characters or more";
            case "maxLength" -> "must have " + list(rule) + " characters or fewer";
            case "minItems" -> "must have " + list(rule) + " items or more";
            case "maxItems" -> "must have " + list(rule) + " items or fewer";
            case "minProperties" -> "must have " + list(rule) + " members or more";
            case "maxProperties" -> "must have " + list(rule) + " members or fewer";
            case "uniqueItems" -> "must hold no item twice";
            case "pattern" -> "must match " + list(rule);
            case "format" -> "must be of the format " + list(rule);
            case "additionalProperties", "unevaluatedProperties" ->
                "must have no member " + quoted(error.getProperty());
            case "additionalItems", "unevaluatedItems" -> "must have no further item";
            case "oneOf" -> "must conform to exactly one of the alternatives";
            case "anyOf" -> "must conform to one of the alternatives";
            case "not" -> "must not conform to what is excluded";
            case "readOnly" -> "is read-only and may not be sent";
            case "writeOnly" -> "is write-only and may not be answered";
            case "discriminator" -> "must name a known kind in its discriminator";
            case "contains", "minContains", "maxContains" -> "must hold as many fitting items as described";
            case "propertyNames" -> "has a member whose name does not conform";
            case "false" -> "must not be there";
            default -> "does not conform to " + keyword;
        };
    }

    private static String list(JsonNode rule) {
        if (rule == null) {
            return "as described";
        }
        if (rule.isArray()) {
            return StreamSupport.stream(rule.spliterator(), false).limit(9).map(Words::list)
                .collect(Collectors.joining(", "));
        }
        return rule.isString() ? rule.stringValue() : rule.toString();
    }

    private static String type(JsonNode value) {
        return value == null ? "this" : value.isIntegralNumber() ? "integer"
            : value.getNodeType().name().toLowerCase(Locale.ROOT);
    }

    private static String quoted(String name) {
        return name == null ? "as described" : '"' + Fault.echo(name) + '"';
    }
}
