import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** With a description in force, web front ends begin to send longer articles, with a fault at the end of the text. */
public final class Case8 {
    private static final int KINDS_OF_BLOCKS = 40;
    private static final int TEXT_BYTES = 55_000;

    public static void main(String[] args) {
        Stand.main(args, Case8::run);
    }

    private static String run(Stand stand) throws Exception {
        List<Stand.Runner> runners = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            runners.add(stand.new Runner("s-" + i, i % 2 == 0 ? "hanoi" : "danang", i % 3 == 0 ? "old-4core" : "new-4core", 4,
                Stand.sound(600, 2_000)));
        }
        int admin = Stand.freePort();
        Upgrade platform = new Upgrade(stand, stand.new Discovery(runners), Stand.settings(2));
        Upgrade.Instance dispatcher = platform.new Instance(" --admin " + Stand.HOST + ':' + admin).awaitReady();
        String answer = Case9.admin(admin, "PUT", "/v1/contracts/articles", "", description());
        stand.note("description: " + answer.replaceAll("\\s+", " "));
        if (!answer.startsWith("201")) {
            throw new IOException("the description was not taken: " + answer);
        }
        GoodClients clients = new GoodClients(stand);
        long begin = stand.now();
        for (long next = begin; next < begin + 40_000; next += 40) {
            Stand.sleep(next - stand.now());
            boolean isLong = stand.trouble && next >= begin + 3_000;
            String text = isLong ? "rain and wind ".repeat(TEXT_BYTES / 14) + '<' : "rain <";
            clients.call(platform.port, "preview", 10_000, "{\"blocks\":[{\"kind\":\"block39\",\"text\":\"" + text + "\"}]}");
        }
        List<Stand.Job> jobs = clients.await(15_000);
        dispatcher.copyLog();
        long lost = jobs.stream().filter(Stand.Job::isLost).count();
        return lost == 0 ? null : lost + " of " + jobs.size() + " requests got no answer until half a second after their time";
    }

    /** An article is a list of blocks; each kind of block has a text with some marks in it. */
    private static String description() {
        StringBuilder kinds = new StringBuilder();
        for (int i = 0; i < KINDS_OF_BLOCKS; i++) {
            kinds.append(i == 0 ? "" : ", ").append("{type: object, required: [kind, text], properties: {kind: {const: block")
                .append(i).append("}, text: {type: string, pattern: '^([^<>&]|<(b|i|u|em|strong)>|</(b|i|u|em|strong)>|&[a-z]+;)*$'}}}");
        }
        return """
            openapi: 3.1.0
            info: {title: articles, version: 1.0.0}
            paths:
              /preview:
                post:
                  requestBody:
                    required: true
                    content:
                      application/json:
                        schema: {type: object, required: [blocks], properties: {blocks: {type: array, items: {oneOf: [KINDS]}}}}
                  responses: {'200': {description: the preview}}
            """.replace("KINDS", kinds);
    }
}
