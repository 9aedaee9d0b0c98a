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
import org.tarragonring.objects.StoreException;
import org.tarragonring.objects.StoredObject;
import org.tarragonring.time.Timers;
import org.tarragonring.time.VertxTimers;

/**
 * Serves the Object API and the instance list over HTTP, with outages, lost answers and a lagging list on demand.
 *
 * @since 0.1.0
 */
public final class PlatformServer {

    private static final int UNAVAILABLE = 503;
    private static final int CONFLICT = 412;
    private static final int NOT_MODIFIED = 304;
    private static final int NOT_FOUND = 404;

    private final Vertx vertx;
    private final Timers timers;
    private final MemoryObjectStore store;
    private final Map<UpstreamId, Instance> instances = new ConcurrentSkipListMap<>();
    private final AtomicInteger answersToLose = new AtomicInteger();
    private final AtomicLong instanceReads = new AtomicLong();
    private volatile Map<UpstreamId, Instance> listed = Map.of();
    private volatile boolean down;
    private volatile Duration listLag = Duration.ZERO;
    private HttpServer server;

    /**
     * Creates a server that does not listen yet.
     *
     * @param vertx runs the server, not null
     */
    public PlatformServer(Vertx vertx) {
        this.vertx = Objects.requireNonNull(vertx, "vertx");
        this.timers = new VertxTimers(vertx);
        this.store = new MemoryObjectStore(timers);
    }

    /**
     * Starts listening.
     *
     * @param address where, not null; port 0 takes any
     * @return completes with the address in use
     */
    public Future<HostPort> start(HostPort address) {
        return vertx.createHttpServer()
                .requestHandler(router())
                .listen(address.port(), address.host())
                .map(listening -> {
                    server = listening;
                    return new HostPort(address.host(), listening.actualPort());
                });
    }

    /**
     * Stops listening.
     *
     * @return completes when the port is closed
     */
    public Future<Void> stop() {
        return server == null ? Future.succeededFuture() : server.close();
    }

    /**
     * Returns the objects.
     *
     * @return the store, never null
     */
    public MemoryObjectStore store() {
        return store;
    }

    /**
     * Returns how often the instance list was read, unchanged answers included.
     *
     * @return a count
     */
    public long instanceReads() {
        return instanceReads.get();
    }

    /**
     * Turns an outage on or off.
     *
     * @param isDown whether every request is refused
     */
    public void setDown(boolean isDown) {
        down = isDown;
    }

    /**
     * Loses the answers of the next writes after they took effect.
     *
     * @param count how many
     */
    public void loseAnswers(int count) {
        answersToLose.set(count);
    }

    /**
     * Lets the instance list lag.
     *
     * @param lag how long a change takes to show, not null
     */
    public void setListLag(Duration lag) {
        listLag = lag;
    }

    /**
     * Adds or changes an instance.
     *
     * @param instance the instance, not null
     */
    public void put(Instance instance) {
        instances.put(instance.id(), instance);
        publishList();
    }

    /**
     * Removes an instance.
     *
     * @param id its id, not null
     */
    public void remove(UpstreamId id) {
        instances.remove(id);
        publishList();
    }

    private void publishList() {
        Map<UpstreamId, Instance> snapshot = new TreeMap<>(instances);
        if (listLag.isZero()) {
            listed = snapshot;
        } else {
            timers.schedule(listLag, () -> listed = snapshot);
        }
    }

    private Router router() {
        Router router = Router.router(vertx);
        router.route().handler(BodyHandler.create(false));
        router.post("/faults").handler(this::setFaults);
        router.post("/instances").handler(this::register);
        router.get("/counts").handler(this::counts);
        router.route().handler(routing -> {
            if (down) {
                routing.response().setStatusCode(UNAVAILABLE).end();
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
        instanceReads.incrementAndGet();
        Map<UpstreamId, Instance> shown = listed;
        String tag = Integer.toHexString(shown.hashCode());
        routing.response().putHeader("ETag", tag);
        if (tag.equals(routing.request().getHeader("If-None-Match"))) {
            routing.response().setStatusCode(NOT_MODIFIED).end();
        } else {
            respond(routing, Json.write(List.copyOf(shown.values())));
        }
    }

    private void read(RoutingContext routing) {
        run(routing, store.read(routing.pathParam("key")), found -> {
            if (found.isEmpty()) {
                routing.response().setStatusCode(NOT_FOUND).end();
                return;
            }
            routing.response().putHeader("ETag", Long.toString(found.get().version()));
            respond(routing, found.get().value());
        });
    }

    private void list(RoutingContext routing) {
        run(routing, store.list(routing.request().getParam("prefix", "")), found -> {
            respond(
                    routing,
                    new JsonObject().put("objects", objects(found)).toBuffer().getBytes());
        });
    }

    private void write(RoutingContext routing) {
        Buffer body = routing.body().buffer();
        byte[] value = body == null ? new byte[0] : body.getBytes();
        run(routing, store.write(routing.pathParam("key"), expected(routing), value), version -> {
            if (isAnswerLost()) {
                routing.request().connection().close();
                return;
            }
            routing.response().putHeader("ETag", Long.toString(version)).end();
        });
    }

    private void delete(RoutingContext routing) {
        run(
                routing,
                store.delete(routing.pathParam("key"), expected(routing)),
                done -> routing.response().end());
    }

    private void watch(RoutingContext routing) {
        String prefix = routing.request().getParam("prefix", "");
        long after = Long.parseLong(routing.request().getParam("after", "0"));
        long waitMillis = Long.parseLong(routing.request().getParam("waitMillis", "0"));
        run(routing, store.watch(prefix, after, Duration.ofMillis(waitMillis)), batch -> {
            JsonObject body =
                    new JsonObject().put("revision", batch.revision()).put("objects", objects(batch.changed()));
            respond(routing, body.toBuffer().getBytes());
        });
    }

    private void register(RoutingContext routing) {
        put(Json.read(routing.body().buffer().getBytes(), Instance.class));
        routing.response().end();
    }

    private void counts(RoutingContext routing) {
        routing.json(new JsonObject()
                .put("reads", store.reads())
                .put("writes", store.writes())
                .put("waitingWatches", store.waitingWatches()));
    }

    private void setFaults(RoutingContext routing) {
        JsonObject body = routing.body().asJsonObject();
        down = body.getBoolean("down", down);
        answersToLose.set(body.getInteger("loseAnswers", answersToLose.get()));
        listLag = Duration.ofMillis(body.getLong("listLagMillis", listLag.toMillis()));
        routing.response().end();
    }

    private boolean isAnswerLost() {
        return answersToLose.getAndUpdate(n -> Math.max(0, n - 1)) > 0;
    }

    private static long expected(RoutingContext routing) {
        return Long.parseLong(routing.request().getHeader("If-Match"));
    }

    private static JsonArray objects(List<StoredObject> found) {
        JsonArray array = new JsonArray();
        for (StoredObject object : found) {
            array.add(new JsonObject()
                    .put("key", object.key())
                    .put("version", object.version())
                    .put("value", Base64.getEncoder().encodeToString(object.value())));
        }
        return array;
    }

    private static <T> void run(RoutingContext routing, Uni<T> operation, Consumer<T> success) {
        operation.subscribe().with(success, failure -> {
            boolean conflict = failure instanceof StoreException e && e.kind() == StoreException.Kind.CONFLICT;
            routing.response().setStatusCode(conflict ? CONFLICT : UNAVAILABLE).end();
        });
    }

    private static void respond(RoutingContext routing, byte[] body) {
        if (!routing.response().closed()) {
            routing.response().end(Buffer.buffer(body));
        }
    }
}
