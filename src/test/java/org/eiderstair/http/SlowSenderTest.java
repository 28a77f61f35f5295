package org.eiderstair.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicLong;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;
import net.jqwik.api.lifecycle.BeforeTry;
import org.eiderstair.core.message.Answer;
import org.eiderstair.core.message.Event;
import org.eiderstair.core.model.FencingToken;
import org.eiderstair.protocol.MessagePackCodec;
import org.eiderstair.protocol.SampleMessages;

/** Tests that senders who are slow, or never finish, take nothing from those who are quick. */
class SlowSenderTest {
  private static final int MAX_BUFFERED_BYTES = 5_000_000;
  private static final int LARGE_SENDERS = 80;
  private static final int SMALL_SENDERS = 140;
  private static final int WORKERS = 1000;
  private static final int FUZZ_CONNECTIONS = Integer.getInteger("fuzz.connections", 3000);
  private static final long FUZZ_SEED = Long.getLong("fuzz.seed", 1);
  private static final int READ_TIMEOUT_MILLIS = 5000;
  private static final String SUBMISSION_HEAD =
      "POST /work HTTP/1.1\r\nHost: a\r\nContent-Length: ";

  private final AtomicLong clockMicros = new AtomicLong();
  private final List<Socket> open = new ArrayList<>();
  private ExecutorService threads;
  private Sockets sockets;
  private HttpRequestRouter router;
  private int port;

  @BeforeTry
  void start() throws Exception {
    threads = Executors.newFixedThreadPool(2);
    sockets = new Sockets(threads);
    router = new HttpRequestRouter(this::answer, () -> false, clockMicros::get, MAX_BUFFERED_BYTES);
  }

  @AfterTry
  void stop() throws Exception {
    for (Socket socket : open) {
      socket.close();
    }
    sockets.stop();
    threads.shutdownNow();
  }

  private void listen(int connections) throws IOException {
    port = router.listen(sockets, "127.0.0.1", 0, new ConnectionBudget(connections, 0, 0, 0));
  }

  private void answer(Event event) {
    if (event instanceof Event.HeartbeatReceived heartbeat) {
      router.respond(heartbeat.exchange(), new Answer.Command(new FencingToken(1), List.of()));
    } else if (event instanceof Event.Submit submit) {
      router.respond(
          submit.exchange(),
          new Answer.JobView(201, submit.submission().id(), Answer.Phase.PENDING, 0, 0));
    } else if (event instanceof Event.ReadyProbe probe) {
      router.respond(probe.exchange(), new Answer.Ready(true));
    }
  }

  private Socket connect() throws IOException {
    Socket socket = new Socket("127.0.0.1", port);
    socket.setSoTimeout(READ_TIMEOUT_MILLIS);
    open.add(socket);
    return socket;
  }

  private static byte[] ascii(String text) {
    return text.getBytes(StandardCharsets.US_ASCII);
  }

  private static byte[] request(String path, byte[] body) {
    byte[] head =
        ascii(
            "POST " + path + " HTTP/1.1\r\nHost: a\r\nContent-Length: " + body.length + "\r\n\r\n");
    byte[] all = new byte[head.length + body.length];
    System.arraycopy(head, 0, all, 0, head.length);
    System.arraycopy(body, 0, all, head.length, body.length);
    return all;
  }

  private static byte[] submission(int number) {
    String id = String.format("job-%06d", number);
    return request("/work", MessagePackCodec.write(SampleMessages.submission(id, 1, 1.0)));
  }

  private static byte[] heartbeat(int machine) {
    SampleMessages.Worker worker =
        new SampleMessages.Worker("i-" + machine, "127.0.0.1:1", "t", "z", false);
    return request(
        "/agent/beat", MessagePackCodec.write(SampleMessages.heartbeat(worker, 1, 0, List.of())));
  }

  /** Returns the status of the response, or -1 if the connection is closed without one. */
  private static int status(Socket socket) throws IOException {
    StringBuilder head = new StringBuilder();
    while (head.indexOf("\r\n\r\n") < 0) {
      int next = socket.getInputStream().read();
      if (next < 0) {
        return -1;
      }
      head.append((char) next);
    }
    String lower = head.toString().toLowerCase(java.util.Locale.ROOT);
    int at = lower.indexOf("content-length: ") + "content-length: ".length();
    socket.getInputStream().readNBytes(Integer.parseInt(lower.substring(at).split("\r")[0].trim()));
    return Integer.parseInt(head.substring(9, 12));
  }

  private int send(Socket socket, byte[] request) throws IOException {
    socket.getOutputStream().write(request);
    return status(socket);
  }

  private void halfSend(int bodyBytes, int sentBytes) throws IOException {
    Socket socket = connect();
    socket.getOutputStream().write(ascii(SUBMISSION_HEAD + bodyBytes + "\r\n\r\n"));
    socket.getOutputStream().write(new byte[sentBytes]);
  }

  /** Waits until the server has read what was sent before. */
  private void settle() throws IOException {
    try (Socket socket = new Socket("127.0.0.1", port)) {
      for (int i = 0; i < 3; i++) {
        socket.getOutputStream().write(ascii("GET /ready HTTP/1.1\r\nHost: a\r\n\r\n"));
        assertEquals(200, status(socket));
      }
    }
  }

  private static boolean isClosed(Socket socket) throws IOException {
    try {
      return socket.getInputStream().read() < 0;
    } catch (SocketTimeoutException e) {
      return false;
    } catch (IOException reset) {
      return true;
    }
  }

  @Example
  void halfSentBodiesTakeNothingFromHeartbeatsAndSubmissions() throws Exception {
    listen(5000);
    Random random = new Random(1);
    for (int i = 0; i < LARGE_SENDERS; i++) {
      halfSend(64 * 1024, 64 * 1024 - 1);
    }
    for (int i = 0; i < SMALL_SENDERS; i++) {
      int bytes = 100 + random.nextInt(4000);
      halfSend(bytes, bytes - 1);
    }
    settle();
    for (int i = 0; i < WORKERS; i++) {
      assertEquals(200, send(connect(), heartbeat(i)), "heartbeat " + i);
    }
    clockMicros.addAndGet(IncompleteRequests.QUICK_MICROS);
    Map<String, Object> large =
        SampleMessages.with(
            SampleMessages.submission("job-900000", 1, 1.0), "Note", "x".repeat(60_000));
    assertEquals(201, send(connect(), request("/work", MessagePackCodec.write(large))));
    for (int i = 0; i < 100; i++) {
      assertEquals(201, send(connect(), submission(i)), "submission " + i);
    }
  }

  @Example
  void connectionWhoseRequestIsNotCompleteInTimeIsClosed() throws Exception {
    listen(100);
    Socket slowHead = connect();
    Socket slowBody = connect();
    Socket idle = connect();
    assertEquals(200, send(idle, heartbeat(1)));
    slowHead.getOutputStream().write(ascii("P"));
    slowBody.getOutputStream().write(ascii(SUBMISSION_HEAD + "100\r\n\r\n"));
    for (int second = 0; second < 5; second++) {
      settle();
      router.closeSlowConnections(clockMicros.addAndGet(990_000));
      slowHead.getOutputStream().write(ascii("O"));
      slowBody.getOutputStream().write(0);
    }
    settle();
    router.closeSlowConnections(clockMicros.addAndGet(200_000));
    assertTrue(isClosed(slowHead));
    assertTrue(isClosed(slowBody));
    assertEquals(200, send(idle, heartbeat(1)), "a connection between requests stays open");
  }

  @Example
  void connectionsWithoutACompleteRequestGiveWayWhenSocketsAreShort() throws Exception {
    int connections = 50;
    listen(connections);
    List<Socket> workers = new ArrayList<>();
    for (int i = 0; i < 20; i++) {
      workers.add(connect());
      assertEquals(200, send(workers.get(i), heartbeat(i)));
    }
    for (int i = 0; i < connections - 20; i++) {
      Socket socket = connect();
      if (i % 2 == 0) {
        socket.getOutputStream().write(ascii("GET /endless HTTP/1.1\r\nX: "));
      }
    }
    Thread.sleep(200);
    clockMicros.addAndGet(IncompleteRequests.MAX_READ_MICROS);
    router.closeSlowConnections(clockMicros.get());
    for (int i = 0; i < connections; i++) {
      try (Socket user = new Socket("127.0.0.1", port)) {
        assertEquals(201, send(user, submission(i)), "submission " + i);
      }
    }
    for (Socket worker : workers) {
      int status = send(worker, heartbeat(1));
      assertEquals(200, status);
    }
  }

  @Example
  void slowSendersOnThePeersListenerAreClosedAndOthersServed() throws Exception {
    try (ServerSocket free = new ServerSocket(0)) {
      port = free.getLocalPort();
    }
    router.listenForPeers(sockets, "127.0.0.1", port);
    List<Socket> slow = new ArrayList<>();
    for (int i = 0; i < SMALL_SENDERS; i++) {
      Socket socket = connect();
      slow.add(socket);
      socket.getOutputStream().write(ascii("POST /peer/relay HTTP/1.1\r\nContent-Length: 60000"));
      socket.getOutputStream().write(ascii(i % 2 == 0 ? "" : "\r\nHost: a\r\n\r\nbody"));
    }
    settlePeers();
    router.closeSlowConnections(clockMicros.addAndGet(IncompleteRequests.MAX_READ_MICROS));
    for (Socket socket : slow) {
      assertTrue(isClosed(socket));
    }
    settlePeers();
  }

  /** Waits until the peers' listener has read what was sent before. */
  private void settlePeers() throws IOException {
    try (Socket socket = new Socket("127.0.0.1", port)) {
      for (int i = 0; i < 3; i++) {
        assertEquals(404, send(socket, ascii("GET /nowhere HTTP/1.1\r\nHost: a\r\n\r\n")));
      }
    }
  }

  /** Random bytes, and sound requests with some bytes changed, end no listener and leak nothing. */
  @Example
  void malformedBytesEndNothing() throws Exception {
    listen(200);
    Random random = new Random(FUZZ_SEED);
    for (int i = 0; i < FUZZ_CONNECTIONS; i++) {
      try (Socket socket = new Socket("127.0.0.1", port)) {
        byte[] sent = random.nextBoolean() ? submission(i) : heartbeat(i);
        for (int changes = random.nextInt(12); changes > 0; changes--) {
          sent[random.nextInt(sent.length)] = (byte) random.nextInt(256);
        }
        OutputStream out = socket.getOutputStream();
        out.write(sent, 0, random.nextInt(4) == 0 ? random.nextInt(sent.length) : sent.length);
      } catch (IOException closed) {
        // The server may close the connection before all is written.
      }
      clockMicros.addAndGet(10_000);
      router.closeSlowConnections(clockMicros.get());
    }
    clockMicros.addAndGet(IncompleteRequests.MAX_READ_MICROS);
    router.closeSlowConnections(clockMicros.get());
    settle();
    assertEquals(201, send(connect(), submission(1)));
    for (int i = 0; i < 100 && router.heldBytes() > 0; i++) {
      Thread.sleep(20);
    }
    assertEquals(0, router.heldBytes());
  }
}
