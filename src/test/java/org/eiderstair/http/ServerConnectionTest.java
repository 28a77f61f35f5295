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

/** Requests over real sockets, however they are cut, and whatever is wrong with them. */
class ServerConnectionTest {
  private static final int HELD = 1_000_000;
  private static ExecutorService threads;
  private static Sockets sockets;
  private static HttpRequestRouter inbound;
  private static int port;

  @BeforeContainer
  static void start() throws Exception {
    threads = Executors.newFixedThreadPool(2);
    sockets = new Sockets(threads);
    inbound = new HttpRequestRouter(ServerConnectionTest::event, () -> false, () -> 0, HELD);
    port = inbound.listen(sockets, "127.0.0.1", 0, bounded(1000));
  }

  @AfterContainer
  static void stop() throws Exception {
    sockets.stop();
    threads.shutdownNow();
  }

  private static void event(Event event) {
    if (event instanceof Event.Poll poll) {
      inbound.respond(poll.exchange(), new Answer.JobView(200, poll.id(), Answer.Phase.DONE, 3, 0));
    } else if (event instanceof Event.Submit submit) {
      inbound.respond(submit.exchange(), new Answer.Failure(503, "no", 1));
    } else if (event instanceof Event.ReadyProbe probe) {
      inbound.respond(probe.exchange(), new Answer.Ready(true));
    }
  }

  /** Room for so many inbound connections, whatever they are used for. */
  private static ConnectionBudget bounded(int connections) {
    return new ConnectionBudget(connections, 0, 0, 0);
  }

  private static byte[] ascii(String text) {
    return text.getBytes(StandardCharsets.US_ASCII);
  }

  /** One response: its status line, and its body as text. */
  private static String response(InputStream in) throws IOException {
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
  void aRequestMayComeInAnyPieces(
      @ForAll @IntRange(min = 1, max = 60) int piece, @ForAll boolean chunked) throws Exception {
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
      for (int at = 0; at < all.length; at += piece) {
        socket.getOutputStream().write(all, at, Math.min(piece, all.length - at));
      }
      for (int i = 0; i < 3; i++) {
        assertEquals("HTTP/1.1 200 OK", response(socket.getInputStream()));
        assertEquals("HTTP/1.1 503 Service Unavailable retry", response(socket.getInputStream()));
      }
    }
  }

  private static String ask(String request, int padding) throws Exception {
    try (Socket socket = new Socket("127.0.0.1", port)) {
      try {
        socket.getOutputStream().write(ascii(request));
        socket.getOutputStream().write(new byte[padding]);
      } catch (IOException e) {
        // It may have been refused before all of it was read.
      }
      String first = response(socket.getInputStream());
      return first.endsWith("close") ? first + " " + response(socket.getInputStream()) : first;
    }
  }

  @Example
  void whatIsWrongIsRefusedAndTheConnectionClosed() throws Exception {
    assertEquals("HTTP/1.1 400 Bad Request close closed", ask("nonsense\r\n\r\n", 0));
    assertEquals(
        "HTTP/1.1 400 Bad Request close closed",
        ask("POST /work HTTP/1.1\r\nHost: a\r\nContent-Length: 200000\r\n\r\n", 200_000));
    assertEquals(
        "HTTP/1.1 400 Bad Request close closed",
        ask(
            "POST /work HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n14000\r\n",
            0x14000));
    assertTrue(
        ask("GET /work/job-1 HTTP/1.1\r\nHost: a\r\nX: " + "y".repeat(20_000) + "\r\n\r\n", 0)
            .startsWith("HTTP/1.1 431"));
    assertEquals(
        "HTTP/1.1 200 OK close closed",
        ask("GET /work/job-1 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n", 0));
    assertEquals("HTTP/1.1 200 OK", ask("GET /ready HTTP/1.1\r\nHost: a\r\n\r\n", 0));
  }

  /**
   * Many large bodies at once would be more than a small machine's memory: they are refused, and it
   * lives on.
   */
  @Example
  void bodiesTogetherStayWithinTheirBound() throws Exception {
    HttpRequestRouter tight =
        new HttpRequestRouter(ServerConnectionTest::event, () -> false, () -> 0, 20_000);
    int tightPort = tight.listen(sockets, "127.0.0.1", 0, bounded(8));
    String head = "POST /work HTTP/1.1\r\nHost: a\r\nContent-Length: 10000\r\n\r\n";
    for (int round = 0; round < 3; round++) {
      try (Socket one = new Socket("127.0.0.1", tightPort);
          Socket two = new Socket("127.0.0.1", tightPort);
          Socket three = new Socket("127.0.0.1", tightPort)) {
        for (Socket socket : List.of(one, two)) {
          socket.getOutputStream().write(ascii(head));
          socket.getOutputStream().write(new byte[9_000]);
        }
        // By the second answer the selector has read what came before the first question.
        for (int i = 0; i < 3; i++) {
          ask("GET /ready HTTP/1.1\r\nHost: a\r\n\r\n", 0);
        }
        three.getOutputStream().write(ascii(head));
        three.getOutputStream().write(new byte[9_000]);
        assertEquals(
            "HTTP/1.1 503 Service Unavailable retry close", response(three.getInputStream()));
        for (Socket socket : List.of(one, two)) {
          socket.getOutputStream().write(new byte[1_000]);
          assertEquals("HTTP/1.1 400 Bad Request", response(socket.getInputStream()));
        }
      }
    }
  }

  /**
   * Above the limit a connection is closed at once; as soon as another has ended there is room,
   * again and again.
   */
  @Example
  void connectionsAreBounded() throws Exception {
    int few = inbound.listen(sockets, "127.0.0.1", 0, bounded(3));
    for (int round = 0; round < 20; round++) {
      List<Socket> open = new ArrayList<>();
      try {
        while (open.size() < 3) {
          // The ends of the round before may not have been seen yet.
          Socket socket = new Socket("127.0.0.1", few);
          if (ready(socket)) {
            open.add(socket);
          } else {
            socket.close();
          }
        }
        try (Socket late = new Socket("127.0.0.1", few)) {
          assertFalse(ready(late));
        }
        assertTrue(ready(open.get(0)));
      } finally {
        for (Socket socket : open) {
          socket.close();
        }
      }
    }
  }

  private static boolean ready(Socket socket) {
    try {
      socket.getOutputStream().write(ascii("GET /ready HTTP/1.1\r\nHost: a\r\n\r\n"));
      return response(socket.getInputStream()).equals("HTTP/1.1 200 OK");
    } catch (IOException e) {
      return false;
    }
  }

  /** A worker's address that is a name must not be looked up. */
  @Example
  void namesAreNotLookedUp() {
    assertTrue(new Destination("no.such.name.example:9000").socket.isUnresolved());
    assertTrue(new Destination("added.cafe:9000").socket.isUnresolved());
    assertFalse(new Destination("10.0.0.1:9000").socket.isUnresolved());
    assertFalse(new Destination("[::1]:9000").socket.isUnresolved());
  }
}
