package badgermux.contract;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.math.BigDecimal;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.Size;
import tools.jackson.databind.JsonNode;
import tools.jackson.databind.node.ArrayNode;
import tools.jackson.databind.node.JsonNodeFactory;
import tools.jackson.databind.node.ObjectNode;

/** Properties of routing, parsing, message order and validation, checked with generated values and a fixed seed. */
class ContractProperties {
    private static final String SEED = "20261201";

    @Provide Arbitrary<List<String>> segments() {
        return Arbitraries.of("a", "b", "{x}", "{y}", "p{x}", "c").list().ofMinSize(1).ofMaxSize(4);
    }

    @Provide Arbitrary<List<String>> path() {
        return Arbitraries.of("a", "b", "c", "pa", "p", "z", "").list().ofMinSize(1).ofMaxSize(4);
    }

    /** The table finds a route if and only if one of the templates matches, and no matching template is more concrete. */
    @Property(seed = SEED, tries = 500)
    void lookupAgreesWithExhaustiveSearch(@ForAll("tables") List<List<String>> table, @ForAll("path") List<String> path)
            throws SyntaxException {
        RouteTable<String> routes = new RouteTable<>();
        List<String> templates = new ArrayList<>();
        for (List<String> row : table) {
            String template = '/' + String.join("/", row);
            if (routes.put(template, template) == null) {
                templates.add(template);
            }
        }
        RouteTable.Match<String> found = routes.find('/' + String.join("/", path));
        List<String> matching = templates.stream().filter(template -> matchesTemplate(template, path)).toList();
        assertEquals(matching.isEmpty(), found == null);
        if (found != null) {
            assertTrue(matching.contains(found.route()));
            assertEquals(RouteTable.parameterNames(found.route()).size(), found.parameterValues().size());
            matching.forEach(other -> assertTrue(
                specificityRank(found.route()).compareTo(specificityRank(other)) <= 0, found + " before " + other));
        }
    }

    @Provide Arbitrary<List<List<String>>> tables() {
        return segments().list().ofMaxSize(12);
    }

    private static boolean matchesTemplate(String template, List<String> path) {
        String[] parts = template.substring(1).split("/");
        boolean matches = parts.length == path.size();
        for (int i = 0; matches && i < parts.length; i++) {
            matches = path.get(i).matches(parts[i].replaceAll("\\{.}", ".+"));
        }
        return matches;
    }

    /** Ranks each segment: 0 for a literal, 1 for a parameter with literal parts, 2 for a plain parameter. */
    private static String specificityRank(String template) {
        StringBuilder rank = new StringBuilder();
        for (String part : template.substring(1).split("/")) {
            rank.append(part.startsWith("{") ? 2 : part.contains("{") ? 1 : 0);
        }
        return rank.toString();
    }

    @Provide Arbitrary<JsonNode> values() {
        return values(3);
    }

    private static Arbitrary<JsonNode> values(int depth) {
        JsonNodeFactory nodes = JsonNodeFactory.instance;
        Arbitrary<JsonNode> leaves = Arbitraries.oneOf(Arbitraries.integers().map(nodes::numberNode),
            Arbitraries.bigDecimals().between(new BigDecimal("-1e30"), new BigDecimal("1e30")).map(nodes::numberNode),
            Arbitraries.strings().ofMaxLength(8).filter(ContractProperties::isValidUnicode).map(nodes::stringNode),
            Arbitraries.of(true, false).map(nodes::booleanNode), Arbitraries.just(nodes.nullNode()));
        if (depth == 0) {
            return leaves;
        }
        return Arbitraries.oneOf(leaves, leaves, values(depth - 1).list().ofMaxSize(4).map(list -> {
            ArrayNode array = nodes.arrayNode();
            list.forEach(array::add);
            return array;
        }), Arbitraries.maps(Arbitraries.strings().alpha().ofMaxLength(4), values(depth - 1)).ofMaxSize(4).map(map -> {
            ObjectNode object = nodes.objectNode();
            map.forEach(object::set);
            return object;
        }));
    }

    /** Whether the text has no unpaired surrogates. */
    private static boolean isValidUnicode(String text) {
        return new String(text.getBytes(StandardCharsets.UTF_8), StandardCharsets.UTF_8).equals(text);
    }

    @Property(seed = SEED, tries = 500)
    void jsonRoundTrips(@ForAll("values") JsonNode value) throws SyntaxException {
        assertEquals(value.toString(), Json.parseMessage(value.toString().getBytes(StandardCharsets.UTF_8)).toString());
    }

    /** The parsers return a value or throw the documented exception, whatever the bytes. */
    @Property(seed = SEED, tries = 1_000)
    void arbitraryBytesParseOrFailCleanly(@ForAll @Size(max = 40) byte[] bytes) {
        try {
            assertNotNull(Json.parseMessage(bytes));
        } catch (SyntaxException e) {
            assertNotNull(e.getMessage());
        }
        try {
            Document.read("d", bytes);
        } catch (DescriptionException e) {
            assertEquals(1, e.problems().size());
        }
    }

    /** Line by line, a stream is accepted if and only if the order's automaton has a path for it. */
    @Property(seed = SEED, tries = 1_000)
    void orderMatchesItsAutomaton(@ForAll("orders") Map<String, Set<String>> follow, @ForAll("words") List<String> word)
            throws SyntaxException {
        Set<String> messageNames = Set.of("a", "b", "c");
        Map<String, MessageStream.Message> messages = new LinkedHashMap<>();
        messageNames.forEach(name -> messages.put(name, new MessageStream.Message(name, null, null, Set.of(), null)));
        MessageOrder order = new MessageOrder(Set.of("a"), follow, Set.of("c"));
        Set<String> states = null;
        boolean passes = true;
        for (String letter : word) {
            Set<String> next = new LinkedHashSet<>(order.allowedAfter(states));
            passes &= next.contains(letter);
            states = Set.of(letter);
        }
        boolean expected = true;
        for (int i = 0; i < word.size(); i++) {
            expected &= i == 0 ? word.get(0).equals("a") : follow.getOrDefault(word.get(i - 1), Set.of()).contains(word.get(i));
        }
        assertEquals(expected, passes);
        // Any value conforms to these messages, so the validator follows all of them and accepts a line if one is allowed.
        MessageStream.Validator validator = new MessageStream("d", "/a", messages, order)
            .newValidator(name -> List.of(), SchemaCompiler.Direction.EVENT);
        boolean isOpen = true;
        Set<String> openStates = null;
        for (int i = 0; i < word.size() && isOpen; i++) {
            openStates = order.allowedAfter(openStates);
            isOpen = !openStates.isEmpty();
            assertEquals(isOpen, validator.validateLine("1".getBytes(StandardCharsets.UTF_8), 1_000).isEmpty());
        }
    }

    @Provide Arbitrary<Map<String, Set<String>>> orders() {
        return Arbitraries.maps(Arbitraries.of("a", "b", "c"), Arbitraries.of("a", "b", "c").set().ofMaxSize(3));
    }

    @Provide Arbitrary<List<String>> words() {
        return Arbitraries.of("a", "b", "c").list().ofMaxSize(6);
    }

    /** An integer conforms if and only if it is not below the schema's minimum. */
    @Property(seed = SEED, tries = 40)
    void enforcesMinimum(@ForAll int minimum, @ForAll int value) throws DescriptionException {
        ContractSet contracts = ContractFixtures.compileContracts(
            ContractFixtures.openApiWithPost("3.1.0", "/a", "[]", "{type: integer, minimum: " + minimum + "}"));
        assertEquals(value >= minimum, ContractFixtures.validateJson(contracts, "/a", String.valueOf(value)).conforms());
    }
}
