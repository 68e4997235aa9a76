package review;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;

/** A server on a free loopback port, with a daemon thread for each connection. */
final class Listener {
    interface Server {
        void serve(Socket socket) throws IOException, InterruptedException;
    }

    private final ServerSocket socket;

    Listener(Server server) throws IOException {
        socket = new ServerSocket(0, 512, InetAddress.getByName("127.0.0.1"));
        daemon(() -> {
            while (true) {
                Socket next = socket.accept();
                next.setTcpNoDelay(true);
                daemon(() -> {
                    try (next) {
                        server.serve(next);
                    }
                });
            }
        });
    }

    String address() {
        return "127.0.0.1:" + socket.getLocalPort();
    }

    interface Task {
        void run() throws IOException, InterruptedException;
    }

    static Thread daemon(Task task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (IOException e) {
                // the other side has closed the connection
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }
}
