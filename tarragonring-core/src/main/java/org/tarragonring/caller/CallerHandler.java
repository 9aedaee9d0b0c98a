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
import org.tarragonring.routing.Quarantine;

/**
 * Handles callers' HTTP requests: the list of models, chat completions, the lookup of entries that serve a model, and
 * the routes of plain services.
 *
 * @since 0.1.0
 */
public final class CallerHandler {

    private static final int MAX_RESOLVED_ADDRESSES = 4;
    private static final int STATUS_PAYLOAD_TOO_LARGE = 413;
    private static final String BEARER_PREFIX = "Bearer ";

    private final Vertx vertx;
    private final CallDependencies dependencies;
    private final ConnectionLimiter connectionLimiter;

    /**
     * Creates a handler of callers' requests.
     *
     * @param vertx the Vert.x instance that runs the handler, not null
     * @param dependencies the components that process calls, not null
     * @param connectionLimiter the limiter of callers' connections, not null
     */
    public CallerHandler(Vertx vertx, CallDependencies dependencies, ConnectionLimiter connectionLimiter) {
        this.vertx = Objects.requireNonNull(vertx, "vertx");
        this.dependencies = Objects.requireNonNull(dependencies, "dependencies");
        this.connectionLimiter = Objects.requireNonNull(connectionLimiter, "connectionLimiter");
    }

    /**
     * Creates the router of callers' requests.
     *
     * @return a new router, never null
     */
    public Router router() {
        Router router = Router.router(vertx);
        router.route().handler(connectionLimiter::onRequest);
        router.route()
                .handler(BodyHandler.create(false)
                        .setBodyLimit(dependencies.limits().maxBodyBytes()));
        router.get("/v1/models").handler(withErrorResponse(this::listModels));
        router.get("/v1/resolve").handler(withErrorResponse(this::resolveEntries));
        router.post("/v1/chat/completions").handler(withErrorResponse(this::handleChat));
        router.route().handler(withErrorResponse(this::handleService));
        router.route().failureHandler(this::onFailure);
        return router;
    }

    private Handler<RoutingContext> withErrorResponse(Consumer<RoutingContext> handler) {
        return routing -> {
            try {
                handler.accept(routing);
            } catch (CallException e) {
                dependencies.metrics().recordRefused(e.reason());
                ErrorResponses.send(routing.response(), e);
            }
        };
    }

    private void onFailure(RoutingContext routing) {
        CallException failure;
        if (routing.statusCode() == STATUS_PAYLOAD_TOO_LARGE) {
            failure = CallException.notRun(
                    RefusalReason.TOO_LARGE,
                    "request body exceeds the limit of %d bytes"
                            .formatted(dependencies.limits().maxBodyBytes()));
        } else {
            LogEvent.UNEXPECTED_FAILURE.log("the handling of a caller's request", routing.failure());
            failure = CallException.of(
                    routing.failure() == null ? new IllegalStateException("unknown cause") : routing.failure());
        }
        dependencies.metrics().recordRefused(failure.reason());
        ErrorResponses.send(routing.response(), failure);
    }

    private void listModels(RoutingContext routing) {
        ConfigSet configSet = config();
        Team team = authenticate(routing.request(), configSet);
        JsonArray data = new JsonArray();
        Stream.concat(
                        configSet.models().stream()
                                .filter(m -> m.teams().contains(team.name()))
                                .map(Model::name),
                        configSet.adapters().stream()
                                .filter(a -> a.teams().contains(team.name()))
                                .map(Adapter::name))
                .sorted(Comparator.naturalOrder())
                .forEach(name ->
                        data.add(new JsonObject().put("id", name.value()).put("object", "model")));
        routing.response().putHeader("Content-Type", "application/json");
        routing.end(new JsonObject().put("object", "list").put("data", data).toBuffer());
    }

    private void resolveEntries(RoutingContext routing) {
        ConfigSet configSet = config();
        Team team = authenticate(routing.request(), configSet);
        String requestedName = routing.request().getParam("model");
        if (requestedName == null) {
            throw CallException.notRun(RefusalReason.BAD_REQUEST, "query parameter \"model\" is missing");
        }
        CalledModel calledModel = findModel(configSet, team, modelName(requestedName));
        JsonArray addresses = new JsonArray();
        addressesFor(calledModel.model.name()).forEach(addresses::add);
        routing.response().putHeader("Content-Type", "application/json");
        routing.end(new JsonObject()
                .put("model", requestedName)
                .put("addresses", addresses)
                .put("keep_ms", dependencies.limits().resolveCacheTtl().toMillis())
                .toBuffer());
    }

    private List<String> addressesFor(ModelName model) {
        return dependencies.homeEntries().apply(model).stream()
                .limit(MAX_RESOLVED_ADDRESSES)
                .map(Member::callerAddress)
                .map(Object::toString)
                .toList();
    }

    private void handleChat(RoutingContext routing) {
        ConfigSet configSet = config();
        Team team = authenticate(routing.request(), configSet);
        Buffer body = body(routing);
        ChatRequest chatRequest = ChatRequest.parse(body);
        CalledModel calledModel = findModel(configSet, team, chatRequest.model());
        CallDetails details = CallDetails.read(
                        dependencies.callIds().get(),
                        team,
                        calledModel.model.callClass(),
                        routing.request(),
                        body,
                        dependencies.clock())
                .withPromptParts(chatRequest.sharedParts());
        admit(configSet, details, calledModel.model.name(), routing);
        Context context = vertx.getOrCreateContext();
        new ModelCall(
                        dependencies,
                        details,
                        calledModel.model,
                        calledModel.adapter,
                        chatRequest,
                        routing.response(),
                        context)
                .start();
    }

    private void handleService(RoutingContext routing) {
        ConfigSet configSet = config();
        Team team = authenticate(routing.request(), configSet);
        PlainService service = configSet
                .serviceForPath(routing.request().path())
                .filter(s -> s.teams().contains(team.name()))
                .orElseThrow(() -> CallException.notRun(
                        RefusalReason.NOT_FOUND,
                        "route \"%s\" does not exist or the team has no access to it"
                                .formatted(routing.request().path())));
        boolean isGet = routing.request().method() == HttpMethod.GET;
        CallClass callClass = isGet ? asRetryable(service.callClass()) : service.callClass();
        CallDetails details = CallDetails.read(
                dependencies.callIds().get(), team, callClass, routing.request(), body(routing), dependencies.clock());
        Optional<ClaimKey> claimKey = claimKey(routing.request(), team);
        admit(configSet, details, null, routing);
        new ServiceCall(dependencies, details, service, claimKey, routing.request(), vertx.getOrCreateContext())
                .start();
    }

    /**
     * Acquires capacity from the team's share, which is released when the call ends.
     *
     * @param model the called model, or null for a call of a plain service
     * @throws CallException if the call is not admitted
     */
    private void admit(ConfigSet configSet, CallDetails details, ModelName model, RoutingContext routing) {
        if (dependencies.shuttingDown().getAsBoolean()) {
            if (model != null) {
                addressesFor(model).stream()
                        .findFirst()
                        .ifPresent(address -> routing.response().putHeader(CallerHeaders.MOVE_TO, address));
            }
            routing.response().putHeader("Connection", "close");
            throw CallException.notRun(RefusalReason.SHUTTING_DOWN, "entry is shutting down, retry on another entry");
        }
        Optional<Quarantine.Refusal> refusal = dependencies.failureReports().refusal(details::suspects);
        if (refusal.isPresent()) {
            throw new CallException(
                    RefusalReason.QUARANTINED,
                    Verdict.NOT_RUN,
                    refusal.get().remaining(),
                    refusal.get().suspect().isPromptPart()
                            ? "a part of the prompt is quarantined because several replicas failed while running it"
                            : "request is quarantined because several replicas failed while running it");
        }
        int totalGrantedCalls =
                configSet.teams().stream().mapToInt(Team::maxCallsInFlight).sum();
        if (!dependencies
                .teamShares()
                .tryAcquire(details.team().name(), details.team().maxCallsInFlight(), totalGrantedCalls)) {
            throw new CallException(
                    RefusalReason.TEAM_LIMIT,
                    Verdict.NOT_RUN,
                    Duration.ofSeconds(1),
                    "team \"%s\" has used up its share of concurrent calls"
                            .formatted(details.team().name()));
        }
    }

    private static Optional<ClaimKey> claimKey(HttpServerRequest request, Team team) {
        String idempotencyKey = request.getHeader(CallerHeaders.IDEMPOTENCY_KEY);
        if (idempotencyKey == null) {
            return Optional.empty();
        }
        try {
            return Optional.of(new ClaimKey(team.name(), idempotencyKey));
        } catch (IllegalArgumentException e) {
            throw CallException.notRun(RefusalReason.BAD_REQUEST, e.getMessage());
        }
    }

    private static CallClass asRetryable(CallClass callClass) {
        return new CallClass(callClass.name(), callClass.deadline(), callClass.priority(), true, callClass.weight());
    }

    private ConfigSet config() {
        return dependencies
                .config()
                .current()
                .filter(snapshot -> dependencies.ready().getAsBoolean())
                .map(snapshot -> snapshot.configSet())
                .orElseThrow(() -> CallException.notRun(
                        RefusalReason.SHUTTING_DOWN, "entry has no valid configuration, retry on another entry"));
    }

    private static Team authenticate(HttpServerRequest request, ConfigSet configSet) {
        String header = request.getHeader("Authorization");
        if (header == null || !header.startsWith(BEARER_PREFIX)) {
            throw CallException.notRun(
                    RefusalReason.UNKNOWN_KEY, "Authorization header is missing or has no bearer key");
        }
        return configSet
                .teamByKeySha256(DigestUtils.sha256Hex(header.substring(BEARER_PREFIX.length())))
                .orElseThrow(() -> CallException.notRun(RefusalReason.UNKNOWN_KEY, "bearer key is unknown"));
    }

    private static ModelName modelName(String text) {
        try {
            return new ModelName(text);
        } catch (IllegalArgumentException e) {
            throw CallException.notRun(RefusalReason.BAD_REQUEST, e.getMessage());
        }
    }

    private static CalledModel findModel(ConfigSet configSet, Team team, ModelName name) {
        Optional<Adapter> adapter = configSet.adapter(name).filter(a -> mayCall(a.teams(), team));
        Optional<Model> model = adapter.isPresent()
                ? configSet.model(adapter.get().model())
                : configSet.model(name).filter(m -> mayCall(m.teams(), team));
        return model.map(m -> new CalledModel(m, adapter))
                .orElseThrow(() -> CallException.notRun(
                        RefusalReason.NOT_FOUND,
                        "model \"%s\" does not exist or the team has no access to it".formatted(name)));
    }

    private static boolean mayCall(Set<TeamName> teams, Team team) {
        return teams.contains(team.name());
    }

    private static Buffer body(RoutingContext routing) {
        Buffer body = routing.body() == null ? null : routing.body().buffer();
        return body == null ? Buffer.buffer() : body;
    }

    private record CalledModel(Model model, Optional<Adapter> adapter) {}
}
