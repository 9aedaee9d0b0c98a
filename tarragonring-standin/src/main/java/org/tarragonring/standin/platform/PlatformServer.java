package org.tarragonring.standin.platform;

import java.time.Duration;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;

import io.smallrye.mutiny.Uni;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServer;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import io.vertx.ext.web.handler.BodyHandler;
import org.tarragonring.ids.HostPort;
import org.tarragonring.ids.UpstreamId;
import org.tarragonring.objects.Instance;
import org.tarragonring.objects.Json;
import org.tarragonring.objects.StoreEra;
import org.tarragonring.objects.StoreException;
import org.tarragonring.objects.StoredObject;
import org.tarragonring.time.Timers;
import org.tarragonring.time.VertxTimers;

/**
 * Serves the platform's Object API and instance list over HTTP. Can simulate outages, lost responses and a delayed
 * instance list.
 *
 * @since 0.1.0
 */
public final class PlatformServer {

    private static final int STATUS_UNAVAILABLE = 503;
    private static final int STATUS_PRECONDITION_FAILED = 412;
    private static final int STATUS_NOT_MODIFIED = 304;
    private static final int STATUS_NOT_FOUND = 404;
    private static final int STATUS_GONE = 410;

    private final Vertx vertx;
    private final Timers timers;
    private final InMemoryObjectStore store;
    private final Map<UpstreamId, Instance> instances = new ConcurrentSkipListMap<>();
    private final AtomicInteger responsesToLose = new AtomicInteger();
    private final AtomicLong instanceListReads = new AtomicLong();
    private volatile Map<UpstreamId, Instance> visibleInstances = Map.of();
    private volatile boolean down;
    private volatile Duration listLag = Duration.ZERO;
    private HttpServer server;

    /**
     * Creates a server that does not listen yet.
     *
     * @param vertx the Vert.x instance that runs the server, not null
     */
    public PlatformServer(Vertx vertx) {
        this.vertx = Objects.requireNonNull(vertx, "vertx");
        this.timers = new VertxTimers(vertx);
        this.store = new InMemoryObjectStore(timers);
    }

    /**
     * Starts listening.
     *
     * @param listenAddress the address to bind, not null; port 0 chooses a free port
     * @return completes with the bound address
     */
    public Future<HostPort> start(HostPort listenAddress) {
        return vertx.createHttpServer()
                .requestHandler(createRouter())
                .listen(listenAddress.port(), listenAddress.host())
                .map(listening -> {
                    server = listening;
                    return new HostPort(listenAddress.host(), listening.actualPort());
                });
    }

    /**
     * Stops listening.
     *
     * @return completes when the port is closed; already completed if the server was never started
     */
    public Future<Void> stop() {
        return server == null ? Future.succeededFuture() : server.close();
    }

    /**
     * Returns the store that holds the objects.
     *
     * @return the store, never null
     */
    public InMemoryObjectStore store() {
        return store;
    }

    /**
     * Returns how often the instance list was read, including reads that returned status 304.
     *
     * @return the number, 0 or more
     */
    public long instanceListReads() {
        return instanceListReads.get();
    }

    /**
     * Starts or ends a simulated outage. During an outage the server responds to every request with status 503, except
     * to requests that set faults, register instances or read the request counts.
     *
     * @param isDown whether the outage is to start
     */
    public void setDown(boolean isDown) {
        down = isDown;
    }

    /**
     * Closes the connection instead of responding to each of the next writes. The writes are still executed.
     *
     * @param count the number of writes that get no response
     */
    public void loseResponses(int count) {
        responsesToLose.set(count);
    }

    /**
     * Delays the visibility of future changes to the instance list.
     *
     * @param lag the delay until a change becomes visible, not null; zero makes changes visible immediately
     */
    public void setListLag(Duration lag) {
        listLag = lag;
    }

    /**
     * Adds an instance or replaces the one with the same id.
     *
     * @param instance the instance, not null
     */
    public void putInstance(Instance instance) {
        instances.put(instance.id(), instance);
        publishInstanceList();
    }

    /**
     * Removes an instance. Has no effect if there is no instance with this id.
     *
     * @param id the instance's id, not null
     */
    public void removeInstance(UpstreamId id) {
        instances.remove(id);
        publishInstanceList();
    }

    private void publishInstanceList() {
        Map<UpstreamId, Instance> snapshot = new TreeMap<>(instances);
        if (listLag.isZero()) {
            visibleInstances = snapshot;
        } else {
            timers.schedule(listLag, () -> visibleInstances = snapshot);
        }
    }

    private Router createRouter() {
        Router router = Router.router(vertx);
        router.route().handler(BodyHandler.create(false));
        router.route().handler(routing -> {
            routing.addHeadersEndHandler(end -> addEra(routing));
            routing.next();
        });
        router.post("/faults").handler(this::setFaults);
        router.post("/instances").handler(this::registerInstance);
        router.get("/counts").handler(this::getCounts);
        router.route().handler(routing -> {
            if (down) {
                routing.response().setStatusCode(STATUS_UNAVAILABLE).end();
            } else {
                routing.next();
            }
        });
        router.get("/instances").handler(this::listInstances);
        router.get("/watch").handler(this::watch);
        router.get("/objects").handler(this::list);
        router.get("/objects/:key").handler(this::read);
        router.put("/objects/:key").handler(this::write);
        router.delete("/objects/:key").handler(this::delete);
        return router;
    }

    private void listInstances(RoutingContext routing) {
        instanceListReads.incrementAndGet();
        Map<UpstreamId, Instance> currentInstances = visibleInstances;
        String etag = Integer.toHexString(currentInstances.hashCode());
        routing.response().putHeader("ETag", etag);
        if (etag.equals(routing.request().getHeader("If-None-Match"))) {
            routing.response().setStatusCode(STATUS_NOT_MODIFIED).end();
        } else {
            sendBody(routing, Json.write(List.copyOf(currentInstances.values())));
        }
    }

    private void read(RoutingContext routing) {
        respondWith(routing, store.read(routing.pathParam("key")), found -> {
            if (found.isEmpty()) {
                routing.response().setStatusCode(STATUS_NOT_FOUND).end();
                return;
            }
            routing.response().putHeader("ETag", Long.toString(found.get().version()));
            sendBody(routing, found.get().value());
        });
    }

    private void list(RoutingContext routing) {
        respondWith(routing, store.list(routing.request().getParam("prefix", "")), found -> {
            sendBody(
                    routing,
                    new JsonObject().put("objects", toJson(found)).toBuffer().getBytes());
        });
    }

    private void write(RoutingContext routing) {
        Buffer body = routing.body().buffer();
        byte[] value = body == null ? new byte[0] : body.getBytes();
        respondWith(routing, store.write(routing.pathParam("key"), expectedVersion(routing), value), version -> {
            if (consumeResponseLoss()) {
                routing.request().connection().close();
                return;
            }
            routing.response().putHeader("ETag", Long.toString(version)).end();
        });
    }

    private void delete(RoutingContext routing) {
        respondWith(
                routing,
                store.delete(routing.pathParam("key"), expectedVersion(routing)),
                done -> routing.response().end());
    }

    private void watch(RoutingContext routing) {
        String prefix = routing.request().getParam("prefix", "");
        long afterRevision = Long.parseLong(routing.request().getParam("after", "0"));
        long waitMillis = Long.parseLong(routing.request().getParam("waitMillis", "0"));
        respondWith(routing, store.watch(prefix, afterRevision, Duration.ofMillis(waitMillis)), batch -> {
            JsonObject body =
                    new JsonObject().put("revision", batch.revision()).put("objects", toJson(batch.changed()));
            sendBody(routing, body.toBuffer().getBytes());
        });
    }

    private void registerInstance(RoutingContext routing) {
        putInstance(Json.read(routing.body().buffer().getBytes(), Instance.class));
        routing.response().end();
    }

    private void getCounts(RoutingContext routing) {
        routing.json(new JsonObject()
                .put("reads", store.reads())
                .put("writes", store.writes())
                .put("waitingWatches", store.waitingWatches()));
    }

    /** Tells the era in each response from the first copy on. */
    private void addEra(RoutingContext routing) {
        if (store.era().isAfter(StoreEra.NONE)) {
            routing.response().putHeader("Store-Era", store.era().toString());
        }
    }

    /** Copies the objects of the store, or lets it come back from the last copy. */
    private void playDrill(JsonObject faults) {
        if (faults.getBoolean("copyStore", false)) {
            store.copy();
        }
        if (faults.getBoolean("restoreStore", false)) {
            store.restoreCopy();
        }
    }

    private void setFaults(RoutingContext routing) {
        JsonObject body = routing.body().asJsonObject();
        down = body.getBoolean("down", down);
        responsesToLose.set(body.getInteger("loseAnswers", responsesToLose.get()));
        listLag = Duration.ofMillis(body.getLong("listLagMillis", listLag.toMillis()));
        playDrill(body);
        routing.response().end();
    }

    private boolean consumeResponseLoss() {
        return responsesToLose.getAndUpdate(n -> Math.max(0, n - 1)) > 0;
    }

    private static long expectedVersion(RoutingContext routing) {
        return Long.parseLong(routing.request().getHeader("If-Match"));
    }

    private static JsonArray toJson(List<StoredObject> objects) {
        JsonArray array = new JsonArray();
        for (StoredObject object : objects) {
            array.add(new JsonObject()
                    .put("key", object.key())
                    .put("version", object.version())
                    .put("value", Base64.getEncoder().encodeToString(object.value())));
        }
        return array;
    }

    private static <T> void respondWith(RoutingContext routing, Uni<T> operation, Consumer<T> onSuccess) {
        operation.subscribe().with(onSuccess, failure -> {
            StoreException.Kind kind = failure instanceof StoreException e ? e.kind() : StoreException.Kind.UNAVAILABLE;
            int status = switch (kind) {
                case CONFLICT -> STATUS_PRECONDITION_FAILED;
                case HISTORY_GONE -> STATUS_GONE;
                default -> STATUS_UNAVAILABLE;
            };
            routing.response().setStatusCode(status).end();
        });
    }

    private static void sendBody(RoutingContext routing, byte[] body) {
        if (!routing.response().closed()) {
            routing.response().end(Buffer.buffer(body));
        }
    }
}
