package org.tarragonring.caller;

import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Stream;

import io.vertx.core.Context;
import io.vertx.core.Handler;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import io.vertx.ext.web.handler.BodyHandler;
import org.apache.commons.codec.digest.DigestUtils;
import org.tarragonring.claim.ClaimKey;
import org.tarragonring.config.Adapter;
import org.tarragonring.config.CallClass;
import org.tarragonring.config.ConfigSet;
import org.tarragonring.config.Model;
import org.tarragonring.config.PlainService;
import org.tarragonring.config.Team;
import org.tarragonring.errors.CallException;
import org.tarragonring.errors.RefusalReason;
import org.tarragonring.errors.Verdict;
import org.tarragonring.ids.ModelName;
import org.tarragonring.ids.TeamName;
import org.tarragonring.log.LogEvent;
import org.tarragonring.peer.Member;

/**
 * Takes callers' requests: models, chat completions, resolve, and plain services under their routes.
 *
 * @since 0.1.0
 */
public final class CallerHandler {

    private static final int MAX_RESOLVED = 4;
    private static final int TOO_LARGE_STATUS = 413;
    private static final String BEARER = "Bearer ";

    private final Vertx vertx;
    private final CallServices services;
    private final ConnectionGuard guard;

    /**
     * Creates a handler.
     *
     * @param vertx runs the handler, not null
     * @param services what calls work with, not null
     * @param guard bounds connections, not null
     */
    public CallerHandler(Vertx vertx, CallServices services, ConnectionGuard guard) {
        this.vertx = Objects.requireNonNull(vertx, "vertx");
        this.services = Objects.requireNonNull(services, "services");
        this.guard = Objects.requireNonNull(guard, "guard");
    }

    /**
     * Makes the router of callers' requests.
     *
     * @return a new router
     */
    public Router router() {
        Router router = Router.router(vertx);
        router.route()
                .handler(
                        BodyHandler.create(false).setBodyLimit(services.limits().maxBodyBytes()));
        router.get("/v1/models").handler(guarded(this::models));
        router.get("/v1/resolve").handler(guarded(this::resolve));
        router.post("/v1/chat/completions").handler(guarded(this::chat));
        router.route().handler(guarded(this::service));
        router.route().failureHandler(this::onFailure);
        return router;
    }

    private Handler<RoutingContext> guarded(Consumer<RoutingContext> handler) {
        return routing -> {
            try {
                handler.accept(routing);
            } catch (CallException e) {
                services.metrics().refused(e.reason());
                Refusals.send(routing.response(), e);
            }
        };
    }

    private void onFailure(RoutingContext routing) {
        CallException failure;
        if (routing.statusCode() == TOO_LARGE_STATUS) {
            failure = CallException.notRun(
                    RefusalReason.TOO_LARGE,
                    "the body is longer than %d bytes"
                            .formatted(services.limits().maxBodyBytes()));
        } else {
            LogEvent.UNEXPECTED.log("a caller's request", routing.failure());
            failure = CallException.of(
                    routing.failure() == null ? new IllegalStateException("unknown") : routing.failure());
        }
        services.metrics().refused(failure.reason());
        Refusals.send(routing.response(), failure);
    }

    private void models(RoutingContext routing) {
        ConfigSet set = config();
        Team team = team(routing.request(), set);
        JsonArray data = new JsonArray();
        Stream.concat(
                        set.models().stream()
                                .filter(m -> m.teams().contains(team.name()))
                                .map(Model::name),
                        set.adapters().stream()
                                .filter(a -> a.teams().contains(team.name()))
                                .map(Adapter::name))
                .sorted(Comparator.naturalOrder())
                .forEach(name ->
                        data.add(new JsonObject().put("id", name.value()).put("object", "model")));
        routing.response().putHeader("Content-Type", "application/json");
        routing.end(new JsonObject().put("object", "list").put("data", data).toBuffer());
    }

    private void resolve(RoutingContext routing) {
        ConfigSet set = config();
        Team team = team(routing.request(), set);
        String text = routing.request().getParam("model");
        if (text == null) {
            throw CallException.notRun(RefusalReason.BAD_REQUEST, "parameter \"model\" is missing");
        }
        Called called = called(set, team, name(text));
        JsonArray addresses = new JsonArray();
        addressesFor(called.model.name()).forEach(addresses::add);
        routing.response().putHeader("Content-Type", "application/json");
        routing.end(new JsonObject()
                .put("model", text)
                .put("addresses", addresses)
                .put("keep_ms", services.limits().resolveKeep().toMillis())
                .toBuffer());
    }

    private List<String> addressesFor(ModelName model) {
        return services.homes().apply(model).stream()
                .limit(MAX_RESOLVED)
                .map(Member::callerAddress)
                .map(Object::toString)
                .toList();
    }

    private void chat(RoutingContext routing) {
        ConfigSet set = config();
        Team team = team(routing.request(), set);
        Buffer body = body(routing);
        ChatRequest chat = ChatRequest.parse(body);
        Called called = called(set, team, chat.model());
        CallDetails details = CallDetails.read(
                services.callIds().get(), team, called.model.callClass(), routing.request(), body, services.clock());
        admit(set, details, called.model.name(), routing);
        Context context = vertx.getOrCreateContext();
        new ModelCall(services, details, called.model, called.adapter, chat, routing.response(), context).start();
    }

    private void service(RoutingContext routing) {
        ConfigSet set = config();
        Team team = team(routing.request(), set);
        PlainService service = set.serviceFor(routing.request().path())
                .filter(s -> s.teams().contains(team.name()))
                .orElseThrow(() -> CallException.notRun(
                        RefusalReason.NOT_FOUND,
                        "route \"%s\" does not exist"
                                .formatted(routing.request().path())));
        boolean reads = routing.request().method() == HttpMethod.GET;
        CallClass callClass = reads ? repeatable(service.callClass()) : service.callClass();
        CallDetails details = CallDetails.read(
                services.callIds().get(), team, callClass, routing.request(), body(routing), services.clock());
        Optional<ClaimKey> key = key(routing.request(), team);
        admit(set, details, null, routing);
        new ServiceCall(services, details, service, key, routing.request(), vertx.getOrCreateContext()).start();
    }

    /** Lets a call in, or refuses it; an accepted call gives its place back when it ends. */
    private void admit(ConfigSet set, CallDetails details, ModelName model, RoutingContext routing) {
        if (services.leaving().getAsBoolean()) {
            if (model != null) {
                addressesFor(model).stream()
                        .findFirst()
                        .ifPresent(a -> routing.response().putHeader(CallerHeaders.MOVE_TO, a));
            }
            routing.response().putHeader("Connection", "close");
            throw CallException.notRun(RefusalReason.SHUTTING_DOWN, "the entry is leaving, ask another one");
        }
        if (services.quarantine().isQuarantined(details.fingerprint())) {
            throw CallException.notRun(RefusalReason.QUARANTINED, "the request broke several upstreams");
        }
        int grantedToAll = set.teams().stream().mapToInt(Team::callShare).sum();
        if (!services.shares().tryAcquire(details.team().name(), details.team().callShare(), grantedToAll)) {
            throw new CallException(
                    RefusalReason.TEAM_LIMIT,
                    Verdict.NOT_RUN,
                    Duration.ofSeconds(1),
                    "team \"%s\" uses its whole share".formatted(details.team().name()));
        }
    }

    private static Optional<ClaimKey> key(HttpServerRequest request, Team team) {
        String text = request.getHeader(CallerHeaders.IDEMPOTENCY_KEY);
        if (text == null) {
            return Optional.empty();
        }
        try {
            return Optional.of(new ClaimKey(team.name(), text));
        } catch (IllegalArgumentException e) {
            throw CallException.notRun(RefusalReason.BAD_REQUEST, e.getMessage());
        }
    }

    private static CallClass repeatable(CallClass callClass) {
        return new CallClass(callClass.name(), callClass.deadline(), callClass.priority(), true, callClass.weight());
    }

    private ConfigSet config() {
        return services.config()
                .current()
                .filter(snapshot -> services.ready().getAsBoolean())
                .map(snapshot -> snapshot.set())
                .orElseThrow(() -> CallException.notRun(
                        RefusalReason.SHUTTING_DOWN, "the entry has no configuration yet, ask another one"));
    }

    private static Team team(HttpServerRequest request, ConfigSet set) {
        String header = request.getHeader("Authorization");
        if (header == null || !header.startsWith(BEARER)) {
            throw CallException.notRun(RefusalReason.UNKNOWN_KEY, "header Authorization has no bearer key");
        }
        return set.teamByKey(DigestUtils.sha256Hex(header.substring(BEARER.length())))
                .orElseThrow(() -> CallException.notRun(RefusalReason.UNKNOWN_KEY, "the key is unknown"));
    }

    private static ModelName name(String text) {
        try {
            return new ModelName(text);
        } catch (IllegalArgumentException e) {
            throw CallException.notRun(RefusalReason.BAD_REQUEST, e.getMessage());
        }
    }

    private static Called called(ConfigSet set, Team team, ModelName name) {
        Optional<Adapter> adapter = set.adapter(name).filter(a -> mayCall(a.teams(), team));
        Optional<Model> model = adapter.isPresent()
                ? set.model(adapter.get().model())
                : set.model(name).filter(m -> mayCall(m.teams(), team));
        return model.map(m -> new Called(m, adapter))
                .orElseThrow(() ->
                        CallException.notRun(RefusalReason.NOT_FOUND, "model \"%s\" does not exist".formatted(name)));
    }

    private static boolean mayCall(Set<TeamName> teams, Team team) {
        return teams.contains(team.name());
    }

    private static Buffer body(RoutingContext routing) {
        Buffer body = routing.body() == null ? null : routing.body().buffer();
        return body == null ? Buffer.buffer() : body;
    }

    private record Called(Model model, Optional<Adapter> adapter) {}
}
