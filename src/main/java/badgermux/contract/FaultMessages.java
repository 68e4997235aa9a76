package badgermux.contract;

import com.networknt.schema.Error;
import java.util.Locale;
import java.util.stream.Collectors;
import java.util.stream.StreamSupport;
import tools.jackson.databind.JsonNode;

/** Messages of faults. They state the rule with the values of the schema, and never contain a value of the client. */
final class FaultMessages {
    /** How many elements of an array, such as the values of an enum, a message lists. */
    private static final int MAX_ELEMENTS = 9;

    private FaultMessages() { }

    /** Returns the message for an error of the validator. */
    static String describe(Error error) {
        JsonNode rule = error.getSchemaNode();
        JsonNode value = error.getInstanceNode();
        String keyword = error.getKeyword() == null ? "" : error.getKeyword();
        return switch (keyword) {
            case "type" -> "must be " + format(rule) + ", not " + typeName(value);
            case "required" -> "must have " + quote(error.getProperty());
            case "dependentRequired", "dependencies" -> "must have what goes with its other members";
            case "enum" -> "must be one of " + format(rule);
            case "const" -> "must be " + format(rule);
            case "minimum" -> "must be " + format(rule) + " or more";
            case "maximum" -> "must be " + format(rule) + " or less";
            case "exclusiveMinimum" -> "must be more than " + format(rule);
            case "exclusiveMaximum" -> "must be less than " + format(rule);
            case "multipleOf" -> "must be a multiple of " + format(rule);
            case "minLength" -> "must have " + format(rule) + " characters or more";
            case "maxLength" -> "must have " + format(rule) + " characters or fewer";
            case "minItems" -> "must have " + format(rule) + " items or more";
            case "maxItems" -> "must have " + format(rule) + " items or fewer";
            case "minProperties" -> "must have " + format(rule) + " members or more";
            case "maxProperties" -> "must have " + format(rule) + " members or fewer";
            case "uniqueItems" -> "must hold no item twice";
            case "pattern" -> "must match " + format(rule);
            case "format" -> "must be of the format " + format(rule);
            case "additionalProperties", "unevaluatedProperties" ->
                "must have no member " + quote(error.getProperty());
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

    /** Returns the value of a keyword as text; of an array, its first elements. */
    private static String format(JsonNode rule) {
        if (rule == null) {
            return "as described";
        }
        if (rule.isArray()) {
            return StreamSupport.stream(rule.spliterator(), false).limit(MAX_ELEMENTS).map(FaultMessages::format)
                .collect(Collectors.joining(", "));
        }
        return rule.isString() ? rule.stringValue() : rule.toString();
    }

    private static String typeName(JsonNode value) {
        return value == null ? "this" : value.isIntegralNumber() ? "integer"
            : value.getNodeType().name().toLowerCase(Locale.ROOT);
    }

    private static String quote(String name) {
        return name == null ? "as described" : '"' + Fault.truncateName(name) + '"';
    }
}
