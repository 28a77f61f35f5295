package org.eiderstair.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import net.jqwik.api.Example;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.http.HttpMethod;
import org.eiderstair.protocol.MessagePackCodec;

/** Runs a controller over real sockets and repeats a command that it sent to a worker. */
class DuplicateCommandNodeTest {
  private static final int MAX_TRIES = 600;
  private static final long TRY_INTERVAL_MILLIS = 20;
  private static final String FIRST_JOB = "job-000001";
  private static final String SECOND_JOB = "job-000002";
  private static final String SECOND_TASK = SECOND_JOB + "/0";

  /** A condition that the test waits for. */
  private interface Condition {
    boolean holds() throws Exception;
  }

  private static void await(String description, Condition condition) throws Exception {
    for (int i = 0; i < MAX_TRIES; i++) {
      if (condition.holds()) {
        return;
      }
      Thread.sleep(TRY_INTERVAL_MILLIS);
    }
    assertTrue(condition.holds(), description);
  }

  private static int submit(HttpClient http, String base, String job) throws Exception {
    byte[] body = MessagePackCodec.write(NodeTest.job(job));
    return NodeTest.send(http, HttpMethod.POST, base + "/work", body).getStatus();
  }

  private static Object state(HttpClient http, String base, String job) throws Exception {
    ContentResponse answer = NodeTest.send(http, HttpMethod.GET, base + "/work/" + job, null);
    return MessagePackCodec.readMap(answer.getContent()).get("Tide");
  }

  private static void sendHeartbeat(HttpClient http, String base, FakeMachine machine)
      throws Exception {
    byte[] body = MessagePackCodec.write(machine.heartbeat());
    ContentResponse answer = NodeTest.send(http, HttpMethod.POST, base + "/agent/beat", body);
    if (answer.getStatus() == 200) {
      machine.execute(MessagePackCodec.readMap(answer.getContent()));
    }
  }

  @Example
  void copyOfAnsweredLaunchDoesNotStartAcknowledgedTask() throws Exception {
    HttpClient http = new HttpClient();
    http.start();
    try (FakePlatform platform = new FakePlatform(1, 0);
        Node node = NodeTest.start(platform)) {
      String base = "http://127.0.0.1:" + node.port();
      await("the first job is accepted", () -> submit(http, base, FIRST_JOB) == 201);
      await(
          "the first job completes",
          () -> {
            for (FakeMachine machine : platform.machines()) {
              sendHeartbeat(http, base, machine);
            }
            return "done".equals(state(http, base, FIRST_JOB));
          });
      FakeMachine machine = platform.machines().get(0);

      // The machine sends no heartbeat now, so the next task is launched by command.
      assertEquals(201, submit(http, base, SECOND_JOB));
      await("a command launches it", () -> !machine.launchCommands(SECOND_TASK).isEmpty());
      Map<String, Object> launch = machine.launchCommands(SECOND_TASK).get(0);
      await(
          "the ended task is acknowledged",
          () -> {
            sendHeartbeat(http, base, machine);
            return !machine.reports(SECOND_TASK);
          });
      assertEquals("done", state(http, base, SECOND_JOB));
      assertFalse(machine.receiveCommand(launch), "the copy is executed");
      assertFalse(machine.reports(SECOND_TASK), "the copy starts the task again");
    } finally {
      http.stop();
    }
  }
}
