package org.eiderstair.node;

import org.apache.commons.rng.core.source64.XoRoShiRo128PlusPlus;
import org.eclipse.jetty.io.ArrayByteBufferPool;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.NetworkConnectionLimit;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.eclipse.jetty.util.thread.ScheduledExecutorScheduler;
import org.eiderstair.config.NodeConfig;
import org.eiderstair.core.Core;
import org.eiderstair.core.Effect;
import org.eiderstair.core.Event;
import org.eiderstair.http.Inbound;
import org.eiderstair.http.Outbound;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** A running controller: the core with sockets and timers round it. */
public final class Node implements AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger("eiderstair");
  private static final int THREADS = 8;
  private static final int KEPT_SOCKETS = 200;
  private static final long IDLE_MS = 120_000;

  private final Server server;
  private final Outbound outbound;
  private final Thread coreThread;
  private final ServerConnector connector;

  public Node(NodeConfig config) throws Exception {
    QueuedThreadPool threads = new QueuedThreadPool(THREADS, 4);
    threads.setName("io");
    threads.setReservedThreads(0);
    ScheduledExecutorScheduler scheduler = new ScheduledExecutorScheduler("timer", false);
    ArrayByteBufferPool buffers = new ArrayByteBufferPool(0, 4096, 65536, 32);
    CoreLoop loop = new CoreLoop();
    LOG.info("node {} starts", config.settings().node());

    server = new Server(threads, scheduler, buffers);
    server.setStopTimeout(0);
    HttpConfiguration http = new HttpConfiguration();
    http.setSendServerVersion(false);
    http.setSendDateHeader(false);
    http.setOutputBufferSize(4096);
    http.setRequestHeaderSize(4096);
    // Each connection would keep a table of its own of 100 KB: more than the machine has, with one worker on each.
    http.setHeaderCacheSize(0);
    http.setIdleTimeout(0);
    connector = connector(http, scheduler, buffers, config.bindHost(), config.bindPort());
    ServerConnector peers = connector(http, scheduler, buffers, config.peerHost(), config.peerPort());
    peers.setName(Inbound.PEER);
    if (config.maxConnections() > KEPT_SOCKETS) {
      // Sockets for the state service, the cloud, workers and peers must be left when users take all others.
      server.addBean(new NetworkConnectionLimit(config.maxConnections() - KEPT_SOCKETS, connector));
    }
    Inbound inbound = new Inbound(loop::offer);
    server.setHandler(inbound);
    server.start();
    LOG.info("node {} listens on port {}", config.settings().node(), connector.getLocalPort());

    outbound = new Outbound(config.stateAddress(), config.cloudAddress(), config.peerAddresses(), threads,
        scheduler, buffers, (call, reply) -> loop.offer(new Event.Replied(call, reply)));
    // Runs of one node differ in their time or their process; nothing here needs to be hard to guess.
    long time = System.currentTimeMillis();
    long process = ProcessHandle.current().pid();
    String incarnation = Long.toHexString(time) + "-" + process + "-" + Long.toHexString(System.nanoTime());
    var random = new XoRoShiRo128PlusPlus(time ^ config.settings().node().hashCode(), System.nanoTime() ^ process | 1);
    Core core = new Core(config.settings(), incarnation, time * 1000 - CoreLoop.nowMicros(), random::nextInt,
        loop::effect);
    loop.attach(core, effect -> {
      if (effect instanceof Effect.Call call) {
        outbound.send(call.call(), call.request());
      } else if (effect instanceof Effect.Respond respond) {
        inbound.respond(respond.exchange(), respond.answer());
      }
    });
    coreThread = new Thread(null, loop, "core", 512 * 1024);
    coreThread.start();
  }

  private ServerConnector connector(HttpConfiguration http, ScheduledExecutorScheduler scheduler,
      ArrayByteBufferPool buffers, String host, int port) {
    ServerConnector made = new ServerConnector(server, null, scheduler, buffers, 0, 1, new HttpConnectionFactory(http));
    made.setHost(host);
    made.setPort(port);
    made.setIdleTimeout(IDLE_MS);
    made.setAcceptQueueSize(256);
    server.addConnector(made);
    return made;
  }

  /** The port that users and workers reach, when the settings left the choice to the system. */
  public int port() {
    return connector.getLocalPort();
  }

  public void join() throws InterruptedException {
    coreThread.join();
  }

  @Override
  public void close() throws Exception {
    coreThread.interrupt();
    outbound.close();
    server.stop();
  }
}
