package org.eiderstair.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.lifecycle.AfterContainer;
import net.jqwik.api.lifecycle.BeforeContainer;
import org.eiderstair.core.message.Answer;
import org.eiderstair.core.message.Event;
import org.eiderstair.protocol.MessagePackCodec;

/** Tests of valid, fragmented and invalid requests over real sockets. */
class ServerConnectionTest {
  private static final int MAX_BUFFERED_BYTES = 1_000_000;
  private static ExecutorService threads;
  private static Sockets sockets;
  private static HttpRequestRouter router;
  private static int port;

  @BeforeContainer
  static void start() throws Exception {
    threads = Executors.newFixedThreadPool(2);
    sockets = new Sockets(threads);
    router =
        new HttpRequestRouter(
            ServerConnectionTest::answer, () -> false, () -> 0, MAX_BUFFERED_BYTES);
    port = router.listen(sockets, "127.0.0.1", 0, budgetFor(1000));
  }

  @AfterContainer
  static void stop() throws Exception {
    sockets.stop();
    threads.shutdownNow();
  }

  private static void answer(Event event) {
    if (event instanceof Event.Poll poll) {
      router.respond(poll.exchange(), new Answer.JobView(200, poll.id(), Answer.Phase.DONE, 3, 0));
    } else if (event instanceof Event.Submit submit) {
      router.respond(submit.exchange(), new Answer.Failure(503, "no", 1));
    } else if (event instanceof Event.ReadyProbe probe) {
      router.respond(probe.exchange(), new Answer.Ready(true));
    }
  }

  /** Returns a budget for the given number of inbound connections of any use. */
  private static ConnectionBudget budgetFor(int connections) {
    return new ConnectionBudget(connections, 0, 0, 0);
  }

  private static byte[] ascii(String text) {
    return text.getBytes(StandardCharsets.US_ASCII);
  }

  /**
   * Reads one response. Returns the status line, and notes about Retry-After and "Connection:
   * close"; returns "closed" at the end of the input.
   */
  private static String readResponse(InputStream in) throws IOException {
    StringBuilder head = new StringBuilder();
    while (head.indexOf("\r\n\r\n") < 0) {
      int b = in.read();
      if (b < 0) {
        return "closed";
      }
      head.append((char) b);
    }
    String lower = head.toString().toLowerCase(java.util.Locale.ROOT);
    int at = lower.indexOf("content-length: ") + 16;
    int length = Integer.parseInt(lower.substring(at, lower.indexOf("\r\n", at)).trim());
    in.readNBytes(length);
    return head.substring(0, head.indexOf("\r\n"))
        + (lower.contains("retry-after") ? " retry" : "")
        + (lower.contains("connection: close") ? " close" : "");
  }

  @Property(tries = 30, seed = "5")
  void requestsAreAnsweredHoweverTheyAreFragmented(
      @ForAll @IntRange(min = 1, max = 60) int fragmentBytes, @ForAll boolean chunked)
      throws Exception {
    byte[] body = MessagePackCodec.write(java.util.Map.of("Id", "job-000001"));
    ByteArrayOutputStream sent = new ByteArrayOutputStream();
    for (int i = 0; i < 3; i++) {
      sent.write(ascii("GET /work/job-00000" + i + "?x=1 HTTP/1.1\r\nHost: a\r\n\r\n"));
      sent.write(
          ascii(
              "POST /work HTTP/1.1\r\nHost: a\r\n"
                  + (chunked
                      ? "Transfer-Encoding: chunked\r\n\r\n"
                          + Integer.toHexString(body.length)
                          + "\r\n"
                      : "Content-Length: " + body.length + "\r\n\r\n")));
      sent.write(body);
      sent.write(ascii(chunked ? "\r\n0\r\n\r\n" : ""));
    }
    try (Socket socket = new Socket("127.0.0.1", port)) {
      socket.setTcpNoDelay(true);
      byte[] all = sent.toByteArray();
      for (int at = 0; at < all.length; at += fragmentBytes) {
        socket.getOutputStream().write(all, at, Math.min(fragmentBytes, all.length - at));
      }
      for (int i = 0; i < 3; i++) {
        assertEquals("HTTP/1.1 200 OK", readResponse(socket.getInputStream()));
        assertEquals(
            "HTTP/1.1 503 Service Unavailable retry", readResponse(socket.getInputStream()));
      }
    }
  }

  private static String exchange(String request, int padding) throws Exception {
    try (Socket socket = new Socket("127.0.0.1", port)) {
      try {
        socket.getOutputStream().write(ascii(request));
        socket.getOutputStream().write(new byte[padding]);
      } catch (IOException e) {
        // The server may refuse the request and close before all of it is written.
      }
      String first = readResponse(socket.getInputStream());
      return first.endsWith("close") ? first + " " + readResponse(socket.getInputStream()) : first;
    }
  }

  @Example
  void invalidRequestsAreRefusedAndTheConnectionIsClosed() throws Exception {
    assertEquals("HTTP/1.1 400 Bad Request close closed", exchange("nonsense\r\n\r\n", 0));
    assertEquals(
        "HTTP/1.1 400 Bad Request close closed",
        exchange("POST /work HTTP/1.1\r\nHost: a\r\nContent-Length: 300000\r\n\r\n", 300_000));
    assertEquals(
        "HTTP/1.1 400 Bad Request close closed",
        exchange(
            "POST /work HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n50000\r\n",
            0x50000));
    assertTrue(
        exchange("GET /work/job-1 HTTP/1.1\r\nHost: a\r\nX: " + "y".repeat(20_000) + "\r\n\r\n", 0)
            .startsWith("HTTP/1.1 431"));
    assertEquals(
        "HTTP/1.1 200 OK close closed",
        exchange("GET /work/job-1 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n", 0));
    assertEquals("HTTP/1.1 200 OK", exchange("GET /ready HTTP/1.1\r\nHost: a\r\n\r\n", 0));
  }

  @Example
  void pathIsReadInEveryFormOfTheRequestTarget() throws Exception {
    for (String target :
        List.of(
            "/work/job-000001",
            "/work/job%2D000001",
            "/%77ork/job-000001?x=%20",
            "http://a/work/job-000001",
            "http://a:80/work/job%2d000001?x=1")) {
      assertEquals(
          "HTTP/1.1 200 OK", exchange("GET " + target + " HTTP/1.1\r\nhOST: a\r\n\r\n", 0), target);
    }
    for (String target : List.of("/work/job%2", "http:", "*", "/work/%00")) {
      String answer = exchange("GET " + target + " HTTP/1.1\r\nHost: a\r\n\r\n", 0);
      assertTrue(answer.startsWith("HTTP/1.1 4"), target + ": " + answer);
    }
  }

  /**
   * Guards against many large bodies that together exhaust the memory of a small machine. A body
   * beyond the limit is refused, and requests within the limit are still answered.
   */
  @Example
  void bufferedBodiesStayWithinTheLimit() throws Exception {
    HttpRequestRouter limitedRouter =
        new HttpRequestRouter(ServerConnectionTest::answer, () -> false, () -> 0, 20_000);
    int limitedPort = limitedRouter.listen(sockets, "127.0.0.1", 0, budgetFor(8));
    String head = "POST /work HTTP/1.1\r\nHost: a\r\nContent-Length: 10000\r\n\r\n";
    for (int round = 0; round < 3; round++) {
      try (Socket one = new Socket("127.0.0.1", limitedPort);
          Socket two = new Socket("127.0.0.1", limitedPort);
          Socket three = new Socket("127.0.0.1", limitedPort)) {
        for (Socket socket : List.of(one, two)) {
          socket.getOutputStream().write(ascii(head));
          socket.getOutputStream().write(new byte[9_000]);
        }
        // By the second answer the selector has read all input that came before the first request.
        for (int i = 0; i < 3; i++) {
          exchange("GET /ready HTTP/1.1\r\nHost: a\r\n\r\n", 0);
        }
        three.getOutputStream().write(ascii(head));
        three.getOutputStream().write(new byte[9_000]);
        assertEquals(
            "HTTP/1.1 503 Service Unavailable retry close", readResponse(three.getInputStream()));
        for (Socket socket : List.of(one, two)) {
          socket.getOutputStream().write(new byte[1_000]);
          assertEquals("HTTP/1.1 400 Bad Request", readResponse(socket.getInputStream()));
        }
      }
    }
  }

  /**
   * A connection above the limit is closed at once. After other connections have ended, new ones
   * are accepted again, in every round.
   */
  @Example
  void connectionsAreLimited() throws Exception {
    int limitedPort = router.listen(sockets, "127.0.0.1", 0, budgetFor(3));
    for (int round = 0; round < 20; round++) {
      List<Socket> open = new ArrayList<>();
      try {
        while (open.size() < 3) {
          // The server may not have seen the closes of the previous round yet.
          Socket socket = new Socket("127.0.0.1", limitedPort);
          if (isAnswered(socket)) {
            open.add(socket);
          } else {
            socket.close();
          }
        }
        try (Socket late = new Socket("127.0.0.1", limitedPort)) {
          assertFalse(isAnswered(late));
        }
        assertTrue(isAnswered(open.get(0)));
      } finally {
        for (Socket socket : open) {
          socket.close();
        }
      }
    }
  }

  private static boolean isAnswered(Socket socket) {
    try {
      socket.getOutputStream().write(ascii("GET /ready HTTP/1.1\r\nHost: a\r\n\r\n"));
      return readResponse(socket.getInputStream()).equals("HTTP/1.1 200 OK");
    } catch (IOException e) {
      return false;
    }
  }

  /** A worker address with a host name must not cause a DNS lookup. */
  @Example
  void hostNamesAreNotResolved() {
    assertTrue(new Destination("no.such.name.example:9000").socketAddress.isUnresolved());
    assertTrue(new Destination("added.cafe:9000").socketAddress.isUnresolved());
    assertFalse(new Destination("10.0.0.1:9000").socketAddress.isUnresolved());
    assertFalse(new Destination("[::1]:9000").socketAddress.isUnresolved());
  }
}
