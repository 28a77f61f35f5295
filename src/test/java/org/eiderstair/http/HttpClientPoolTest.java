package org.eiderstair.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import net.jqwik.api.Example;
import org.eiderstair.core.message.Reply;
import org.eiderstair.core.message.Request;
import org.eiderstair.core.model.FencingToken;

/** Connections to workers between two commands are bounded, however many machines there are. */
class HttpClientPoolTest {
  private static final int WORKERS = 60;
  private static final int MAX_IDLE = 10;

  @Example
  void idleConnectionsAreBoundedAndNothingIsLost() throws Exception {
    ExecutorService threads = Executors.newCachedThreadPool();
    AtomicInteger open = new AtomicInteger();
    Map<Long, Reply> replies = new ConcurrentHashMap<>();
    try (ServerSocket server = new ServerSocket(0, 200, InetAddress.getByName("0.0.0.0"))) {
      threads.execute(() -> serve(server, threads, open));
      Sockets sockets = new Sockets(threads);
      CountDownLatch[] round = {new CountDownLatch(WORKERS)};
      HttpClientPool outbound =
          new HttpClientPool(
              sockets,
              "127.0.0.1:1",
              "127.0.0.1:2",
              Map.of(),
              new ConnectionBudget(Integer.MAX_VALUE, 0, 0, MAX_IDLE),
              () -> System.nanoTime() / 1000,
              (call, reply) -> {
                replies.put(call, reply);
                round[0].countDown();
              });
      long call = 0;
      for (int times = 0; times < 3; times++) {
        round[0] = new CountDownLatch(WORKERS);
        for (int i = 0; i < WORKERS; i++) {
          outbound.send(
              ++call,
              new Request.WorkerCommands(
                  "127.0.0." + (2 + i) + ":" + server.getLocalPort(),
                  new FencingToken(1),
                  1,
                  List.of()));
        }
        assertTrue(round[0].await(20, TimeUnit.SECONDS));
      }
      assertEquals(3 * WORKERS, replies.size());
      replies.values().forEach(r -> assertEquals(new Reply.Refused(400), r));
      for (int i = 0; i < 400 && open.get() > MAX_IDLE; i++) {
        Thread.sleep(10);
      }
      assertTrue(open.get() <= MAX_IDLE, "open " + open.get());
      sockets.stop();
    } finally {
      threads.shutdownNow();
    }
  }

  /** A share of ten sockets for commands to sixty workers at once: they wait, and none fails. */
  @Example
  void commandsWaitForASocketOfTheirShare() throws Exception {
    int share = 10;
    ExecutorService threads = Executors.newCachedThreadPool();
    AtomicInteger open = new AtomicInteger();
    AtomicInteger maxOpen = new AtomicInteger();
    CountDownLatch answered = new CountDownLatch(3 * WORKERS);
    Map<Long, Reply> replies = new ConcurrentHashMap<>();
    ConnectionBudget budget = new ConnectionBudget(2 * share, 0, share, 2 * share);
    for (int i = 0; i < share; i++) {
      assertTrue(budget.openInbound());
      budget.becomeHeartbeat();
    }
    try (ServerSocket server = new ServerSocket(0, 200, InetAddress.getByName("0.0.0.0"))) {
      threads.execute(() -> serve(server, threads, open, maxOpen));
      Sockets sockets = new Sockets(threads);
      HttpClientPool outbound =
          new HttpClientPool(
              sockets,
              "127.0.0.1:1",
              "127.0.0.1:2",
              Map.of(),
              budget,
              () -> System.nanoTime() / 1000,
              (call, reply) -> {
                replies.put(call, reply);
                answered.countDown();
              });
      for (long call = 1; call <= 3 * WORKERS; call++) {
        String address = "127.0.0." + (2 + call % WORKERS) + ":" + server.getLocalPort();
        outbound.send(call, new Request.WorkerCommands(address, new FencingToken(1), 1, List.of()));
      }
      assertTrue(answered.await(20, TimeUnit.SECONDS));
      replies.values().forEach(r -> assertEquals(new Reply.Refused(400), r));
      // The server sees the end of a connection a little after this side, which then opens another.
      assertTrue(maxOpen.get() <= 2 * share, "open at once " + maxOpen.get());
      sockets.stop();
    } finally {
      threads.shutdownNow();
    }
  }

  private static void serve(ServerSocket server, ExecutorService threads, AtomicInteger open) {
    serve(server, threads, open, new AtomicInteger());
  }

  /** Answers every request alike. */
  private static void serve(
      ServerSocket server, ExecutorService threads, AtomicInteger open, AtomicInteger maxOpen) {
    while (!server.isClosed()) {
      try {
        Socket socket = server.accept();
        maxOpen.accumulateAndGet(open.incrementAndGet(), Math::max);
        threads.execute(
            () -> {
              try (socket;
                  InputStream in = socket.getInputStream()) {
                byte[] buffer = new byte[4096];
                while (in.read(buffer) > 0) {
                  socket
                      .getOutputStream()
                      .write(
                          "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n"
                              .getBytes(StandardCharsets.UTF_8));
                }
              } catch (Exception ended) {
                // The other side closed it.
              } finally {
                open.decrementAndGet();
              }
            });
      } catch (Exception closed) {
        return;
      }
    }
  }
}
