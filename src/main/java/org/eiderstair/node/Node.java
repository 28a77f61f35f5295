package org.eiderstair.node;

import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.apache.commons.rng.core.source64.XoRoShiRo128PlusPlus;
import org.eiderstair.config.NodeConfig;
import org.eiderstair.core.Core;
import org.eiderstair.core.message.Effect;
import org.eiderstair.core.message.Event;
import org.eiderstair.http.ConnectionBudget;
import org.eiderstair.http.HttpClientPool;
import org.eiderstair.http.HttpRequestRouter;
import org.eiderstair.http.Sockets;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** A running controller: the core with its thread, sockets and timers. */
public final class Node implements AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger("eiderstair");

  /** One thread for the selector and one for other tasks; no task blocks. */
  private static final int IO_THREADS = 2;

  /**
   * Request bodies may take the heap size divided by this number, because a decoded body takes
   * several times its size.
   */
  private static final int REQUEST_BODIES_HEAP_DIVISOR = 16;

  private final ExecutorService threads;
  private final Sockets sockets;
  private final Thread coreThread;
  private final int port;

  /** Starts a controller: the core's thread, then the ports for users, workers and peers. */
  public Node(NodeConfig config) throws Exception {
    threads = Executors.newFixedThreadPool(IO_THREADS, Node::ioThread);
    CoreLoop loop = new CoreLoop();
    LOG.info("node starting: node={}", config.settings().node());
    sockets = new Sockets(threads);
    HttpRequestRouter inbound =
        new HttpRequestRouter(
            loop::offer,
            loop::isBehind,
            CoreLoop::nowMicros,
            (int) (Runtime.getRuntime().maxMemory() / REQUEST_BODIES_HEAP_DIVISOR));
    ConnectionBudget budget = ConnectionBudget.of(config.maxConnections());
    HttpClientPool outbound =
        new HttpClientPool(
            sockets,
            config.stateAddress(),
            config.cloudAddress(),
            config.peerAddresses(),
            budget,
            CoreLoop::nowMicros,
            (call, reply) -> loop.offer(new Event.ReplyReceived(call, reply)));
    // Two runs of one node differ in time or process id. Neither the run id nor the random
    // numbers need to be hard to guess.
    long startMillis = System.currentTimeMillis();
    long processId = ProcessHandle.current().pid();
    String runId =
        Long.toHexString(startMillis) + "-" + processId + "-" + Long.toHexString(System.nanoTime());
    var random =
        new XoRoShiRo128PlusPlus(
            startMillis ^ config.settings().node().hashCode(), (System.nanoTime() ^ processId) | 1);
    Core core =
        new Core(
            config.settings(),
            runId,
            startMillis * 1000 - CoreLoop.nowMicros(),
            random::nextInt,
            loop::execute);
    core.setDebugEnabled(CoreLoop.isDebugEnabled());
    loop.attach(core, effect -> execute(effect, loop, outbound, inbound));
    loop.setTimeoutCheck(
        nowMicros -> {
          outbound.expire(nowMicros);
          inbound.closeSlowConnections(nowMicros);
        });
    loop.setRefusedConnectionCounter(budget::takeRefusals);
    loop.setRefusedMessageCounter(() -> inbound.takeRefusals() + " " + outbound.takeRefusals());
    loop.setLateEventFilter(inbound::refuseIfLate);
    coreThread = new Thread(null, loop, "core", 512 * 1024);
    coreThread.start();
    port = inbound.listen(sockets, config.bindHost(), config.bindPort(), budget);
    inbound.listenForPeers(sockets, config.peerHost(), config.peerPort());
    LOG.info(
        "node listening for users and workers: node={} port={}", config.settings().node(), port);
  }

  /**
   * Sends a request or an answer. Deadlines are checked again here, because on a small machine
   * seconds may pass between a decision and its effect.
   */
  private static void execute(
      Effect effect, CoreLoop loop, HttpClientPool outbound, HttpRequestRouter inbound) {
    long now = CoreLoop.nowMicros();
    if (effect instanceof Effect.Call call) {
      if (call.isExpired(now)) {
        loop.offer(new Event.ReplyReceived(call.callId(), Effect.Call.EXPIRED));
      } else {
        outbound.send(call.callId(), call.request());
      }
    } else if (effect instanceof Effect.Respond respond) {
      inbound.respond(respond.exchange(), respond.answerAt(now));
    }
  }

  private static Thread ioThread(Runnable task) {
    Thread thread = new Thread(task, "io");
    thread.setDaemon(true);
    return thread;
  }

  /**
   * Returns the port for users and workers, which the system chooses if the settings give port 0.
   */
  public int port() {
    return port;
  }

  /** Waits until the controller is closed. */
  public void join() throws InterruptedException {
    coreThread.join();
  }

  @Override
  public void close() {
    coreThread.interrupt();
    try {
      sockets.stop();
    } catch (Exception e) {
      throw new IllegalStateException("cannot close the sockets of this node", e);
    } finally {
      threads.shutdownNow();
    }
  }
}
