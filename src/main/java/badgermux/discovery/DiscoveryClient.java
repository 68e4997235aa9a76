package badgermux.discovery;

import badgermux.backend.HttpBackendClient;
import badgermux.cordon.Cordons;
import badgermux.core.Clock;
import badgermux.core.Deadlines;
import badgermux.core.Engine;
import badgermux.core.Names;
import badgermux.decide.DispatchPolicy;
import badgermux.decide.DispatchPolicy.BackendState;
import badgermux.decide.DispatchPolicy.ListUpdate;
import badgermux.decide.WatchTiming;
import badgermux.http.Address;
import badgermux.http.ExchangeConnection;
import badgermux.http.InvalidMessageException;
import badgermux.http.MessageEncoder;
import badgermux.http.MessageHead;
import badgermux.http.OutboundConnection;
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
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.tinylog.Logger;

/**
 * Watches the backend list of the discovery service: one long poll after another, each of which asks for the changes since
 * the last revision received. Passes the list to the engine with operators' cordons applied.
 */
public final class DiscoveryClient {
    /** Corrects a list before it is used, for instance one that leaves out backends by mistake. */
    public interface ListFilter {
        /**
         * Returns the entries to use.
         *
         * @param accepted the entries that earlier calls returned, by number, without those that have left since
         */
        List<DispatchPolicy.Backend> filter(long now, ListUpdate update, List<DispatchPolicy.Backend> list,
            Map<Long, DispatchPolicy.Backend> accepted);
    }

    private static final int MAX_LIST_BYTES = 4 << 20;
    /** The pause before the next attempt to connect if no file descriptor was available. */
    private static final long NO_DESCRIPTOR_RETRY_MICROS = 5_000;
    /** How long the log line about a new backend is delayed. */
    private static final long LOG_DELAY_MICROS = 500_000;
    private static final Map<String, BackendState> STATES_BY_PHASE = Map.of("SERVING", BackendState.READY,
        "DRAINING", BackendState.DRAINING, "DELETED", BackendState.GONE);

    /** Opens a connection to an address. */
    private final Function<InetSocketAddress, ExchangeConnection> connector;
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
    private final SplittableRandom random;
    /** The entries that the filter returned. Kept only where there is a filter. */
    private final Map<Long, DispatchPolicy.Backend> acceptedBackends = new HashMap<>();
    /** The accepted entries before cordons are applied. Kept only where operators can cordon backends. */
    private final Map<Long, DispatchPolicy.Backend> backendsBeforeCordons = new HashMap<>();
    /** The entries as received, by id, for the next process. Kept only where there may be one. */
    private final Map<String, BackendListCodec.Member> membersById = new HashMap<>();
    private InetSocketAddress address;
    private final Map<Long, String> idsByNumber = new HashMap<>();
    private final Map<String, Long> numbersById = new HashMap<>();
    private ExchangeConnection connection;
    /** The exchange in progress; null where there is none. */
    private WatchExchange currentWatch;
    private long revision;
    /** How long the next watch waits for a change, before jitter. */
    private long watchWaitMicros = WatchTiming.WATCH_WAIT_MICROS;
    /** When discovery last answered with a list; -1 if it has not. */
    private long listedAtMicros = -1;
    /** Since when discovery has returned older revisions than the current list; 0 where it does not. */
    private long staleSinceMicros;
    private boolean hasList;
    /** Whether the last request failed; only the first of several failures is logged. */
    private boolean failing;
    /** Whether no list was received since a request failed or timed out, or since the address changed. */
    private boolean recovering;
    /** Whether no list was received since the start. */
    private boolean starting = true;
    /** Whether the last request could not be sent because no file descriptor was available. */
    private boolean outOfDescriptors;
    /** Whether no list was received since the address changed: another service may number its revisions differently. */
    private boolean addressChanged;

    /**
     * Creates a client that does not send requests yet.
     *
     * @param discoveryAddress the address of the discovery service
     * @param cachedList       the list to start with, from the configuration file or from the previous process
     * @param zoneNames        the names of the zones, by the decision module's index
     * @param kindNames        the names of the kinds of backends, by the decision module's index
     * @param listFilter       corrects lists before use; null to use them as received
     * @param cordons          the backends cordoned by operators; null where operators can't cordon
     * @param listPushed       whether the list comes from a local agent, which is watched from the start and again after each
     *                         failed request; otherwise the decision module starts each watch
     * @param seed             of the jitter of the waits
     */
    public DiscoveryClient(EventLoopGroup loop, Deadlines deadlines, Clock clock, Metrics metrics, Engine<?> engine,
            HttpBackendClient backends, InetSocketAddress discoveryAddress, BackendListCodec.BackendList cachedList,
            List<String> zoneNames, List<String> kindNames, ListFilter listFilter, Cordons cordons, boolean listPushed, long seed) {
        this(address -> new OutboundConnection(loop, deadlines, address,
            listPushed ? WatchTiming.AGENT_CONNECT_TIMEOUT_MICROS : WatchTiming.CONNECT_TIMEOUT_MICROS, MAX_LIST_BYTES,
            () -> { }), deadlines, clock, metrics, engine, backends, discoveryAddress, cachedList, zoneNames, kindNames,
            listFilter, cordons, listPushed, seed);
    }

    /** The same with connections opened by {@code connector}. */
    DiscoveryClient(Function<InetSocketAddress, ExchangeConnection> connector, Deadlines deadlines, Clock clock,
            Metrics metrics, Engine<?> engine, HttpBackendClient backends, InetSocketAddress discoveryAddress,
            BackendListCodec.BackendList cachedList, List<String> zoneNames, List<String> kindNames, ListFilter listFilter,
            Cordons cordons, boolean listPushed, long seed) {
        this.connector = connector;
        this.deadlines = deadlines;
        this.clock = clock;
        this.metrics = metrics;
        this.engine = engine;
        this.backends = backends;
        this.cachedList = cachedList;
        this.zoneNames = zoneNames;
        this.kindNames = kindNames;
        this.listFilter = listFilter;
        this.cordons = cordons;
        this.listPushed = listPushed;
        random = new SplittableRandom(seed);
        metrics.registerDumpGauge("cluster_size", idsByNumber::size);
        metrics.registerDumpGauge("cluster_unhealthy", () -> idsByNumber.keySet().stream().filter(engine::isAvoided).count());
        metrics.registerGauge("director_revision", () -> revision);
        metrics.registerGauge("director_list_age_ms", this::listAgeMillis);
        metrics.registerGauge("director_watch_wait_ms", () -> TimeUnit.MICROSECONDS.toMillis(watchWaitMicros));
        address = discoveryAddress;
    }

    /** Returns how long ago discovery last answered with a list; -1 if it has not. */
    private long listAgeMillis() {
        return listedAtMicros < 0 ? -1 : TimeUnit.MICROSECONDS.toMillis(clock.nowMicros() - listedAtMicros);
    }

    /** Passes the cached list to the engine, and starts to watch where the list is pushed. */
    public void start() {
        revision = cachedList.revision;
        hasList = !cachedList.members.isEmpty();
        publish(ListUpdate.CACHED, toBackends(cachedList.members));
        if (listPushed) {
            watch();
        }
    }

    /** Whether a backend list is known, from the cache or from discovery, and may be used. */
    public boolean hasUsableList() {
        return hasList && engine.hasUsableList();
    }

    /** Requests changes since the current revision, again and again until a request fails. */
    public void watch() {
        if (currentWatch != null) {
            return;
        }
        if (connection == null || !connection.isReusable()) {
            connection = connector.apply(address);
        }
        if (!connection.hasDescriptor()) {
            retryForDescriptor();
            return;
        }
        outOfDescriptors = false;
        metrics.increment(Count.DIRECTOR_CALLS);
        currentWatch = new WatchExchange(nextWaitMicros());
        // Without the timeout, a discovery service that accepts the request and never responds would end the watch.
        currentWatch.timeout = deadlines.scheduleAfter(starting || recovering ? WatchTiming.RECOVERY_TIMEOUT_MICROS
            : currentWatch.waitMicros + WatchTiming.RESPONSE_GRACE_MICROS, this::onWatchTimeout);
        connection.start(currentWatch);
    }

    private long nextWaitMicros() {
        if (starting) {
            return WatchTiming.INITIAL_WAIT_MICROS;
        }
        return recovering ? WatchTiming.RECOVERY_WAIT_MICROS
            : (long) (watchWaitMicros * random.nextDouble(WatchTiming.MIN_WATCH_WAIT_FACTOR, 1));
    }

    /**
     * Retries soon. No failure is reported, because the pause that follows a failure would be too long: under a flood of
     * connections every descriptor is taken again as soon as it is released.
     */
    private void retryForDescriptor() {
        connection = null;
        if (!outOfDescriptors) {
            Logger.warn("No file descriptor available for the discovery request, retrying");
        }
        outOfDescriptors = true;
        deadlines.scheduleAfter(NO_DESCRIPTOR_RETRY_MICROS, this::watch);
    }

    /**
     * Repeats a watch that timed out, at once and on another connection. The dispatcher has to learn of a drain within
     * {@link WatchTiming#MAX_PROPAGATION_MICROS}, also of one that began during the watch that got no response; after the
     * pause that follows a failure, the response would come too late. A second timeout in a row is a failure.
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

    /** Drops the current exchange and its connection. No failure is reported to the decision module. */
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
     * Continues with the discovery service at another address: watches there at once, from the current revision. The current
     * exchange is dropped, which is not reported as a failure to the decision module.
     */
    public void switchTo(InetSocketAddress newAddress) {
        if (!newAddress.equals(address)) {
            address = newAddress;
            addressChanged = true;
            recovering = true;
            abortWatch();
        }
        watch();
    }

    /** Keeps the current list. Only the first failure in a row is logged, since an outage causes many. */
    private void onFailure(String reason) {
        metrics.increment(Count.DIRECTOR_FAILURES);
        recovering = true;
        // An agent on the own host is not shared with other dispatchers.
        if (!listPushed) {
            watchWaitMicros = WatchTiming.watchWaitAfterFailureMicros(watchWaitMicros);
        }
        if (!failing) {
            Logger.warn("Discovery request failed: {}; keeping the current backend list, revision {}, confirmed {} ms ago", reason,
                revision, listAgeMillis());
        }
        failing = true;
        engine.backendsListed(ListUpdate.FAILED, List.of());
        if (listPushed) {
            deadlines.scheduleAfter(WatchTiming.AGENT_RETRY_PAUSE_MICROS, this::watch);
        }
    }

    /**
     * Handles a response body. Whatever it contains, either the next watch starts or a failure is reported; otherwise the
     * list would not be watched any more.
     */
    private void handleResponse(String json) {
        try {
            applyList(BackendListCodec.decode(json));
        } catch (JsonParseException e) {
            onFailure("malformed list: " + e.getMessage());
        } catch (RuntimeException e) {
            metrics.increment(Count.EXCEPTIONS);
            Logger.error(e, "Exception while applying a backend list");
            revision = 0;   // requests the whole list, since only part of this one may have been applied
            onFailure("the list can't be applied");
        }
    }

    private void applyList(BackendListCodec.BackendList list) {
        if (list.revision < revision && !addressChanged) {
            handleOlderList(list);
            return;
        }
        // Another service numbers its revisions differently, so these may not be all changes: request its whole list.
        boolean needsWholeList = list.revision < revision && !list.complete;
        staleSinceMicros = 0;
        addressChanged = false;
        if (failing) {
            Logger.info("Discovery requests succeed again");
        }
        failing = false;
        watchWaitMicros = starting || recovering ? watchWaitMicros : WatchTiming.watchWaitAfterAnswerMicros(watchWaitMicros);
        recovering = false;
        starting = false;
        listedAtMicros = clock.nowMicros();
        metrics.increment(Count.DIRECTOR_LISTS);
        revision = needsWholeList ? 0 : list.revision;
        hasList |= list.complete || !list.members.isEmpty();
        // Sent before the list is applied: discovery treats a watch as continued only if the next request follows at once.
        watch();
        publish(list.complete ? ListUpdate.FULL : ListUpdate.DELTA, toBackends(list.members));
    }

    /**
     * Handles a list with an older revision than the current one. It may come from a replica that lags, whose list would
     * bring back backends that have left, or from a service that was restarted and numbers its revisions from the start. In
     * either case backends that it lists as draining or gone get no new requests. The whole list, which shows which case it
     * is, is requested at once if there are such backends, otherwise once the revisions have been older for
     * {@link WatchTiming#MAX_STALE_REVISIONS_MICROS}.
     */
    private void handleOlderList(BackendListCodec.BackendList list) {
        List<DispatchPolicy.Backend> leaving = toBackends(list.members.stream()
            .filter(member -> member != null && numbersById.containsKey(member.id) && !"SERVING".equals(member.phase)).toList());
        staleSinceMicros = staleSinceMicros == 0 ? clock.nowMicros() : staleSinceMicros;
        if (!leaving.isEmpty()) {
            publish(ListUpdate.DELTA, leaving);
        }
        onFailure("revision " + list.revision + " is older than the current one");
        if (clock.nowMicros() - staleSinceMicros > WatchTiming.MAX_STALE_REVISIONS_MICROS || !leaving.isEmpty()) {
            revision = 0;
            watch();
        }
    }

    /** Passes the list to the engine, and then forgets the backends that have left, so that the maps do not grow. */
    private void publish(ListUpdate update, List<DispatchPolicy.Backend> received) {
        List<DispatchPolicy.Backend> accepted = listFilter == null ? received
            : listFilter.filter(clock.nowMicros(), update, received, acceptedBackends);
        if (listFilter != null) {
            if (update != ListUpdate.DELTA) {
                acceptedBackends.clear();
            }
            accepted.forEach(backend -> acceptedBackends.put(backend.id(), backend));
        }
        updateEngine(update, cordons == null ? accepted : applyCordons(update, accepted));
        Set<Long> gone = new HashSet<>(update == ListUpdate.DELTA ? Set.of() : idsByNumber.keySet());
        for (DispatchPolicy.Backend backend : accepted) {
            if (backend.state() == BackendState.GONE) {
                gone.add(backend.id());
            } else {
                gone.remove(backend.id());
            }
        }
        for (Long number : gone) {
            backends.removeBackend(number);
            numbersById.remove(idsByNumber.remove(number));
        }
    }

    /** Updates the engine first, so that attempts withdrawn from draining backends are sent to others. */
    private void updateEngine(ListUpdate update, List<DispatchPolicy.Backend> changes) {
        engine.backendsListed(update, changes);
        changes.stream().filter(backend -> backend.state() == BackendState.DRAINING)
            .forEach(backend -> backends.withdrawUnsentAttempts(backend.id()));
    }

    private List<DispatchPolicy.Backend> applyCordons(ListUpdate update, List<DispatchPolicy.Backend> accepted) {
        if (update != ListUpdate.DELTA) {
            backendsBeforeCordons.clear();
            membersById.keySet().retainAll(
                accepted.stream().map(backend -> idsByNumber.get(backend.id())).collect(Collectors.toSet()));
        }
        for (DispatchPolicy.Backend backend : accepted) {
            if (backend.state() == BackendState.GONE) {
                backendsBeforeCordons.remove(backend.id());
                membersById.remove(idsByNumber.get(backend.id()));
            } else {
                backendsBeforeCordons.put(backend.id(), backend);
            }
        }
        return accepted.stream().map(backend -> cordons.applyTo(idsByNumber.get(backend.id()), backend)).toList();
    }

    /** Whether the list contains a backend with this id. */
    public boolean isListed(String id) {
        return numbersById.containsKey(id);
    }

    /** Returns the whole list in discovery's format, for the next process. */
    public String encodeList() {
        return BackendListCodec.encode(revision, membersById.values()).toString();
    }

    /** Passes all backends to the engine again after the cordons have changed. */
    public void republishAll() {
        updateEngine(ListUpdate.DELTA, backendsBeforeCordons.values().stream()
            .map(backend -> cordons.applyTo(idsByNumber.get(backend.id()), backend)).toList());
    }

    /** Passes a backend to the engine again after its cordon has changed; does nothing if it is not listed. */
    public void republish(String id) {
        Long number = numbersById.get(id);
        DispatchPolicy.Backend backend = number == null ? null : backendsBeforeCordons.get(number);
        if (backend != null) {
            updateEngine(ListUpdate.DELTA, List.of(cordons.applyTo(id, backend)));
        }
    }

    private List<DispatchPolicy.Backend> toBackends(List<BackendListCodec.Member> members) {
        List<DispatchPolicy.Backend> result = new ArrayList<>();
        for (BackendListCodec.Member member : members) {
            DispatchPolicy.Backend backend = member == null || member.id == null ? null : toBackend(member);
            if (backend != null) {
                result.add(backend);
            } else {
                metrics.increment(Count.DIRECTOR_ENTRIES_SKIPPED);
                Logger.warn("Skipped an invalid entry of the backend list: {}", member == null ? null : member.id);
            }
        }
        return result;
    }

    /** Converts an entry to the decision module's form; null if its phase, zone, kind or address is not valid. */
    private DispatchPolicy.Backend toBackend(BackendListCodec.Member member) {
        long number = numberOf(member.id);
        BackendState state = STATES_BY_PHASE.get(member.phase);
        InetSocketAddress backendAddress = member.hostPort == null ? null : Address.parse(member.hostPort);
        int zone = Names.indexOf(zoneNames, member.locality);
        int kind = Names.indexOf(kindNames, member.flavor);
        if (state == null || zone < 0 || kind < 0 || backendAddress == null && state != BackendState.GONE) {
            return null;
        }
        if (backendAddress != null) {
            backends.setAddress(number, backendAddress);
        }
        if (cordons != null) {
            membersById.put(member.id, member);
        }
        return new DispatchPolicy.Backend(number, zone, kind, member.cell, state, clock.fromUnixMillis(member.upSinceMs));
    }

    /**
     * Returns the decision module's number for an id: a hash of the id, so that every dispatcher forms the same groups of
     * backends, also after a restart. An id whose hash is taken gets the next free number.
     */
    private long numberOf(String id) {
        Long known = numbersById.get(id);
        if (known != null) {
            return known;
        }
        long unusedNumber = Names.hash(id);
        while (idsByNumber.containsKey(unusedNumber)) {
            unusedNumber++;
        }
        long number = unusedNumber;
        // Logged later: the first log line of a process takes longer than the rest of this method and would delay the start.
        deadlines.scheduleAfter(LOG_DELAY_MICROS, () -> Logger.info("Backend {} has the id {}", Long.toHexString(number), id));
        idsByNumber.put(unusedNumber, id);
        numbersById.put(id, unusedNumber);
        return unusedNumber;
    }

    /** One request for changes of the list. */
    private final class WatchExchange implements ExchangeConnection.Exchange {
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();
        private final long waitMicros;
        private Deadlines.Deadline timeout;
        private int status;

        WatchExchange(long waitMicros) {
            this.waitMicros = waitMicros;
        }

        @Override public ByteBuf createRequest() {
            return MessageEncoder.getRequest("/v1/servers?since=" + revision + "&timeout_ms=" + waitMicros / 1000,
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
            onFailure(written ? "incomplete response" : "can't connect");
        }

        private void finish() {
            deadlines.cancel(timeout);
            currentWatch = null;
        }
    }
}
