import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/** Sound clients, each of which hands in one job on a connection of its own and waits for its answer. */
final class GoodClients {
    private final Stand stand;
    private final List<Stand.Job> jobs = Collections.synchronizedList(new ArrayList<>());
    private final ExecutorService pool = Executors.newCachedThreadPool(task -> {
        Thread thread = new Thread(null, task, "client", 256 << 10);
        thread.setDaemon(true);
        return thread;
    });

    GoodClients(Stand stand) {
        this.stand = stand;
    }

    void call(int port, String className, long timeoutMillis, String body) {
        pool.execute(() -> jobs.add(stand.call(port, className, timeoutMillis, body)));
    }

    /** Waits until all have their answer or have given up, and writes each job to the record. */
    List<Stand.Job> await(long timeoutMillis) throws InterruptedException {
        pool.shutdown();
        pool.awaitTermination(timeoutMillis, TimeUnit.MILLISECONDS);
        List<Stand.Job> all = List.copyOf(jobs);
        Map<String, Integer> ends = new TreeMap<>();
        for (Stand.Job job : all) {
            ends.merge(job.status + " " + job.end, 1, Integer::sum);
            stand.note((job.isLost() ? "LOST " : "job  ") + job + " runs " + stand.runs.getOrDefault(job.id, List.of()));
        }
        Map<String, Integer> attempts = new TreeMap<>();
        stand.runs.values().forEach(list ->
            list.forEach(run -> attempts.merge(run.substring(0, run.indexOf('@')), 1, Integer::sum)));
        stand.note("attempts at the runners, of all clients' jobs: " + attempts + ", for " + stand.runs.size() + " jobs");
        stand.note("jobs of sound clients: " + all.size() + ", by status and end: " + ends);
        return all;
    }
}
