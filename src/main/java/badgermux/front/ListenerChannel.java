package badgermux.front;

import io.netty.channel.Channel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.util.AttributeKey;
import java.nio.channels.ServerSocketChannel;
import java.util.List;

/** The channel of the clients' listening socket. Accepts no more connections than there is room for. */
final class ListenerChannel extends NioServerSocketChannel {
    /** Decides what is accepted, and learns what was. */
    interface Observer {
        /**
         * Returns how many more connections there is room for.
         *
         * @param pendingCount connections that were accepted in this round and are not counted yet
         */
        int room(int pendingCount);

        /** There was a connection to accept, perhaps, but no room for it. */
        void onNoRoom();

        /** There was no connection to accept. */
        void onQueueEmpty();

        /** A connection was accepted; returns the earliest time at which it can have arrived in the queue, in microseconds. */
        long onAccepted();
    }

    /** Of an accepted connection: the earliest time at which it can have arrived in the socket's queue, in microseconds. */
    static final AttributeKey<Long> EARLIEST_ARRIVAL_MICROS = AttributeKey.valueOf(ListenerChannel.class, "earliestArrival");

    private final Observer observer;

    /** Creates a channel with a socket of its own. */
    ListenerChannel(Observer observer) {
        this.observer = observer;
    }

    /** Creates a channel on a socket that other processes may hold, too. */
    ListenerChannel(ServerSocketChannel socket, Observer observer) {
        super(socket);
        this.observer = observer;
    }

    @Override protected int doReadMessages(List<Object> acceptedChannels) throws Exception {
        if (observer.room(acceptedChannels.size()) <= 0) {
            observer.onNoRoom();
            return 0;
        }
        int count = super.doReadMessages(acceptedChannels);
        if (count == 0) {
            observer.onQueueEmpty();
        } else {
            Channel accepted = (Channel) acceptedChannels.get(acceptedChannels.size() - 1);
            accepted.attr(EARLIEST_ARRIVAL_MICROS).set(observer.onAccepted());
        }
        return count;
    }
}
