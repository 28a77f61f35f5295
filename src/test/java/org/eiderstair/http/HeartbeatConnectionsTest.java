package org.eiderstair.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;
import net.jqwik.api.lifecycle.BeforeTry;
import org.eiderstair.core.message.Answer;
import org.eiderstair.core.message.Event;
import org.eiderstair.core.model.FencingToken;
import org.eiderstair.protocol.MessagePackCodec;

/**
 * Tests heartbeats of more machines than there are sockets, together with users, over real sockets.
 */
class HeartbeatConnectionsTest {
  private static final int SHARED_CONNECTIONS = 20;
  private static final int USER_SHARE = 5;
  private static final int COMMAND_SHARE = 3;
  private static final int HEARTBEAT_SHARE = SHARED_CONNECTIONS - USER_SHARE - COMMAND_SHARE;
  private static final String POLL = "GET /work/job-000001 HTTP/1.1\r\nHost: a\r\n\r\n";

  private final AtomicBoolean behind = new AtomicBoolean();
  private final AtomicLong nowMicros = new AtomicLong(1);
  private final List<Event> delayedEvents = new ArrayList<>();
  private boolean answersDelayed;
  private ExecutorService threads;
  private Sockets sockets;
  private HttpRequestRouter router;
  private int port;

  /** A worker or a user with one connection, which is opened again after it was closed. */
  private final class Client implements AutoCloseable {
    private final byte[] request;
    private Socket socket;
    private int opened;

    Client(byte[] request) {
      this.request = request;
    }

    void send() throws IOException {
      if (socket == null) {
        socket = new Socket("127.0.0.1", port);
        socket.setSoTimeout(10_000);
        opened++;
      }
      socket.getOutputStream().write(request);
    }

    String receive() throws IOException {
      String answer = readResponse(socket.getInputStream());
      if (answer.endsWith("close")) {
        close();
      }
      return answer;
    }

    String exchange() throws IOException {
      send();
      return receive();
    }

    @Override
    public void close() throws IOException {
      if (socket != null) {
        socket.close();
        socket = null;
      }
    }
  }

  @BeforeTry
  void start() throws Exception {
    threads = Executors.newFixedThreadPool(2);
    sockets = new Sockets(threads);
    router = new HttpRequestRouter(this::receive, behind::get, nowMicros::get, 1_000_000);
    port =
        router.listen(
            sockets,
            "127.0.0.1",
            0,
            new ConnectionBudget(SHARED_CONNECTIONS, USER_SHARE, COMMAND_SHARE, 4));
  }

  @AfterTry
  void stop() throws Exception {
    sockets.stop();
    threads.shutdownNow();
  }

  private synchronized void receive(Event event) {
    if (answersDelayed) {
      delayedEvents.add(event);
    } else {
      answer(event);
    }
  }

  private void answer(Event event) {
    if (event instanceof Event.HeartbeatReceived heartbeat) {
      router.respond(
          heartbeat.exchange(), new Answer.Command(new FencingToken(1L << 20), List.of()));
    } else if (event instanceof Event.Poll poll) {
      router.respond(
          poll.exchange(), new Answer.JobView(200, poll.id(), Answer.Phase.RUNNING, 0, 1));
    }
  }

  private static byte[] ascii(String text) {
    return text.getBytes(StandardCharsets.US_ASCII);
  }

  private Client worker(int number) {
    byte[] body =
        MessagePackCodec.write(
            Map.of(
                "Skerry",
                "i-" + number,
                "Endpoint",
                "10.0.0.1:9000",
                "Hull",
                "t",
                "Fjord",
                "a",
                "Driftwood",
                false,
                "Watch",
                1,
                "Tally",
                1,
                "Baton",
                0,
                "Pieces",
                List.of()));
    byte[] head =
        ascii(
            "POST /agent/beat HTTP/1.1\r\nHost: a\r\nContent-Length: " + body.length + "\r\n\r\n");
    byte[] request = Arrays.copyOf(head, head.length + body.length);
    System.arraycopy(body, 0, request, head.length, body.length);
    return new Client(request);
  }

  /**
   * Reads one response. Returns the status, and notes about Retry-After and "Connection: close";
   * returns "closed" at the end of the input.
   */
  private static String readResponse(InputStream in) throws IOException {
    StringBuilder head = new StringBuilder();
    while (head.indexOf("\r\n\r\n") < 0) {
      int next = in.read();
      if (next < 0) {
        return "closed";
      }
      head.append((char) next);
    }
    String lower = head.toString().toLowerCase(Locale.ROOT);
    int at = lower.indexOf("content-length: ") + 16;
    in.readNBytes(Integer.parseInt(lower.substring(at, lower.indexOf("\r\n", at)).trim()));
    return head.substring(9, 12)
        + (lower.contains("retry-after") ? " retry" : "")
        + (lower.contains("connection: close") ? " close" : "");
  }

  private static void closeAll(List<Client> clients) throws IOException {
    for (Client client : clients) {
      client.close();
    }
  }

  private List<Client> workers(int count) {
    List<Client> workers = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      workers.add(worker(i));
    }
    return workers;
  }

  /**
   * Repeats the request until a connection is accepted: the server sees a connection's end later
   * than the client that closed it.
   */
  private String exchangeUntilAccepted(Client client) throws Exception {
    for (int attempt = 0; ; attempt++) {
      try {
        String answer = client.exchange();
        if (!answer.equals("closed") || attempt == 200) {
          return answer;
        }
      } catch (IOException e) {
        if (attempt == 200) {
          throw e;
        }
      }
      client.close();
      Thread.sleep(10);
    }
  }

  @Example
  void heartbeatConnectionsWithinTheirShareStayOpen() throws Exception {
    List<Client> workers = workers(HEARTBEAT_SHARE);
    for (int round = 0; round < 5; round++) {
      for (Client worker : workers) {
        assertEquals("200", worker.exchange());
      }
    }
    workers.forEach(w -> assertEquals(1, w.opened));
    closeAll(workers);
  }

  /**
   * With three times as many machines as sockets, all heartbeats are answered, and users up to
   * their share are accepted in every round.
   */
  @Example
  void allHeartbeatsAndUsersAreAnsweredWithMoreMachinesThanSockets() throws Exception {
    List<Client> workers = workers(3 * SHARED_CONNECTIONS);
    List<Client> users = new ArrayList<>();
    for (int round = 0; round < 5; round++) {
      for (Client worker : workers) {
        assertTrue(exchangeUntilAccepted(worker).startsWith("200"), "a heartbeat is answered");
      }
      assertTrue(workers.stream().filter(w -> w.socket != null).count() <= HEARTBEAT_SHARE);
      if (users.size() < USER_SHARE) {
        Client user = new Client(ascii(POLL));
        users.add(user);
        assertEquals("200", exchangeUntilAccepted(user));
      }
      for (Client user : users) {
        assertEquals("200", user.exchange());
      }
    }
    closeAll(workers);
    closeAll(users);
  }

  /**
   * Many heartbeats are answered in one pass of the core. Only the connections beyond the share are
   * closed, not all of them.
   */
  @Example
  void onlyExcessConnectionsAreClosed() throws Exception {
    List<Client> workers = workers(HEARTBEAT_SHARE + 4);
    synchronized (this) {
      answersDelayed = true;
    }
    for (Client worker : workers) {
      worker.send();
    }
    awaitDelayedEvents(workers.size());
    synchronized (this) {
      answersDelayed = false;
      delayedEvents.forEach(this::answer);
    }
    int closed = 0;
    for (Client worker : workers) {
      closed += worker.receive().equals("200 close") ? 1 : 0;
    }
    assertEquals(4, closed);
    closeAll(workers);
  }

  private void awaitDelayedEvents(int count) throws InterruptedException {
    for (int attempt = 0; attempt < 1_000; attempt++) {
      synchronized (this) {
        if (delayedEvents.size() == count) {
          return;
        }
      }
      Thread.sleep(10);
    }
    throw new AssertionError("not all requests have arrived");
  }

  /** A node that is behind with its events refuses polls, and still answers heartbeats. */
  @Example
  void nodeThatIsBehindRefusesPollsAndAnswersHeartbeats() throws Exception {
    try (Client user = new Client(ascii(POLL));
        Client worker = worker(1)) {
      assertEquals("200", user.exchange());
      behind.set(true);
      assertEquals("503 retry", user.exchange());
      assertEquals("200", worker.exchange());
      behind.set(false);
      assertEquals("200", user.exchange());
    }
  }

  /**
   * A heartbeat that has waited for 4 s, the time after which its worker gives up, is refused. A
   * heartbeat that has waited for 1 s is answered.
   */
  @Example
  void heartbeatThatWaitedTooLongIsRefused() throws Exception {
    synchronized (this) {
      answersDelayed = true;
    }
    try (Client early = worker(1);
        Client late = worker(2)) {
      early.send();
      awaitDelayedEvents(1);
      nowMicros.addAndGet(3_000_000);
      late.send();
      awaitDelayedEvents(2);
      nowMicros.addAndGet(1_000_000);
      assertTrue(router.refuseIfLate(delayedEvents.get(0)));
      assertEquals("503", early.receive());
      assertFalse(router.refuseIfLate(delayedEvents.get(1)));
      answer(delayedEvents.get(1));
      assertEquals("200", late.receive());
    }
  }
}
