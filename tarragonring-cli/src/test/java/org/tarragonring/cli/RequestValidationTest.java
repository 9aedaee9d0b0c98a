package org.tarragonring.cli;

import java.util.Map;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.client.HttpResponse;
import io.vertx.ext.web.client.WebClient;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.StringLength;
import net.jqwik.api.lifecycle.AfterContainer;
import net.jqwik.api.lifecycle.BeforeContainer;
import org.tarragonring.entry.SettingKey;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** An invalid request must get an error response and must not stop the entry from serving other requests. */
class RequestValidationTest {

    private static TestSite site;
    private static WebClient web;

    @BeforeContainer
    static void start() throws Exception {
        site = new TestSite(1, 1, Map.of(SettingKey.MAX_BODY_BYTES, "4KiB"));
        web = WebClient.create(site.vertx);
    }

    @AfterContainer
    static void stop() throws Exception {
        site.close();
    }

    @Property(tries = 150, seed = "77", shrinking = ShrinkingMode.OFF)
    void arbitraryBodyIsRejectedAsBadRequest(@ForAll @StringLength(max = 300) String body) throws Exception {
        HttpResponse<Buffer> response = post("/v1/chat/completions", TestSite.TEAM_KEY, body);
        assertEquals(400, response.statusCode());
        assertEquals("bad_request", error(response).getString("code"));
        assertEquals("not-run", response.getHeader("X-Verdict"));
    }

    @Property(tries = 60, seed = "78", shrinking = ShrinkingMode.OFF)
    void arbitraryTeamKeyIsRejected(@ForAll @StringLength(max = 40) String key) throws Exception {
        String printable = key.replaceAll("[^!-~]", "x");
        HttpResponse<Buffer> response = post("/v1/chat/completions", printable, "{}");
        assertEquals(401, response.statusCode());
    }

    @Property(tries = 1)
    void oversizedBodyIsRejected() throws Exception {
        HttpResponse<Buffer> response = post("/v1/chat/completions", TestSite.TEAM_KEY, "x".repeat(5000));
        assertEquals(413, response.statusCode());
        assertEquals("too_large", error(response).getString("code"));
    }

    @Property(tries = 1)
    void modelOfAnotherTeamIsNotFound() throws Exception {
        String body = "{\"model\":\"quick-clutch\",\"messages\":[{\"role\":\"user\",\"content\":\"x\"}]}";
        HttpResponse<Buffer> response = post("/v1/chat/completions", "owners-key", body);
        assertEquals(404, response.statusCode());
        assertTrue(error(response).getString("message").contains("quick-clutch"));
    }

    @Property(tries = 1)
    void onlyModelsOfTheTeamAreListed() throws Exception {
        HttpResponse<Buffer> response =
                TestSite.join(web.get(site.entry(0).port(), site.entry(0).host(), "/v1/models")
                        .bearerTokenAuthentication("owners-key")
                        .send());
        String body = response.bodyAsString();
        assertTrue(body.contains("quote-tote"));
        assertFalse(body.contains("quick-clutch"));
    }

    private static HttpResponse<Buffer> post(String path, String key, String body) throws Exception {
        return TestSite.join(web.post(site.entry(0).port(), site.entry(0).host(), path)
                .putHeader("Authorization", "Bearer " + key)
                .sendBuffer(Buffer.buffer(body)));
    }

    private static JsonObject error(HttpResponse<Buffer> response) {
        return response.bodyAsJsonObject().getJsonObject("error");
    }
}
