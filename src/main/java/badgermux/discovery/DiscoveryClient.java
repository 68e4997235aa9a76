package badgermux.discovery;

import badgermux.backend.HttpBackendClient;
import badgermux.core.Clock;
import badgermux.core.Deadlines;
import badgermux.core.Engine;
import badgermux.core.Names;
import badgermux.decide.DispatchPolicy;
import badgermux.decide.DispatchPolicy.ListUpdate;
import badgermux.decide.DispatchPolicy.BackendState;
import badgermux.decide.WatchTiming;
import badgermux.cordon.Cordons;
import badgermux.http.Address;
import badgermux.http.InvalidMessageException;
import badgermux.http.MessageEncoder;
import badgermux.http.OutboundConnection;
import badgermux.http.MessageHead;
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
public final class DiscoveryClient {
    /** Says what of a list is believed. */
    public interface ListFilter {
        /** The entries to go by; {@code before} are those last told that have not left since. */
        List<DispatchPolicy.Backend> filter(long now, ListUpdate update, List<DispatchPolicy.Backend> list,
            Map<Long, DispatchPolicy.Backend> before);
    }

    private static final int MAX_LIST_BYTES = 4 << 20;
    /** How soon a connection is tried again that could not be opened for want of a descriptor. */
    private static final long NO_DESCRIPTOR_RETRY_MICROS = 5_000;
    private static final long LOG_DELAY_MICROS = 500_000;
    private static final Map<String, BackendState> STATES_BY_PHASE = Map.of("SERVING", BackendState.READY,
        "DRAINING", BackendState.DRAINING, "DELETED", BackendState.GONE);

    private final EventLoopGroup loop;
    private final Deadlines deadlines;
    private final Clock clock;
    private final Metrics metrics;
    private final Engine<?> engine;
    private final HttpBackendClient backends;
    private final List<String> zoneNames;
    private final List<String> kindNames;
    private final BackendListCodec.BackendList cachedList;
    private final ListFilter listFilter;
    private final Cordons cordons;
    private final boolean listPushed;
    private final Map<Long, DispatchPolicy.Backend> acceptedBackends = new HashMap<>();
    /** The entries as believed, before operators' cordons: kept only where there are such. */
    private final Map<Long, DispatchPolicy.Backend> backendsBeforeCordons = new HashMap<>();
    /** The entries as they came, by id, for the next process: kept only where there may be one. */
    private final Map<String, BackendListCodec.Member> membersById = new HashMap<>();
    private InetSocketAddress address;
    private final Map<Long, String> names = new HashMap<>();
    private final Map<String, Long> numbersById = new HashMap<>();
    private OutboundConnection connection;
    private WatchExchange currentWatch;
    private long revision;
    /** Since when its answers are older than the list in hand; 0 where they are not. */
    private long staleSinceMicros;
    private boolean hasList;
    private boolean failing;
    /** Whether no list has come since a call failed, fell silent or went to another address. */
    private boolean recovering;
    /** Whether the last call could not be made for want of a descriptor. */
    private boolean outOfDescriptors;
    /** Whether it is another discovery service that is asked now, which may count revisions of its own. */
    private boolean addressChanged;

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
    public DiscoveryClient(EventLoopGroup loop, Deadlines deadlines, Clock clock, Metrics metrics, Engine<?> engine,
            HttpBackendClient backends, InetSocketAddress at, BackendListCodec.BackendList known, List<String> zones,
            List<String> kinds, ListFilter guard, Cordons cordons, boolean pushed) {
        this.loop = loop;
        this.deadlines = deadlines;
        this.clock = clock;
        this.metrics = metrics;
        this.engine = engine;
        this.backends = backends;
        this.cachedList = known;
        this.zoneNames = zones;
        this.kindNames = kinds;
        this.listFilter = guard;
        this.cordons = cordons;
        this.listPushed = pushed;
        metrics.registerDumpGauge("cluster_size", names::size);
        metrics.registerDumpGauge("cluster_unhealthy", () -> names.keySet().stream().filter(engine::isAvoided).count());
        address = at;
    }

    /** Tells the module of the list as it was last held. */
    public void start() {
        revision = cachedList.revision;
        hasList = !cachedList.members.isEmpty();
        publish(ListUpdate.CACHED, toBackends(cachedList.members));
        if (listPushed) {
            watch();
        }
    }

    /** Whether there is a list to work with. */
    public boolean hasList() {
        return hasList;
    }

    /** Asks for changes from the version in hand on, until a call fails. */
    public void watch() {
        if (currentWatch != null) {
            return;
        }
        if (connection == null || !connection.isReusable()) {
            connection = new OutboundConnection(loop, deadlines, address,
                listPushed ? WatchTiming.AGENT_CONNECT_TIMEOUT_MICROS : WatchTiming.CONNECT_TIMEOUT_MICROS, MAX_LIST_BYTES, () -> { });
        }
        if (!connection.hasDescriptor()) {
            retryForDescriptor();
            return;
        }
        outOfDescriptors = false;
        metrics.increment(Count.DIRECTOR_CALLS);
        currentWatch = new WatchExchange();
        // Guards against a discovery service that takes the call and falls silent.
        currentWatch.timeout = deadlines.scheduleAfter(recovering ? WatchTiming.RECOVERY_TIMEOUT_MICROS : WatchTiming.WATCH_TIMEOUT_MICROS, this::onWatchTimeout);
        connection.start(currentWatch);
    }

    /** Guards against a crowd that takes every descriptor as it becomes free: this is no failure, and has no pause. */
    private void retryForDescriptor() {
        connection = null;
        if (!outOfDescriptors) {
            Logger.warn("there is no descriptor for a call to the director");
        }
        outOfDescriptors = true;
        deadlines.scheduleAfter(NO_DESCRIPTOR_RETRY_MICROS, this::watch);
    }

    /**
     * A watch that has fallen silent is opened anew at once, on another connection: a drain that it missed counts as told
     * soon, and after a pause, as behind a failure, the answer would come too late. Silence of the call made anew is a
     * failure.
     */
    private void onWatchTimeout() {
        if (recovering) {
            connection.close();
        } else {
            metrics.increment(Count.DIRECTOR_SILENCES);
            abortWatch();
            recovering = true;
            watch();
        }
    }

    /** Forgets the call under way, of which the module hears nothing, and its connection. */
    private void abortWatch() {
        if (currentWatch != null) {
            deadlines.cancel(currentWatch.timeout);
            currentWatch = null;
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
    public void switchTo(InetSocketAddress next) {
        if (!next.equals(address)) {
            address = next;
            addressChanged = true;
            recovering = true;
            abortWatch();
        }
        watch();
    }

    /** The list in hand goes on. One line tells of the first failure: a discovery service that is down fails many calls. */
    private void onFailure(String why) {
        metrics.increment(Count.DIRECTOR_FAILURES);
        recovering = true;
        if (!failing) {
            Logger.warn("the director fails: {}; the list in hand goes on", why);
        }
        failing = true;
        engine.backendsListed(ListUpdate.FAILED, List.of());
        if (listPushed) {
            deadlines.scheduleAfter(WatchTiming.AGENT_RETRY_PAUSE_MICROS, this::watch);
        }
    }

    /** Guards against a list that nobody watches any more: whatever comes of an answer, a call follows or a failure is told. */
    private void handleResponse(String json) {
        try {
            applyList(BackendListCodec.decode(json));
        } catch (JsonParseException e) {
            onFailure("its list is malformed: " + e.getMessage());
        } catch (RuntimeException e) {
            metrics.increment(Count.EXCEPTIONS);
            Logger.error(e, "exception in a list");
            revision = 0;   // what of it was not told comes again with the whole
            onFailure("its list can't be used");
        }
    }

    private void applyList(BackendListCodec.BackendList listing) {
        if (listing.revision < revision && !addressChanged) {
            handleOlderList(listing);
            return;
        }
        // Guards against a change that another discovery service, with revisions of its own, made before that one.
        boolean begunAnew = listing.revision < revision && !listing.complete;
        staleSinceMicros = 0;
        addressChanged = false;
        if (failing) {
            Logger.info("the director answers again");
        }
        failing = false;
        recovering = false;
        metrics.increment(Count.DIRECTOR_LISTS);
        revision = begunAnew ? 0 : listing.revision;
        hasList |= listing.complete || !listing.members.isEmpty();
        // The next call goes out first: a watch goes on only if it follows at once.
        watch();
        publish(listing.complete ? ListUpdate.FULL : ListUpdate.DELTA, toBackends(listing.members));
    }

    /**
     * Guards against a discovery service that lags: its older list would bring back who has left. One that has begun anew
     * counts its revisions from the start, too, and what it writes is told: who drains or has left there gets nothing new
     * from here on, and the whole list, which tells which of the two it is, is asked for next.
     */
    private void handleOlderList(BackendListCodec.BackendList listing) {
        List<DispatchPolicy.Backend> leaving = toBackends(listing.members.stream()
            .filter(member -> member != null && numbersById.containsKey(member.id) && !"SERVING".equals(member.phase)).toList());
        staleSinceMicros = staleSinceMicros == 0 ? clock.nowMicros() : staleSinceMicros;
        if (!leaving.isEmpty()) {
            publish(ListUpdate.DELTA, leaving);
        }
        onFailure("its revision " + listing.revision + " is older than the one in hand");
        if (clock.nowMicros() - staleSinceMicros > WatchTiming.MAX_STALE_REVISIONS_MICROS || !leaving.isEmpty()) {
            revision = 0;
            watch();
        }
    }

    /** The module hears of the news first; then who has left is forgotten here, so that the tables do not grow. */
    private void publish(ListUpdate update, List<DispatchPolicy.Backend> listed) {
        List<DispatchPolicy.Backend> workers = listFilter == null ? listed : listFilter.filter(clock.nowMicros(), update, listed, acceptedBackends);
        if (listFilter != null) {
            if (update != ListUpdate.DELTA) {
                acceptedBackends.clear();
            }
            workers.forEach(worker -> acceptedBackends.put(worker.id(), worker));
        }
        updateEngine(update, cordons == null ? workers : applyCordons(update, workers));
        Set<Long> gone = new HashSet<>(update == ListUpdate.DELTA ? Set.of() : names.keySet());
        for (DispatchPolicy.Backend worker : workers) {
            if (worker.state() == BackendState.GONE) {
                gone.add(worker.id());
            } else {
                gone.remove(worker.id());
            }
        }
        for (Long id : gone) {
            backends.removeBackend(id);
            numbersById.remove(names.remove(id));
        }
    }

    /** The module hears of it first, so that what is taken back from those that drain goes elsewhere. */
    private void updateEngine(ListUpdate update, List<DispatchPolicy.Backend> seen) {
        engine.backendsListed(update, seen);
        seen.stream().filter(worker -> worker.state() == BackendState.DRAINING)
            .forEach(worker -> backends.withdrawUnsentAttempts(worker.id()));
    }

    private List<DispatchPolicy.Backend> applyCordons(ListUpdate update, List<DispatchPolicy.Backend> workers) {
        if (update != ListUpdate.DELTA) {
            backendsBeforeCordons.clear();
            membersById.keySet().retainAll(workers.stream().map(worker -> names.get(worker.id())).collect(Collectors.toSet()));
        }
        for (DispatchPolicy.Backend worker : workers) {
            if (worker.state() == BackendState.GONE) {
                backendsBeforeCordons.remove(worker.id());
                membersById.remove(names.get(worker.id()));
            } else {
                backendsBeforeCordons.put(worker.id(), worker);
            }
        }
        return workers.stream().map(worker -> cordons.applyTo(names.get(worker.id()), worker)).toList();
    }

    /** Whether the list names a backend, by its id there. */
    public boolean names(String id) {
        return numbersById.containsKey(id);
    }

    /** The list as last held, in discovery's form. */
    public String encodeList() {
        return BackendListCodec.encode(revision, membersById.values()).toString();
    }

    /** Tells the module of all backends as they are seen now. */
    public void republishAll() {
        updateEngine(ListUpdate.DELTA, backendsBeforeCordons.values().stream()
            .map(worker -> cordons.applyTo(names.get(worker.id()), worker)).toList());
    }

    /** Tells the module of a backend as it is seen now that it was taken out or put back; one not listed waits. */
    public void republish(String id) {
        Long number = numbersById.get(id);
        DispatchPolicy.Backend worker = number == null ? null : backendsBeforeCordons.get(number);
        if (worker != null) {
            updateEngine(ListUpdate.DELTA, List.of(cordons.applyTo(id, worker)));
        }
    }

    private List<DispatchPolicy.Backend> toBackends(List<BackendListCodec.Member> members) {
        List<DispatchPolicy.Backend> workers = new ArrayList<>();
        for (BackendListCodec.Member member : members) {
            DispatchPolicy.Backend worker = member == null || member.id == null ? null : toBackend(member);
            if (worker != null) {
                workers.add(worker);
            } else {
                metrics.increment(Count.DIRECTOR_ENTRIES_SKIPPED);
                Logger.warn("an entry of the director's list makes no sense: {}", member == null ? null : member.id);
            }
        }
        return workers;
    }

    /** An entry in the module's terms; null where it can't be understood. */
    private DispatchPolicy.Backend toBackend(BackendListCodec.Member member) {
        long id = numberOf(member.id);
        BackendState state = STATES_BY_PHASE.get(member.phase);
        InetSocketAddress address = member.hostPort == null ? null : Address.parse(member.hostPort);
        int zone = Names.indexOf(zoneNames, member.locality);
        int kind = Names.indexOf(kindNames, member.flavor);
        if (state == null || zone < 0 || kind < 0 || address == null && state != BackendState.GONE) {
            return null;
        }
        if (address != null) {
            backends.setAddress(id, address);
        }
        if (cordons != null) {
            membersById.put(member.id, member);
        }
        return new DispatchPolicy.Backend(id, zone, kind, member.cell, state, clock.fromUnixMillis(member.upSinceMs));
    }

    /**
     * The module's number for an id: a hash of its text, so that every dispatcher sorts the same backends into the same
     * groups, today and after a restart. Ids that meet there take the next free number.
     */
    private long numberOf(String id) {
        Long known = numbersById.get(id);
        if (known != null) {
            return known;
        }
        long hash = Names.hash(id);
        while (names.containsKey(hash)) {
            hash++;
        }
        long name = hash;
        // Guards against a start that waits for its log: the first line of a process costs more than all else here.
        deadlines.scheduleAfter(LOG_DELAY_MICROS, () -> Logger.info("worker {} is backend {}", Long.toHexString(name), id));
        names.put(hash, id);
        numbersById.put(id, hash);
        return hash;
    }

    /** One call for changes. */
    private final class WatchExchange implements OutboundConnection.Exchange {
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();
        private Deadlines.Deadline timeout;
        private int status;

        @Override public ByteBuf createRequest() {
            long wait = recovering ? WatchTiming.RECOVERY_WAIT_MICROS : WatchTiming.WATCH_WAIT_MICROS;
            return MessageEncoder.getRequest("/v1/servers?since=" + revision + "&timeout_ms=" + wait / 1000,
                address.getHostString() + ':' + address.getPort());
        }

        @Override public void onHead(MessageHead head) throws InvalidMessageException {
            status = head.status();
        }

        @Override public void onBody(byte[] bytes) {
            body.writeBytes(bytes);
        }

        @Override public void onResponseEnded() {
            finish();
            if (status == 200) {
                handleResponse(body.toString(StandardCharsets.UTF_8));
            } else {
                onFailure("status " + status);
            }
        }

        @Override public void onConnectionFailed(boolean written) {
            finish();
            onFailure(written ? "no whole answer" : "it can't be reached");
        }

        private void finish() {
            deadlines.cancel(timeout);
            currentWatch = null;
        }
    }
}
