package badgermux.bench;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/**
 * Writes an OpenAPI description with a given number of routes and of about a given size. It has the shape of large real
 * ones: hundreds of shared schemas that refer to each other, and long texts. Arguments: FILE ROUTES MEGABYTES.
 */
public final class BigDescription {
    private BigDescription() { }

    public static void main(String[] args) throws IOException {
        Files.writeString(Path.of(args[0]), generate(Integer.parseInt(args[1]), Integer.parseInt(args[2]) << 20));
    }

    /**
     * Returns the JSON text of a description. Route number N is {@code POST /preview/rN/{id}} and takes a body of the form
     * {@code {"a":integer,...}}.
     *
     * @param routes number of routes; each has a schema of its own
     * @param bytes  approximate size of the text
     */
    public static String generate(int routes, int bytes) {
        int schemas = Math.max(1, routes);
        String sentence = "What stands here is read by people only, and there is a lot of it. ";
        // A route and its schema take about 1,500 bytes without the filler text.
        int sentences = Math.max(0, bytes / routes - 1500) / sentence.length();
        StringBuilder text = new StringBuilder(
            "{\"openapi\":\"3.0.3\",\"info\":{\"title\":\"big\",\"version\":\"1\"},\"paths\":{");
        for (int i = 0; i < routes; i++) {
            text.append(i == 0 ? "" : ",").append(String.format(Locale.ROOT, "\n\"/preview/r%d/{id}\":{\"post\":{"
                + "\"description\":\"%s\",\"parameters\":[{\"name\":\"id\",\"in\":\"path\",\"required\":true,"
                + "\"schema\":{\"type\":\"string\",\"pattern\":\"^[a-z0-9-]+$\"}},{\"name\":\"limit\",\"in\":\"query\","
                + "\"schema\":{\"type\":\"integer\",\"minimum\":1}}],\"requestBody\":{\"required\":true,\"content\":{"
                + "\"application/json\":{\"schema\":{\"$ref\":\"#/components/schemas/S%d\"}}}},"
                + "\"responses\":{\"200\":{\"description\":\"ok\",\"content\":{\"application/json\":{\"schema\":"
                + "{\"$ref\":\"#/components/schemas/S%d\"}}}}}}}", i, sentence.repeat(sentences / 2), i % schemas,
                (i + 1) % schemas));
        }
        text.append("},\"components\":{\"schemas\":{");
        for (int i = 0; i < schemas; i++) {
            text.append(i == 0 ? "" : ",").append(String.format(Locale.ROOT, "\n\"S%d\":{\"type\":\"object\","
                + "\"description\":\"%s\",\"required\":[\"a\"],\"properties\":{\"a\":{\"type\":\"integer\",\"minimum\":0},"
                + "\"name\":{\"type\":\"string\",\"maxLength\":64,\"nullable\":true},"
                + "\"kind\":{\"type\":\"string\",\"enum\":[\"one\",\"two\",\"three\"]},"
                + "\"when\":{\"type\":\"string\",\"format\":\"date-time\"},"
                + "\"next\":{\"$ref\":\"#/components/schemas/S%d\"},"
                + "\"list\":{\"type\":\"array\",\"maxItems\":50,\"items\":{\"$ref\":\"#/components/schemas/S%d\"}},"
                + "\"alt\":{\"oneOf\":[{\"$ref\":\"#/components/schemas/S%d\"},{\"type\":\"string\"}]}}}", i,
                sentence.repeat(sentences / 2), (i + 1) % schemas, (i * 7 + 3) % schemas, (i * 13 + 5) % schemas));
        }
        return text.append("}}}\n").toString();
    }
}
