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

  /** One for the selector and one for other work; nothing that runs there blocks. */
  private static final int THREADS = 2;

  /** The part of the heap for request bodies: a decoded one takes several times its size. */
  private static final int HELD_BYTES_DIVISOR = 16;

  private final ExecutorService threads;
  private final Sockets sockets;
  private final Thread coreThread;
  private final int port;

  public Node(NodeConfig config) throws Exception {
    threads = Executors.newFixedThreadPool(THREADS, Node::ioThread);
    CoreLoop loop = new CoreLoop();
    LOG.info("node {} starts", config.settings().node());
    sockets = new Sockets(threads);
    HttpRequestRouter inbound =
        new HttpRequestRouter(
            loop::offer,
            loop::isBehind,
            CoreLoop::nowMicros,
            (int) (Runtime.getRuntime().maxMemory() / HELD_BYTES_DIVISOR));
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
    // Runs of one node differ in their time or their process; nothing here needs to be hard to
    // guess.
    long time = System.currentTimeMillis();
    long process = ProcessHandle.current().pid();
    String runId =
        Long.toHexString(time) + "-" + process + "-" + Long.toHexString(System.nanoTime());
    var random =
        new XoRoShiRo128PlusPlus(
            time ^ config.settings().node().hashCode(), (System.nanoTime() ^ process) | 1);
    Core core =
        new Core(
            config.settings(),
            runId,
            time * 1000 - CoreLoop.nowMicros(),
            random::nextInt,
            loop::effect);
    loop.attach(core, effect -> execute(effect, loop, outbound, inbound));
    loop.timeouts(outbound::expire);
    loop.refusedConnections(budget::takeRefusals);
    loop.refuseLate(inbound::refuseIfLate);
    coreThread = new Thread(null, loop, "core", 512 * 1024);
    coreThread.start();
    port = inbound.listen(sockets, config.bindHost(), config.bindPort(), budget);
    inbound.listenForPeers(sockets, config.peerHost(), config.peerPort());
    LOG.info("node {} listens on port {}", config.settings().node(), port);
  }

  /**
   * Sends a request or an answer. Deadlines are checked again here: on a small machine seconds may
   * lie between a decision and its effect.
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

  private static Thread ioThread(Runnable work) {
    Thread thread = new Thread(work, "io");
    thread.setDaemon(true);
    return thread;
  }

  /** The port that users and workers reach, when the settings left the choice to the system. */
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
      throw new IllegalStateException("the sockets do not close", e);
    } finally {
      threads.shutdownNow();
    }
  }
}
