package review;

import java.io.IOException;
import java.net.Socket;
import java.util.concurrent.LinkedBlockingQueue;

/** A runner behind a network with a fixed delay each way. Its behaviour at a job is the test's. */
final class Runner {
    interface Job {
        void handle(Http.Message request, Connection connection) throws IOException, InterruptedException;
    }

    /** One connection. What is written arrives in order, each piece one network delay later. */
    final class Connection {
        private record Piece(long dueNanos, byte[] bytes) { }

        private final LinkedBlockingQueue<Piece> pieces = new LinkedBlockingQueue<>();

        Connection(Socket socket) {
            Listener.daemon(() -> {
                while (true) {
                    Piece piece = pieces.take();
                    sleepUntil(piece.dueNanos);
                    socket.getOutputStream().write(piece.bytes);
                }
            });
        }

        void write(String text) {
            pieces.add(new Piece(System.nanoTime() + delayNanos, Http.bytes(text)));
        }
    }

    final String name;
    private final long delayNanos;
    private final Listener listener;

    Runner(String name, double delayMillis, Job job) throws IOException {
        this.name = name;
        delayNanos = (long) (delayMillis * 1e6);
        listener = new Listener(socket -> {
            Connection connection = new Connection(socket);
            for (Http.Message request = Http.read(socket.getInputStream()); request != null;
                    request = Http.read(socket.getInputStream())) {
                sleepUntil(System.nanoTime() + delayNanos);
                job.handle(request, connection);
            }
        });
    }

    String address() {
        return listener.address();
    }

    private static void sleepUntil(long nanos) throws InterruptedException {
        for (long left = nanos - System.nanoTime(); left > 0; left = nanos - System.nanoTime()) {
            Thread.sleep(left / 1_000_000, (int) (left % 1_000_000));
        }
    }
}
