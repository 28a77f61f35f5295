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

/** Tests the limits on connections to workers, with more workers than connections. */
class HttpClientPoolTest {
  private static final int WORKERS = 60;
  private static final int MAX_IDLE_CONNECTIONS = 10;

  /** Three rounds of commands to 60 workers: all are answered, and at most 10 connections stay. */
  @Example
  void idleConnectionsAreLimitedAndEveryRequestIsAnswered() throws Exception {
    ExecutorService threads = Executors.newCachedThreadPool();
    AtomicInteger open = new AtomicInteger();
    Map<Long, Reply> replies = new ConcurrentHashMap<>();
    try (ServerSocket server = new ServerSocket(0, 200, InetAddress.getByName("0.0.0.0"))) {
      threads.execute(() -> serve(server, threads, open));
      Sockets sockets = new Sockets(threads);
      CountDownLatch[] round = {new CountDownLatch(WORKERS)};
      HttpClientPool pool =
          new HttpClientPool(
              sockets,
              "127.0.0.1:1",
              "127.0.0.1:2",
              Map.of(),
              new ConnectionBudget(Integer.MAX_VALUE, 0, 0, MAX_IDLE_CONNECTIONS),
              () -> System.nanoTime() / 1000,
              (callId, reply) -> {
                replies.put(callId, reply);
                round[0].countDown();
              });
      long callId = 0;
      for (int repetition = 0; repetition < 3; repetition++) {
        round[0] = new CountDownLatch(WORKERS);
        for (int i = 0; i < WORKERS; i++) {
          pool.send(
              ++callId,
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
      for (int i = 0; i < 400 && open.get() > MAX_IDLE_CONNECTIONS; i++) {
        Thread.sleep(10);
      }
      assertTrue(open.get() <= MAX_IDLE_CONNECTIONS, "open " + open.get());
      sockets.stop();
    } finally {
      threads.shutdownNow();
    }
  }

  /**
   * Commands to 60 workers at once have a share of 10 sockets. Requests wait for a socket, and none
   * fails.
   */
  @Example
  void commandsWaitForASocketInTheirShare() throws Exception {
    int share = 10;
    ExecutorService threads = Executors.newCachedThreadPool();
    AtomicInteger open = new AtomicInteger();
    AtomicInteger maxOpen = new AtomicInteger();
    CountDownLatch answered = new CountDownLatch(3 * WORKERS);
    Map<Long, Reply> replies = new ConcurrentHashMap<>();
    ConnectionBudget budget = new ConnectionBudget(2 * share, 0, share, 2 * share);
    for (int i = 0; i < share; i++) {
      assertTrue(budget.tryOpenInbound());
      budget.countAsHeartbeat();
    }
    try (ServerSocket server = new ServerSocket(0, 200, InetAddress.getByName("0.0.0.0"))) {
      threads.execute(() -> serve(server, threads, open, maxOpen));
      Sockets sockets = new Sockets(threads);
      HttpClientPool pool =
          new HttpClientPool(
              sockets,
              "127.0.0.1:1",
              "127.0.0.1:2",
              Map.of(),
              budget,
              () -> System.nanoTime() / 1000,
              (callId, reply) -> {
                replies.put(callId, reply);
                answered.countDown();
              });
      for (long callId = 1; callId <= 3 * WORKERS; callId++) {
        String address = "127.0.0." + (2 + callId % WORKERS) + ":" + server.getLocalPort();
        pool.send(callId, new Request.WorkerCommands(address, new FencingToken(1), 1, List.of()));
      }
      assertTrue(answered.await(20, TimeUnit.SECONDS));
      replies.values().forEach(r -> assertEquals(new Reply.Refused(400), r));
      // The server sees the end of a connection later than the pool. By then, the pool may have
      // opened another connection.
      assertTrue(maxOpen.get() <= 2 * share, "open at once " + maxOpen.get());
      sockets.stop();
    } finally {
      threads.shutdownNow();
    }
  }

  private static void serve(ServerSocket server, ExecutorService threads, AtomicInteger open) {
    serve(server, threads, open, new AtomicInteger());
  }

  /** Answers every request with status 400, until the server is closed. */
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
                // The pool closed the connection.
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
