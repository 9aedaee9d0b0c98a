import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Builds the configuration of a small deployment: one service of engines and one plain service. */
final class Sites {

    static final String HOST = "h.example";

    private Sites() {}

    static Map<String, Object> config(long version) {
        List<Object> routes = new ArrayList<>();
        routes.add(route("draft", "/draft/", "streaming", "lm", 6_000, 1, false));
        routes.add(route("summary", "/summary/", "streaming", "lm", 13_000, 2, true));
        routes.add(route("book", "/book/", "unsafe", "app", 2_500, 1, false));
        routes.add(route("look", "/look/", "safe", "app", 2_500, 2, false));
        Map<String, Object> config = new LinkedHashMap<>();
        config.put("version", version);
        config.put("routes", routes);
        config.put("services", List.of(
                Map.of("name", "lm", "health_path", "/healthz", "max_connections", 370, "engine", engine()),
                Map.of("name", "app", "health_path", "/healthz", "max_connections", 110),
                Map.of("name", "application-of-next-release", "health_path", "/healthz", "max_connections", 110)));
        config.put("limits", Map.of(
                "max_header_bytes", 16_384, "max_body_bytes", 4_194_304,
                "header_timeout_ms", 5_000, "idle_timeout_ms", 10_000));
        return config;
    }

    static Map<String, Object> route(
            String name, String prefix, String type, String service, long timeoutMillis, int attempts, boolean resumable) {
        Map<String, Object> route = new LinkedHashMap<>();
        route.put("name", name);
        route.put("hostname", HOST);
        route.put("path_prefix", prefix);
        route.put("route_type", type);
        route.put("timeout_ms", timeoutMillis);
        route.put("target_latency_ms", 800);
        route.put("priority", 1);
        route.put("service", service);
        route.put("max_attempts", attempts);
        route.put("sticky", type.equals("streaming"));
        route.put("resumable", resumable);
        route.put("gap_aim_ms", 400);
        return route;
    }

    /** Returns routes as an operator adds them for many customers, split between two services. */
    static List<Object> customerRoutes(int count) {
        List<Object> routes = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            Map<String, Object> route = route(
                    "customer-%04d-boutique-brisbane-and-gold-coast-current-repair-status-lookup-v2".formatted(i),
                    "/customers/%04d/boutiques/brisbane-and-gold-coast/repairs/current/status/lookup/".formatted(i),
                    "safe",
                    "app",
                    2_500,
                    2,
                    false);
            route.remove("service");
            route.put("hostname", customerHost(i));
            route.put("traffic_split", List.of(
                    Map.of("service", "app", "weight", 90), Map.of("service", "application-of-next-release", "weight", 10)));
            routes.add(route);
        }
        return routes;
    }

    static String customerHost(int customer) {
        return "customer-%04d.boutiques-and-repair-partners.repair-routing.strapwise-queensland.example".formatted(customer);
    }

    private static Map<String, Object> engine() {
        List<Object> models = new ArrayList<>();
        for (String name : List.of("m0", "m1", "m2", "m3")) {
            models.add(Map.of(
                    "name", name, "weights_mb", 60_000.0, "load_s", 6.0, "adapters", 4, "adapter_mb", 40.0,
                    "warm_s", 0.4, "disk_s", 0.5));
        }
        return Map.of(
                "slots", 64, "weights_mb", 140_000.0, "max_adapters", 8, "loads_per_s", 2.1, "models", models);
    }
}
