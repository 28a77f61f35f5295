package org.eiderstair.node;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import net.jqwik.api.Example;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.http.HttpMethod;
import org.eiderstair.protocol.MessagePackCodec;
import org.eiderstair.protocol.MessageSpelling;
import org.eiderstair.protocol.RecordedSubmission;
import org.eiderstair.protocol.SampleMessages;

/** Sends sound messages in unusual spellings to a controller over real sockets. */
class EquivalentSpellingNodeTest {
  private static final int SPELLINGS = 60;

  private HttpClient http;
  private String base;

  private int post(String path, byte[] body) throws Exception {
    return NodeTest.send(http, HttpMethod.POST, base + path, body).getStatus();
  }

  private void startUntilReady(Node node) throws Exception {
    base = "http://127.0.0.1:" + node.port();
    int status = 0;
    for (int i = 0; i < 600 && status != 201; i++) {
      status = post("/work", MessagePackCodec.write(NodeTest.job("job-000001")));
      Thread.sleep(20);
    }
    assertEquals(201, status);
  }

  @Example
  void soundSubmissionIsNeitherRefusedNorASecondJobInAnySpelling() throws Exception {
    http = new HttpClient();
    http.start();
    try (FakePlatform platform = new FakePlatform(0, 0);
        Node node = NodeTest.start(platform)) {
      startUntilReady(node);
      byte[] recorded = RecordedSubmission.body("job-733759", "red");
      assertEquals(201, post("/work", recorded));
      assertEquals(200, post("/work", recorded));
      for (int seed = 0; seed < SPELLINGS; seed++) {
        String id = String.format("job-%06d", 100 + seed);
        byte[] body = MessageSpelling.encode(NodeTest.job(id), seed);
        assertEquals(201, post("/work", body), "seed " + seed);
        byte[] repeated = MessageSpelling.encode(NodeTest.job(id), seed + SPELLINGS);
        assertEquals(200, post("/work", repeated), "seed " + seed);
      }
      checkHeartbeats();
      checkSizeLimitCountsTheJsonForm();
    } finally {
      http.stop();
    }
  }

  private void checkHeartbeats() throws Exception {
    SampleMessages.Worker worker =
        new SampleMessages.Worker("i-900001", "127.0.0.1:1", "small", "z", true);
    for (int sequence = 1; sequence <= SPELLINGS; sequence++) {
      Map<String, Object> heartbeat = SampleMessages.heartbeat(worker, sequence, 0, List.of());
      byte[] body = MessageSpelling.encode(heartbeat, sequence);
      ContentResponse answer = NodeTest.send(http, HttpMethod.POST, base + "/agent/beat", body);
      assertEquals(200, answer.getStatus(), "seed " + sequence);
    }
  }

  /** A zero takes two bytes in a list of the JSON form and nine as a MessagePack double. */
  private void checkSizeLimitCountsTheJsonForm() throws Exception {
    List<Double> zeros = new ArrayList<>(Collections.nCopies(30_000, 0.0));
    Map<String, Object> job = SampleMessages.with(NodeTest.job("job-000002"), "x_series", zeros);
    byte[] body = MessagePackCodec.write(job);
    assertEquals(true, body.length > 4 * 64 * 1024);
    assertEquals(201, post("/work", body));
    zeros.addAll(Collections.nCopies(3000, 0.0));
    assertEquals(400, post("/work", MessagePackCodec.write(job)));
  }
}
