package org.eiderstair.http;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.SelectableChannel;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.function.Consumer;
import org.eclipse.jetty.io.ArrayByteBufferPool;
import org.eclipse.jetty.io.ClientConnectionFactory;
import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.SelectorManager;
import org.eclipse.jetty.io.Transport;
import org.eclipse.jetty.util.Promise;
import org.eclipse.jetty.util.ssl.SslContextFactory;
import org.eclipse.jetty.util.thread.ScheduledExecutorScheduler;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * All sockets of this node, inbound and outbound, on one Jetty client connector with a single
 * selector and therefore one thread. Jetty's server connector needs a whole server, whose start
 * takes 0.15 s of processor time.
 */
public final class Sockets extends ClientConnector {
  private static final int BACKLOG = 256;
  private static final int MAX_POOLED_BYTES = 1 << 20;
  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(1500);
  private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(90);

  /**
   * Loads no certificates, because all connections use plain HTTP. Reading the system's
   * certificates would take a considerable part of the start time.
   */
  private static final class NoTls extends SslContextFactory.Client {
    @Override
    protected void doStart() {
      // No certificates are loaded.
    }
  }

  /**
   * A port that this node listens on. A connection beyond the budget is accepted and then closed.
   * Pausing the port instead is not safe: a connection that ends at the same moment could register
   * the port twice, and the connector would then close the port permanently.
   */
  private record Port(
      ServerSocketChannel channel,
      ServerConnection.RequestProcessor processor,
      ConnectionBudget budget) {}

  private final Map<Integer, Port> ports = new ConcurrentHashMap<>();
  private final ScheduledExecutorScheduler timer;

  /** Starts the connector; the executor runs the selector and the connections' callbacks. */
  public Sockets(Executor executor) throws Exception {
    // The scheduler's default executor builds thread names by string concatenation. Setting that up
    // in the JVM takes 6 ms of the start.
    ScheduledThreadPoolExecutor timers = new ScheduledThreadPoolExecutor(1, Sockets::timerThread);
    timers.setRemoveOnCancelPolicy(true);
    timer = new ScheduledExecutorScheduler(timers);
    timer.start();
    setSelectors(1);
    setExecutor(executor);
    setScheduler(timer);
    setByteBufferPool(
        new ArrayByteBufferPool(0, 4096, 65536, 32, MAX_POOLED_BYTES, MAX_POOLED_BYTES));
    setSslContextFactory(new NoTls());
    setConnectTimeout(CONNECT_TIMEOUT);
    setIdleTimeout(IDLE_TIMEOUT);
    start();
  }

  private static Thread timerThread(Runnable work) {
    Thread thread = new Thread(work, "timer");
    thread.setDaemon(true);
    return thread;
  }

  /**
   * Listens on an address, for as many connections as the budget allows.
   *
   * @param number the port; 0 lets the system choose one
   * @return the port that was bound
   */
  int listen(
      String host, int number, ConnectionBudget budget, ServerConnection.RequestProcessor processor)
      throws IOException {
    ServerSocketChannel channel = ServerSocketChannel.open();
    channel.setOption(StandardSocketOptions.SO_REUSEADDR, true);
    channel.configureBlocking(false);
    channel.bind(new InetSocketAddress(host, number), BACKLOG);
    addBean(channel);
    int bound = ((InetSocketAddress) channel.getLocalAddress()).getPort();
    ports.put(bound, new Port(channel, processor, budget));
    getSelectorManager().acceptor(channel);
    return bound;
  }

  /** Opens a connection; {@code failed} receives the cause if the connection cannot be made. */
  void connect(
      SocketAddress address, ClientConnectionFactory connections, Consumer<Throwable> failed) {
    connect(address, context(connections, failed));
  }

  private static Map<String, Object> context(
      ClientConnectionFactory connections, Consumer<Throwable> failed) {
    Map<String, Object> context = new HashMap<>();
    context.put(Transport.CONTEXT_KEY, Transport.TCP_IP);
    context.put(ClientConnectionFactory.CONTEXT_KEY, connections);
    context.put(
        CONNECTION_PROMISE_CONTEXT_KEY,
        new Promise<Connection>() {
          @Override
          public void failed(Throwable cause) {
            failed.accept(cause);
          }
        });
    return context;
  }

  @Override
  protected SelectorManager newSelectorManager() {
    return new SocketSelectorManager(getExecutor(), getScheduler());
  }

  private final class SocketSelectorManager extends ClientSelectorManager {
    SocketSelectorManager(Executor executor, Scheduler scheduler) {
      super(executor, scheduler, 1);
    }

    /** Counts an inbound connection, for which one that was never used may have to give way. */
    private boolean openInbound(Port port) {
      if (port.budget.tryOpenInbound()) {
        return true;
      }
      if (!port.processor.intake().closeUnusedConnection()) {
        return false;
      }
      port.budget.replaceInbound();
      return true;
    }

    @Override
    protected void accepted(SelectableChannel channel) throws IOException {
      int number = ((InetSocketAddress) ((SocketChannel) channel).getLocalAddress()).getPort();
      Port port = ports.get(number);
      if (!openInbound(port)) {
        channel.close();
        return;
      }
      Sockets.this.accept(
          channel,
          context(
              (endPoint, unused) ->
                  new ServerConnection(endPoint, getExecutor(), port.processor, port.budget),
              cause -> port.budget.closeInbound(ConnectionBudget.InboundUse.USER)));
    }
  }

  @Override
  protected void doStop() throws Exception {
    for (Port port : ports.values()) {
      port.channel.close();
    }
    super.doStop();
    timer.stop();
  }
}
