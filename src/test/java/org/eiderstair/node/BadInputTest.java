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
import org.eiderstair.protocol.MessagePackCodec;
import org.eiderstair.protocol.SampleMessages;

/**
 * Sends malformed, unrunnable, repeated and oversized requests to a controller over real sockets.
 */
class BadInputTest {
  private static final List<String> NUMBER_FIELDS =
      List.of(
          "Cores",
          "Accelerators",
          "MemoryGb",
          "ImageGb",
          "GuessS",
          "CairnEveryS",
          "CairnS",
          "DueS");
  private static final List<String> STRING_FIELDS =
      List.of("Id", "JobkindGroup", "Crew", "Shape", "Urgency", "Bundle");
  private static final List<String> BOOLEAN_FIELDS = List.of("OneZone", "Scatter", "Driftwood");
  private static final List<String> OPTIONAL_FIELDS = List.of("DueS", "Hulls", "Fjord");

  private record InvalidField(String field, Object value) {}

  private HttpClient http;
  private String base;

  private static List<InvalidField> invalidFields() {
    List<InvalidField> invalidFields = new ArrayList<>();
    List<Object> invalidNumbers =
        List.of(
            "many",
            true,
            List.of(1L),
            Map.of("a", 1L),
            -1.0,
            Double.NaN,
            1e300,
            Double.NEGATIVE_INFINITY);
    for (String field : NUMBER_FIELDS) {
      invalidNumbers.forEach(value -> invalidFields.add(new InvalidField(field, value)));
    }
    for (String field : STRING_FIELDS) {
      for (Object value : List.of(1L, true, "", List.of("x"), "x".repeat(2_000))) {
        invalidFields.add(new InvalidField(field, value));
      }
    }
    for (String field : BOOLEAN_FIELDS) {
      for (Object value : List.of("yes", 1L, List.of())) {
        invalidFields.add(new InvalidField(field, value));
      }
    }
    for (Object value : List.of(0L, -1L, 100_001L, 1.5, "four", Long.MAX_VALUE)) {
      invalidFields.add(new InvalidField("Pieces", value));
    }
    for (Object value : List.of("group", "SWEEP", "gang")) {
      invalidFields.add(new InvalidField("Shape", value));
    }
    invalidFields.add(new InvalidField("Urgency", "asap"));
    invalidFields.add(new InvalidField("Hulls", "small"));
    invalidFields.add(new InvalidField("Hulls", List.of(1L)));
    invalidFields.add(new InvalidField("Fjord", 1L));
    invalidFields.add(new InvalidField("Id", "job 1"));
    for (String field : job("job-000009").keySet()) {
      if (!OPTIONAL_FIELDS.contains(field)) {
        invalidFields.add(new InvalidField(field, null));
      }
    }
    return invalidFields;
  }

  private static Map<String, Object> job(String id) {
    return NodeTest.job(id);
  }

  private ContentResponse post(String path, byte[] body) throws Exception {
    return NodeTest.send(http, HttpMethod.POST, base + path, body);
  }

  private void assertSubmitStatus(int status, Map<String, Object> job) throws Exception {
    ContentResponse answer = post("/work", MessagePackCodec.write(job));
    assertEquals(
        status,
        answer.getStatus(),
        job + " returned " + MessagePackCodec.readMap(answer.getContent()));
  }

  /** Returns the job's state, or the HTTP status if the request fails. */
  private Object jobState(String path, HttpMethod method) throws Exception {
    ContentResponse answer =
        NodeTest.send(http, method, base + path, method == HttpMethod.POST ? new byte[0] : null);
    return answer.getStatus() == 200
        ? MessagePackCodec.readMap(answer.getContent()).get("Tide")
        : answer.getStatus();
  }

  @Example
  void invalidFieldIsNamedInTheErrorAndOtherJobsAreUnaffected() throws Exception {
    http = new HttpClient();
    http.start();
    try (FakePlatform platform = new FakePlatform(0, 0);
        Node node = NodeTest.start(platform)) {
      base = "http://127.0.0.1:" + node.port();
      int status = 0;
      for (int i = 0; i < 600 && status != 201; i++) {
        status = post("/work", MessagePackCodec.write(job("job-000001"))).getStatus();
        Thread.sleep(20);
      }
      assertEquals(201, status);
      checkMalformedSubmissions();
      checkUnrunnableSubmissions();
      checkRepeatedSubmissions();
      checkOversizedSubmissions();
      checkHeartbeats();
      assertEquals("pending", jobState("/work/job-000001", HttpMethod.GET));
      assertEquals("cancelled", jobState("/work/job-000001/cancel", HttpMethod.POST));
      assertEquals("cancelled", jobState("/work/job-000001/cancel", HttpMethod.POST));
      assertEquals("cancelled", jobState("/work/job-000001", HttpMethod.GET));
    } finally {
      http.stop();
    }
  }

  private void checkMalformedSubmissions() throws Exception {
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
    for (InvalidField invalid : invalidFields()) {
      ContentResponse answer =
          post(
              "/work",
              MessagePackCodec.write(with(job("job-000009"), invalid.field(), invalid.value())));
      Object error = MessagePackCodec.readMap(answer.getContent()).get("error");
      assertEquals(400, answer.getStatus(), invalid + " returned " + error);
      assertTrue(
          String.valueOf(error).startsWith(invalid.field() + " "), invalid + " returned " + error);
    }
    assertEquals(404, jobState("/work/job-000009", HttpMethod.GET));
  }

  private void checkUnrunnableSubmissions() throws Exception {
    assertSubmitStatus(422, with(job("job-000010"), "Crew", "green"));
    assertSubmitStatus(422, with(job("job-000010"), "Cores", 5.0));
    assertSubmitStatus(422, with(job("job-000010"), "MemoryGb", 9.0));
    assertSubmitStatus(422, with(job("job-000010"), "Accelerators", 1.0));
    assertSubmitStatus(422, with(job("job-000010"), "Fjord", "nowhere"));
    assertSubmitStatus(422, with(job("job-000010"), "Hulls", List.of("huge")));
    assertSubmitStatus(422, with(job("job-000010"), "Hulls", List.of()));
    // A service needs all its tasks at once: nine cores, while the team's limit is eight.
    assertSubmitStatus(422, with(with(job("job-000010"), "Shape", "standing"), "Pieces", 9L));
    assertEquals(404, jobState("/work/job-000010", HttpMethod.GET));
    assertEquals(404, jobState("/work/job-000010/cancel", HttpMethod.POST));
  }

  /** A submission of a known job succeeds regardless of its other fields. */
  private void checkRepeatedSubmissions() throws Exception {
    for (InvalidField invalid : invalidFields()) {
      if (!invalid.field().equals("Id")) {
        assertSubmitStatus(200, with(job("job-000001"), invalid.field(), invalid.value()));
      }
    }
    assertSubmitStatus(200, with(job("job-000001"), "Crew", "green"));
    assertSubmitStatus(200, Map.of("Id", "job-000001"));
  }

  private void checkOversizedSubmissions() throws Exception {
    ContentResponse answer =
        post(
            "/work",
            MessagePackCodec.write(with(job("job-000011"), "Note", "x".repeat(65 * 1024))));
    assertTrue(
        answer.getStatus() == 400 || answer.getStatus() == 413, "status " + answer.getStatus());
    assertEquals(404, jobState("/work/job-000011", HttpMethod.GET));
    // Unknown fields are ignored up to the limit.
    assertEquals(
        201,
        post(
                "/work",
                MessagePackCodec.write(with(job("job-000012"), "Note", "x".repeat(60 * 1024))))
            .getStatus());
  }

  private void checkHeartbeats() throws Exception {
    SampleMessages.Worker worker =
        new SampleMessages.Worker("i-900001", "127.0.0.1:1", "small", "z", true);
    Map<String, Object> heartbeat = SampleMessages.heartbeat(worker, 1, 0, List.of());
    for (String field : heartbeat.keySet()) {
      assertEquals(
          400,
          post("/agent/beat", MessagePackCodec.write(with(heartbeat, field, null))).getStatus(),
          field);
      assertEquals(
          400,
          post("/agent/beat", MessagePackCodec.write(with(heartbeat, field, Map.of()))).getStatus(),
          field);
    }
    for (Object task :
        List.of(
            "job-000001/0",
            Map.of(),
            Map.of("Piece", "job-000001/0", "Try", -1L, "Tide", "running"),
            Map.of("Piece", "x", "Try", 1L, "Tide", "running"),
            Map.of("Piece", "job-000001/0", "Try", 1L, "Tide", "lost"))) {
      assertEquals(
          400,
          post("/agent/beat", MessagePackCodec.write(with(heartbeat, "Pieces", List.of(task))))
              .getStatus(),
          "" + task);
    }
    Map<String, Object> known =
        with(
            with(heartbeat, "Mood", "good"),
            "Pieces",
            List.of(
                Map.of("Piece", "job-900009/0", "Try", 1L, "Tide", "running", "Colour", "blue")));
    ContentResponse answer = post("/agent/beat", MessagePackCodec.write(known));
    assertEquals(200, answer.getStatus());
    // The job was never accepted, so the worker is ordered to stop its task. The rejected
    // heartbeats above cause no other orders.
    assertEquals(1, ((List<?>) MessagePackCodec.readMap(answer.getContent()).get("Orders")).size());
  }
}
