package org.eiderstair.node;

import static org.eiderstair.protocol.SampleMessages.with;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import net.jqwik.api.Example;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.http.HttpMethod;
import org.eiderstair.config.OperatorFile;
import org.eiderstair.config.PlatformFile;
import org.eiderstair.protocol.MessagePackCodec;
import org.eiderstair.protocol.SampleMessages;

/** What is malformed, can never run, or is asked for again, over real sockets. */
class BadInputTest {
  private static final List<String> AMOUNTS =
      List.of(
          "Cores",
          "Accelerators",
          "MemoryGb",
          "ImageGb",
          "GuessS",
          "CairnEveryS",
          "CairnS",
          "DueS");
  private static final List<String> TEXTS =
      List.of("Id", "JobkindGroup", "Crew", "Shape", "Urgency", "Bundle");
  private static final List<String> FLAGS = List.of("OneZone", "Scatter", "Driftwood");
  private static final List<String> MAY_BE_NULL = List.of("DueS", "Hulls", "Fjord");

  private record Wrong(String field, Object value) {}

  private HttpClient http;
  private String base;

  private static List<Wrong> wrongs() {
    List<Wrong> wrongs = new ArrayList<>();
    List<Object> noNumber =
        List.of(
            "many",
            true,
            List.of(1L),
            Map.of("a", 1L),
            -1.0,
            Double.NaN,
            1e300,
            Double.NEGATIVE_INFINITY);
    for (String field : AMOUNTS) {
      noNumber.forEach(value -> wrongs.add(new Wrong(field, value)));
    }
    for (String field : TEXTS) {
      for (Object value : List.of(1L, true, "", List.of("x"), "x".repeat(2_000))) {
        wrongs.add(new Wrong(field, value));
      }
    }
    for (String field : FLAGS) {
      for (Object value : List.of("yes", 1L, List.of())) {
        wrongs.add(new Wrong(field, value));
      }
    }
    for (Object value : List.of(0L, -1L, 100_001L, 1.5, "four", Long.MAX_VALUE)) {
      wrongs.add(new Wrong("Pieces", value));
    }
    for (Object value : List.of("group", "SWEEP", "gang")) {
      wrongs.add(new Wrong("Shape", value));
    }
    wrongs.add(new Wrong("Urgency", "asap"));
    wrongs.add(new Wrong("Hulls", "small"));
    wrongs.add(new Wrong("Hulls", List.of(1L)));
    wrongs.add(new Wrong("Fjord", 1L));
    wrongs.add(new Wrong("Id", "job 1"));
    for (String field : job("job-000009").keySet()) {
      if (!MAY_BE_NULL.contains(field)) {
        wrongs.add(new Wrong(field, null));
      }
    }
    return wrongs;
  }

  private static Map<String, Object> job(String id) {
    return NodeTest.job(id);
  }

  private ContentResponse post(String path, byte[] body) throws Exception {
    return NodeTest.send(http, HttpMethod.POST, base + path, body);
  }

  private void assertRefused(int status, Map<String, Object> job) throws Exception {
    ContentResponse answer = post("/work", MessagePackCodec.write(job));
    assertEquals(
        status, answer.getStatus(), job + " gave " + MessagePackCodec.readMap(answer.getContent()));
  }

  private Object tide(String path, HttpMethod method) throws Exception {
    ContentResponse answer =
        NodeTest.send(http, method, base + path, method == HttpMethod.POST ? new byte[0] : null);
    return answer.getStatus() == 200
        ? MessagePackCodec.readMap(answer.getContent()).get("Tide")
        : answer.getStatus();
  }

  @Example
  void aMalformedFieldIsNamedAndNothingElseIsHarmed() throws Exception {
    http = new HttpClient();
    http.start();
    try (FakePlatform standIn = new FakePlatform(0, 0);
        Node node =
            new Node(
                PlatformFile.read(
                    NodeTest.file(String.format(NodeTest.SETTINGS, standIn.port())),
                    OperatorFile.DEFAULTS))) {
      base = "http://127.0.0.1:" + node.port();
      int status = 0;
      for (int i = 0; i < 600 && status != 201; i++) {
        status = post("/work", MessagePackCodec.write(job("job-000001"))).getStatus();
        Thread.sleep(20);
      }
      assertEquals(201, status);
      malformed();
      neverToRun();
      knownOnes();
      tooLarge();
      reports();
      assertEquals("pending", tide("/work/job-000001", HttpMethod.GET));
      assertEquals("cancelled", tide("/work/job-000001/cancel", HttpMethod.POST));
      assertEquals("cancelled", tide("/work/job-000001/cancel", HttpMethod.POST));
      assertEquals("cancelled", tide("/work/job-000001", HttpMethod.GET));
    } finally {
      http.stop();
    }
  }

  private void malformed() throws Exception {
    for (byte[] body :
        new byte[][] {
          new byte[0],
          "no MessagePack".getBytes(StandardCharsets.UTF_8),
          {(byte) 0xc1},
          {(byte) 0x93, 1, 2, 3},
          {(byte) 0xdf, -1, -1, -1, -1},
          {(byte) 0x81, 1, 2}
        }) {
      assertEquals(400, post("/work", body).getStatus());
    }
    for (Wrong wrong : wrongs()) {
      ContentResponse answer =
          post(
              "/work",
              MessagePackCodec.write(with(job("job-000009"), wrong.field(), wrong.value())));
      Object error = MessagePackCodec.readMap(answer.getContent()).get("error");
      assertEquals(400, answer.getStatus(), wrong + " gave " + error);
      assertTrue(String.valueOf(error).startsWith(wrong.field() + " "), wrong + " gave " + error);
    }
    assertEquals(404, tide("/work/job-000009", HttpMethod.GET));
  }

  private void neverToRun() throws Exception {
    assertRefused(422, with(job("job-000010"), "Crew", "green"));
    assertRefused(422, with(job("job-000010"), "Cores", 5.0));
    assertRefused(422, with(job("job-000010"), "MemoryGb", 9.0));
    assertRefused(422, with(job("job-000010"), "Accelerators", 1.0));
    assertRefused(422, with(job("job-000010"), "Fjord", "nowhere"));
    assertRefused(422, with(job("job-000010"), "Hulls", List.of("huge")));
    assertRefused(422, with(job("job-000010"), "Hulls", List.of()));
    // A service needs all its tasks at once: nine processors where the team may have eight.
    assertRefused(422, with(with(job("job-000010"), "Shape", "standing"), "Pieces", 9L));
    assertEquals(404, tide("/work/job-000010", HttpMethod.GET));
    assertEquals(404, tide("/work/job-000010/cancel", HttpMethod.POST));
  }

  /** Whatever else the request holds. */
  private void knownOnes() throws Exception {
    for (Wrong wrong : wrongs()) {
      if (!wrong.field().equals("Id")) {
        assertRefused(200, with(job("job-000001"), wrong.field(), wrong.value()));
      }
    }
    assertRefused(200, with(job("job-000001"), "Crew", "green"));
    assertRefused(200, Map.of("Id", "job-000001"));
  }

  private void tooLarge() throws Exception {
    ContentResponse answer =
        post(
            "/work",
            MessagePackCodec.write(with(job("job-000011"), "Note", "x".repeat(65 * 1024))));
    assertTrue(
        answer.getStatus() == 400 || answer.getStatus() == 413, "status " + answer.getStatus());
    assertEquals(404, tide("/work/job-000011", HttpMethod.GET));
    // Unknown fields are ignored up to the limit.
    assertEquals(
        201,
        post(
                "/work",
                MessagePackCodec.write(with(job("job-000012"), "Note", "x".repeat(60 * 1024))))
            .getStatus());
  }

  private void reports() throws Exception {
    SampleMessages.Worker worker =
        new SampleMessages.Worker("i-900001", "127.0.0.1:1", "small", "z", true);
    Map<String, Object> report = SampleMessages.heartbeat(worker, 1, 0, List.of());
    for (String field : report.keySet()) {
      assertEquals(
          400,
          post("/agent/beat", MessagePackCodec.write(with(report, field, null))).getStatus(),
          field);
      assertEquals(
          400,
          post("/agent/beat", MessagePackCodec.write(with(report, field, Map.of()))).getStatus(),
          field);
    }
    for (Object piece :
        List.of(
            "job-000001/0",
            Map.of(),
            Map.of("Piece", "job-000001/0", "Try", -1L, "Tide", "running"),
            Map.of("Piece", "x", "Try", 1L, "Tide", "running"),
            Map.of("Piece", "job-000001/0", "Try", 1L, "Tide", "lost"))) {
      assertEquals(
          400,
          post("/agent/beat", MessagePackCodec.write(with(report, "Pieces", List.of(piece))))
              .getStatus(),
          "" + piece);
    }
    Map<String, Object> known =
        with(
            with(report, "Mood", "good"),
            "Pieces",
            List.of(
                Map.of("Piece", "job-900009/0", "Try", 1L, "Tide", "running", "Colour", "blue")));
    ContentResponse answer = post("/agent/beat", MessagePackCodec.write(known));
    assertEquals(200, answer.getStatus());
    // No such job was ever accepted: it gets an order to stop, and nothing else came of all these
    // heartbeats.
    assertEquals(1, ((List<?>) MessagePackCodec.readMap(answer.getContent()).get("Orders")).size());
  }
}
