package badgermux.discovery;

import badgermux.backend.Backends;
import badgermux.core.Clock;
import badgermux.core.Deadlines;
import badgermux.core.Engine;
import badgermux.core.Names;
import badgermux.decide.Dispatch;
import badgermux.decide.Dispatch.ListUpdate;
import badgermux.decide.Dispatch.WorkerState;
import badgermux.decide.WatchTiming;
import badgermux.cordon.Cordons;
import badgermux.http.Address;
import badgermux.http.BadMessage;
import badgermux.http.Bytes;
import badgermux.http.ClientConnection;
import badgermux.http.Head;
import badgermux.metrics.Metrics;
import badgermux.metrics.Metrics.Count;
import com.google.gson.JsonParseException;
import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoopGroup;
import java.io.ByteArrayOutputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.tinylog.Logger;

/** Watches discovery's list: one call after another, each from the version that the last one brought. */
public final class Discovery {
    /** Says what of a list is believed. */
    public interface Guard {
        /** The entries to go by; {@code before} are those last told that have not left since. */
        List<Dispatch.Worker> believed(long now, ListUpdate update, List<Dispatch.Worker> list,
            Map<Long, Dispatch.Worker> before);
    }

    private static final int MAX_LIST = 4 << 20;
    /** How soon a connection is tried again that could not be opened for want of a descriptor. */
    private static final long NO_DESCRIPTOR_RETRY = 5_000;
    private static final long LOG_AFTER = 500_000;
    private static final Map<String, WorkerState> PHASES = Map.of("SERVING", WorkerState.READY,
        "DRAINING", WorkerState.DRAINING, "DELETED", WorkerState.GONE);

    private final EventLoopGroup loop;
    private final Deadlines deadlines;
    private final Clock clock;
    private final Metrics metrics;
    private final Engine<?> engine;
    private final Backends backends;
    private final List<String> zones;
    private final List<String> kinds;
    private final ListDecoder.Listing known;
    private final Guard guard;
    private final Cordons cordons;
    private final boolean pushed;
    private final Map<Long, Dispatch.Worker> before = new HashMap<>();
    /** The entries as believed, before operators' cordons: kept only where there are such. */
    private final Map<Long, Dispatch.Worker> believed = new HashMap<>();
    /** The entries as they came, by id, for the next process: kept only where there may be one. */
    private final Map<String, ListDecoder.Member> members = new HashMap<>();
    private InetSocketAddress address;
    private final Map<Long, String> names = new HashMap<>();
    private final Map<String, Long> numbers = new HashMap<>();
    private ClientConnection connection;
    private Call call;
    private long revision;
    /** Since when its answers are older than the list in hand; 0 where they are not. */
    private long behindSince;
    private boolean listed;
    private boolean failing;
    /** Whether no list has come since a call failed, fell silent or went to another address. */
    private boolean recovering;
    /** Whether the last call could not be made for want of a descriptor. */
    private boolean wanting;
    /** Whether it is another discovery service that is asked now, which may count revisions of its own. */
    private boolean moved;

    /**
     * Joins discovery to an engine.
     *
     * @param at    where it answers
     * @param known the list as last held
     * @param zones the names of the zones, in the module's order
     * @param kinds the names of the kinds of backends, in the module's order
     * @param guard says what of a list is believed; null for all of it
     * @param cordons the runners that operators have taken out; null where they can't
     * @param pushed whether the list comes unasked, from an agent beside us: the module then asks for none, and the agent
     *               is watched from the start on, whatever becomes of a call
     */
    public Discovery(EventLoopGroup loop, Deadlines deadlines, Clock clock, Metrics metrics, Engine<?> engine,
            Backends backends, InetSocketAddress at, ListDecoder.Listing known, List<String> zones,
            List<String> kinds, Guard guard, Cordons cordons, boolean pushed) {
        this.loop = loop;
        this.deadlines = deadlines;
        this.clock = clock;
        this.metrics = metrics;
        this.engine = engine;
        this.backends = backends;
        this.known = known;
        this.zones = zones;
        this.kinds = kinds;
        this.guard = guard;
        this.cordons = cordons;
        this.pushed = pushed;
        metrics.gauge("cluster_size", names::size);
        metrics.gauge("cluster_unhealthy", () -> names.keySet().stream().filter(engine::avoids).count());
        address = at;
    }

    /** Tells the module of the list as it was last held. */
    public void start() {
        revision = known.revision;
        listed = !known.members.isEmpty();
        tell(ListUpdate.CACHED, entries(known.members));
        if (pushed) {
            watch();
        }
    }

    /** Whether there is a list to work with. */
    public boolean isListed() {
        return listed;
    }

    /** Asks for changes from the version in hand on, until a call fails. */
    public void watch() {
        if (call != null) {
            return;
        }
        if (connection == null || !connection.isReusable()) {
            connection = new ClientConnection(loop, deadlines, address,
                pushed ? WatchTiming.AGENT_CONNECT_LIMIT : WatchTiming.CONNECT_LIMIT, MAX_LIST, () -> { });
        }
        if (!connection.isOpened()) {
            noDescriptor();
            return;
        }
        wanting = false;
        metrics.add(Count.DIRECTOR_CALLS);
        call = new Call();
        // Guards against a discovery service that takes the call and falls silent.
        call.limit = deadlines.after(recovering ? WatchTiming.RECOVERY_LIMIT : WatchTiming.WATCH_LIMIT, this::noAnswer);
        connection.start(call);
    }

    /** Guards against a crowd that takes every descriptor as it becomes free: this is no failure, and has no pause. */
    private void noDescriptor() {
        connection = null;
        if (!wanting) {
            Logger.warn("there is no descriptor for a call to the director");
        }
        wanting = true;
        deadlines.after(NO_DESCRIPTOR_RETRY, this::watch);
    }

    /**
     * A watch that has fallen silent is opened anew at once, on another connection: a drain that it missed counts as told
     * soon, and after a pause, as behind a failure, the answer would come too late. Silence of the call made anew is a
     * failure.
     */
    private void noAnswer() {
        if (recovering) {
            connection.close();
        } else {
            metrics.add(Count.DIRECTOR_SILENCES);
            drop();
            recovering = true;
            watch();
        }
    }

    /** Forgets the call under way, of which the module hears nothing, and its connection. */
    private void drop() {
        if (call != null) {
            deadlines.cancel(call.limit);
            call = null;
        }
        if (connection != null) {
            connection.abort();
            connection = null;
        }
    }

    /**
     * Goes on with discovery at another address: watches there at once, from the version in hand on. The call under
     * way is dropped, which is no failure: the module hears nothing of it.
     */
    public void moveTo(InetSocketAddress next) {
        if (!next.equals(address)) {
            address = next;
            moved = true;
            recovering = true;
            drop();
        }
        watch();
    }

    /** The list in hand goes on. One line tells of the first failure: a discovery service that is down fails many calls. */
    private void failed(String why) {
        metrics.add(Count.DIRECTOR_FAILURES);
        recovering = true;
        if (!failing) {
            Logger.warn("the director fails: {}; the list in hand goes on", why);
        }
        failing = true;
        engine.workers(ListUpdate.FAILED, List.of());
        if (pushed) {
            deadlines.after(WatchTiming.AGENT_PAUSE, this::watch);
        }
    }

    /** Guards against a list that nobody watches any more: whatever comes of an answer, a call follows or a failure is told. */
    private void take(String json) {
        try {
            takeList(ListDecoder.decode(json));
        } catch (JsonParseException e) {
            failed("its list is malformed: " + e.getMessage());
        } catch (RuntimeException e) {
            metrics.add(Count.EXCEPTIONS);
            Logger.error(e, "exception in a list");
            revision = 0;   // what of it was not told comes again with the whole
            failed("its list can't be used");
        }
    }

    private void takeList(ListDecoder.Listing listing) {
        if (listing.revision < revision && !moved) {
            older(listing);
            return;
        }
        // Guards against a change that another discovery service, with revisions of its own, made before that one.
        boolean begunAnew = listing.revision < revision && !listing.complete;
        behindSince = 0;
        moved = false;
        if (failing) {
            Logger.info("the director answers again");
        }
        failing = false;
        recovering = false;
        metrics.add(Count.DIRECTOR_LISTS);
        revision = begunAnew ? 0 : listing.revision;
        listed |= listing.complete || !listing.members.isEmpty();
        // The next call goes out first: a watch goes on only if it follows at once.
        watch();
        tell(listing.complete ? ListUpdate.FULL : ListUpdate.DELTA, entries(listing.members));
    }

    /**
     * Guards against a discovery service that lags: its older list would bring back who has left. One that has begun anew
     * counts its revisions from the start, too, and what it writes is told: who drains or has left there gets nothing new
     * from here on, and the whole list, which tells which of the two it is, is asked for next.
     */
    private void older(ListDecoder.Listing listing) {
        List<Dispatch.Worker> leaving = entries(listing.members.stream()
            .filter(member -> member != null && numbers.containsKey(member.id) && !"SERVING".equals(member.phase)).toList());
        behindSince = behindSince == 0 ? clock.now() : behindSince;
        if (!leaving.isEmpty()) {
            tell(ListUpdate.DELTA, leaving);
        }
        failed("its revision " + listing.revision + " is older than the one in hand");
        if (clock.now() - behindSince > WatchTiming.BEHIND || !leaving.isEmpty()) {
            revision = 0;
            watch();
        }
    }

    /** The module hears of the news first; then who has left is forgotten here, so that the tables do not grow. */
    private void tell(ListUpdate update, List<Dispatch.Worker> listed) {
        List<Dispatch.Worker> workers = guard == null ? listed : guard.believed(clock.now(), update, listed, before);
        if (guard != null) {
            if (update != ListUpdate.DELTA) {
                before.clear();
            }
            workers.forEach(worker -> before.put(worker.id(), worker));
        }
        toModule(update, cordons == null ? workers : throughCordons(update, workers));
        Set<Long> gone = new HashSet<>(update == ListUpdate.DELTA ? Set.of() : names.keySet());
        for (Dispatch.Worker worker : workers) {
            if (worker.state() == WorkerState.GONE) {
                gone.add(worker.id());
            } else {
                gone.remove(worker.id());
            }
        }
        for (Long id : gone) {
            backends.forget(id);
            numbers.remove(names.remove(id));
        }
    }

    /** The module hears of it first, so that what is taken back from those that drain goes elsewhere. */
    private void toModule(ListUpdate update, List<Dispatch.Worker> seen) {
        engine.workers(update, seen);
        seen.stream().filter(worker -> worker.state() == WorkerState.DRAINING)
            .forEach(worker -> backends.takeBack(worker.id()));
    }

    private List<Dispatch.Worker> throughCordons(ListUpdate update, List<Dispatch.Worker> workers) {
        if (update != ListUpdate.DELTA) {
            believed.clear();
            members.keySet().retainAll(workers.stream().map(worker -> names.get(worker.id())).collect(Collectors.toSet()));
        }
        for (Dispatch.Worker worker : workers) {
            if (worker.state() == WorkerState.GONE) {
                believed.remove(worker.id());
                members.remove(names.get(worker.id()));
            } else {
                believed.put(worker.id(), worker);
            }
        }
        return workers.stream().map(worker -> cordons.seen(names.get(worker.id()), worker)).toList();
    }

    /** Whether the list names a backend, by its id there. */
    public boolean names(String id) {
        return numbers.containsKey(id);
    }

    /** The list as last held, in discovery's form. */
    public String held() {
        return ListDecoder.encode(revision, members.values()).toString();
    }

    /** Tells the module of all backends as they are seen now. */
    public void allSeenAnew() {
        toModule(ListUpdate.DELTA, believed.values().stream()
            .map(worker -> cordons.seen(names.get(worker.id()), worker)).toList());
    }

    /** Tells the module of a backend as it is seen now that it was taken out or put back; one not listed waits. */
    public void seenAnew(String id) {
        Long number = numbers.get(id);
        Dispatch.Worker worker = number == null ? null : believed.get(number);
        if (worker != null) {
            toModule(ListUpdate.DELTA, List.of(cordons.seen(id, worker)));
        }
    }

    private List<Dispatch.Worker> entries(List<ListDecoder.Member> members) {
        List<Dispatch.Worker> workers = new ArrayList<>();
        for (ListDecoder.Member member : members) {
            Dispatch.Worker worker = member == null || member.id == null ? null : worker(member);
            if (worker != null) {
                workers.add(worker);
            } else {
                metrics.add(Count.DIRECTOR_ENTRIES_SKIPPED);
                Logger.warn("an entry of the director's list makes no sense: {}", member == null ? null : member.id);
            }
        }
        return workers;
    }

    /** An entry in the module's terms; null where it can't be understood. */
    private Dispatch.Worker worker(ListDecoder.Member member) {
        long id = number(member.id);
        WorkerState state = PHASES.get(member.phase);
        InetSocketAddress address = member.hostPort == null ? null : Address.parse(member.hostPort);
        int zone = Names.indexOf(zones, member.locality);
        int kind = Names.indexOf(kinds, member.flavor);
        if (state == null || zone < 0 || kind < 0 || address == null && state != WorkerState.GONE) {
            return null;
        }
        if (address != null) {
            backends.locate(id, address);
        }
        if (cordons != null) {
            members.put(member.id, member);
        }
        return new Dispatch.Worker(id, zone, kind, member.cell, state, clock.fromUnixMillis(member.upSinceMs));
    }

    /**
     * The module's number for an id: a hash of its text, so that every dispatcher sorts the same backends into the same
     * groups, today and after a restart. Ids that meet there take the next free number.
     */
    private long number(String id) {
        Long known = numbers.get(id);
        if (known != null) {
            return known;
        }
        long hash = Names.hash(id);
        while (names.containsKey(hash)) {
            hash++;
        }
        long name = hash;
        // Guards against a start that waits for its log: the first line of a process costs more than all else here.
        deadlines.after(LOG_AFTER, () -> Logger.info("worker {} is backend {}", Long.toHexString(name), id));
        names.put(hash, id);
        numbers.put(id, hash);
        return hash;
    }

    /** One call for changes. */
    private final class Call implements ClientConnection.Exchange {
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();
        private Deadlines.Deadline limit;
        private int status;

        @Override public ByteBuf request() {
            long wait = recovering ? WatchTiming.RECOVERY_WAIT : WatchTiming.WATCH_WAIT;
            return Bytes.get("/v1/servers?since=" + revision + "&timeout_ms=" + wait / 1000,
                address.getHostString() + ':' + address.getPort());
        }

        @Override public void head(Head head) throws BadMessage {
            status = head.status();
        }

        @Override public void body(byte[] bytes) {
            body.writeBytes(bytes);
        }

        @Override public void ended() {
            over();
            if (status == 200) {
                take(body.toString(StandardCharsets.UTF_8));
            } else {
                failed("status " + status);
            }
        }

        @Override public void broken(boolean written) {
            over();
            failed(written ? "no whole answer" : "it can't be reached");
        }

        private void over() {
            deadlines.cancel(limit);
            call = null;
        }
    }
}
