package org.eiderstair.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Example;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.http.HttpMethod;
import org.eiderstair.config.InvalidConfigException;
import org.eiderstair.config.OperatorFile;
import org.eiderstair.config.PlatformFile;
import org.eiderstair.protocol.MessagePackCodec;
import org.eiderstair.protocol.MessageSpelling;
import org.eiderstair.protocol.SampleMessages;

/** Runs a whole controller over real sockets, with in-process fakes of all other services. */
class NodeTest {
  private static final int MAX_TRIES = 600;
  static final String SETTINGS =
      """
      node = "n0"
      unknown_field = 1
      bind = "127.0.0.1:0"
      peer_bind = "127.0.0.1:0"
      [endpoints]
      cloud = "127.0.0.1:%1$d"
      state = "127.0.0.1:%1$d"
      [settings]
      zones = ["z"]
      [[settings.teams]]
      name = "red"
      cpus_max = 8.0
      [settings.workers]
      report_s = 1.0
      lease_s = 20.0
      cancel_s = 40.0
      [settings.state]
      rps = 500.0
      write_rps = 200.0
      value_kb = 32.0
      txn_ops = 16
      [settings.cloud]
      rps = 50.0
      list_lag_s = 1.0
      """;

  static Path file(String text) throws Exception {
    Path file = Files.createTempFile("eiderstair", ".conf");
    file.toFile().deleteOnExit();
    return Files.writeString(file, text);
  }

  /** Starts a controller that uses the platform. */
  static Node start(FakePlatform platform) throws Exception {
    return new Node(
        PlatformFile.read(file(String.format(SETTINGS, platform.port())), OperatorFile.DEFAULTS));
  }

  static Map<String, Object> job(String id) {
    return SampleMessages.submission(id, 1, 1.0);
  }

  static ContentResponse send(HttpClient http, HttpMethod method, String url, byte[] body)
      throws Exception {
    var request = http.newRequest(url).method(method).timeout(20, TimeUnit.SECONDS);
    return (body == null ? request : request.body(new BytesRequestContent(body))).send();
  }

  @Example
  void jobCompletesAndInvalidRequestsAreRefused() throws Exception {
    HttpClient http = new HttpClient();
    http.start();
    try (FakePlatform platform = new FakePlatform(1, 0);
        Node node = start(platform)) {
      String base = "http://127.0.0.1:" + node.port();
      int status = 0;
      for (int i = 0; i < MAX_TRIES && status != 201; i++) {
        status =
            send(http, HttpMethod.POST, base + "/work", MessagePackCodec.write(job("job-000001")))
                .getStatus();
        Thread.sleep(20);
      }
      assertEquals(201, status);
      assertEquals(200, send(http, HttpMethod.GET, base + "/ready", null).getStatus());
      checkInvalidRequests(http, base);

      Object state = null;
      for (int i = 0; i < MAX_TRIES && !"done".equals(state); i++) {
        for (FakeMachine machine : platform.machines()) {
          ContentResponse answer =
              send(
                  http,
                  HttpMethod.POST,
                  base + "/agent/beat",
                  MessageSpelling.encode(machine.heartbeat(), i));
          assertEquals(200, answer.getStatus());
          machine.execute(MessagePackCodec.readMap(answer.getContent()));
        }
        state =
            MessagePackCodec.readMap(
                    send(http, HttpMethod.GET, base + "/work/job-000001", null).getContent())
                .get("Tide");
        Thread.sleep(20);
      }
      assertEquals("done", state);
      // A known job's submission is answered before its other fields are validated.
      Map<String, Object> invalidJob = job("job-000001");
      invalidJob.put("Pieces", -1L);
      assertEquals(
          200,
          send(http, HttpMethod.POST, base + "/work", MessagePackCodec.write(invalidJob))
              .getStatus());
    } finally {
      http.stop();
    }
  }

  private static void checkInvalidRequests(HttpClient http, String base) throws Exception {
    Map<String, Object> unknownTeam = job("job-000002");
    unknownTeam.put("Crew", "green");
    Map<String, Object> tooManyCores = job("job-000003");
    tooManyCores.put("Cores", 5.0);
    Map<String, Object> unknownShape = job("job-000004");
    unknownShape.put("Shape", "group");
    assertEquals(
        400,
        send(
                http,
                HttpMethod.POST,
                base + "/work",
                "not MessagePack".getBytes(StandardCharsets.UTF_8))
            .getStatus());
    assertEquals(400, send(http, HttpMethod.POST, base + "/work", new byte[200_000]).getStatus());
    assertEquals(
        400,
        send(http, HttpMethod.POST, base + "/work", MessagePackCodec.write(unknownShape))
            .getStatus());
    assertEquals(
        422,
        send(http, HttpMethod.POST, base + "/work", MessagePackCodec.write(unknownTeam))
            .getStatus());
    assertEquals(
        422,
        send(http, HttpMethod.POST, base + "/work", MessagePackCodec.write(tooManyCores))
            .getStatus());
    assertEquals(404, send(http, HttpMethod.GET, base + "/work/job-999999", null).getStatus());
    assertEquals(
        404, send(http, HttpMethod.POST, base + "/work/job-999999/cancel", null).getStatus());
    assertEquals(404, send(http, HttpMethod.GET, base + "/nowhere", null).getStatus());
    assertEquals(405, send(http, HttpMethod.GET, base + "/work", null).getStatus());
    assertEquals(
        400,
        send(
                http,
                HttpMethod.POST,
                base + "/agent/beat",
                MessagePackCodec.write(Map.of("Skerry", 1L)))
            .getStatus());
  }

  @Example
  void invalidSettingIsNamedInTheError() throws Exception {
    String good = String.format(SETTINGS, 1);
    Map<String, String> invalidReplacements =
        Map.of(
            "lease_s = 20.0",
            "lease_s = -1.0",
            "bind = \"127.0.0.1:0\"\npeer",
            "bind = \"nowhere\"\npeer",
            "txn_ops = 16",
            "txn_ops = \"many\"",
            "cancel_s = 40.0",
            "cancel_s = 10.0");
    Map<String, String> expectedFields =
        Map.of(
            "lease_s = 20.0",
            "settings.workers.lease_s",
            "txn_ops = 16",
            "settings.state.txn_ops",
            "bind = \"127.0.0.1:0\"\npeer",
            "bind",
            "cancel_s = 40.0",
            "settings.workers.cancel_s");
    for (Map.Entry<String, String> change : invalidReplacements.entrySet()) {
      String text = good.replace(change.getKey(), change.getValue());
      InvalidConfigException invalid =
          assertThrows(
              InvalidConfigException.class,
              () -> PlatformFile.read(file(text), OperatorFile.DEFAULTS));
      assertTrue(
          invalid.getMessage().startsWith(expectedFields.get(change.getKey()) + ":"),
          invalid.getMessage());
      assertTrue(!invalid.getMessage().contains("\n"), "one line");
    }
    assertTrue(
        assertThrows(
                InvalidConfigException.class,
                () -> PlatformFile.read(file("node = ["), OperatorFile.DEFAULTS))
            .getMessage()
            .contains("invalid TOML"));
  }

  /**
   * Cancelled tasks must end through the expiry of leases alone, whichever processes cannot be
   * reached. The bound is the worker lease of 20 s, the leader lease of 4.5 s, 3 s for tasks to
   * end, and the drift of clocks.
   */
  @Example
  void settingsThatLetCancelledTasksOutliveCancelTimeAreRefused() throws Exception {
    String good = String.format(SETTINGS, 1);
    for (String tooShort : List.of("20.0", "23.0", "27.4", "27.51")) {
      Path file = file(good.replace("cancel_s = 40.0", "cancel_s = " + tooShort));
      InvalidConfigException invalid =
          assertThrows(
              InvalidConfigException.class,
              () -> PlatformFile.read(file, OperatorFile.DEFAULTS),
              tooShort);
      assertTrue(
          invalid.getMessage().startsWith("settings.workers.cancel_s: "), invalid.getMessage());
      assertTrue(!invalid.getMessage().contains("\n"), "one line");
    }
    PlatformFile.read(
        file(good.replace("cancel_s = 40.0", "cancel_s = 27.52")), OperatorFile.DEFAULTS);
  }

  @Example
  void invalidOperatorSettingsAreRefused() throws Exception {
    assertEquals(
        64, OperatorFile.read(file("token_list_size = 64\nidle_return_s = 5\n")).tokenListSize());
    for (String invalid :
        new String[] {
          "token_list_size = 0",
          "token_list_size = \"x\"",
          "no_such_thing = 1",
          "leader_renew_s = 5\nleader_ttl_s = 6",
          "a = {"
        }) {
      assertThrows(InvalidConfigException.class, () -> OperatorFile.read(file(invalid)), invalid);
    }
  }
}
