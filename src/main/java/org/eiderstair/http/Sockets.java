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
 * All sockets of this node on one of Jetty's connectors, with one selector and so one thread: those
 * that others open as well as those that this node opens. Jetty's connector for servers brings a
 * whole server with it, whose start cost 0.15 s of processor time.
 */
public final class Sockets extends ClientConnector {
  private static final int BACKLOG = 256;
  private static final int POOLED_BYTES = 1 << 20;
  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(1500);
  private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(90);

  /**
   * Everything here speaks plain HTTP: reading the system's certificates would cost a good part of
   * a start.
   */
  private static final class NoTls extends SslContextFactory.Client {
    @Override
    protected void doStart() {
      // Nothing to load.
    }
  }

  /**
   * A port that others connect to. A connection beyond the budget is accepted and closed: were the
   * port not listened to for a while, a connection that ends in the same moment could make it
   * register twice, and the connector would then close it for good.
   */
  private record Port(
      ServerSocketChannel channel, ServerConnection.Requests requests, ConnectionBudget budget) {}

  private final Map<Integer, Port> ports = new ConcurrentHashMap<>();
  private final ScheduledExecutorScheduler timer;

  public Sockets(Executor executor) throws Exception {
    // Its own executor would name threads by text that the JVM first has to learn to join: 6 ms of
    // a start.
    ScheduledThreadPoolExecutor timers = new ScheduledThreadPoolExecutor(1, Sockets::timerThread);
    timers.setRemoveOnCancelPolicy(true);
    timer = new ScheduledExecutorScheduler(timers);
    timer.start();
    setSelectors(1);
    setExecutor(executor);
    setScheduler(timer);
    setByteBufferPool(new ArrayByteBufferPool(0, 4096, 65536, 32, POOLED_BYTES, POOLED_BYTES));
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
   * Listens on an address, for as many connections as the budget allows; says on which port, if the
   * system chose it.
   */
  int listen(String host, int number, ConnectionBudget budget, ServerConnection.Requests requests)
      throws IOException {
    ServerSocketChannel channel = ServerSocketChannel.open();
    channel.setOption(StandardSocketOptions.SO_REUSEADDR, true);
    channel.configureBlocking(false);
    channel.bind(new InetSocketAddress(host, number), BACKLOG);
    addBean(channel);
    int bound = ((InetSocketAddress) channel.getLocalAddress()).getPort();
    ports.put(bound, new Port(channel, requests, budget));
    getSelectorManager().acceptor(channel);
    return bound;
  }

  /** Opens a connection; {@code failed} receives the cause if that fails. */
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
          public void failed(Throwable why) {
            failed.accept(why);
          }
        });
    return context;
  }

  @Override
  protected SelectorManager newSelectorManager() {
    return new Manager(getExecutor(), getScheduler());
  }

  private final class Manager extends ClientSelectorManager {
    Manager(Executor executor, Scheduler scheduler) {
      super(executor, scheduler, 1);
    }

    @Override
    protected void accepted(SelectableChannel channel) throws IOException {
      int number = ((InetSocketAddress) ((SocketChannel) channel).getLocalAddress()).getPort();
      Port port = ports.get(number);
      if (!port.budget.openInbound()) {
        channel.close();
        return;
      }
      Sockets.this.accept(
          channel,
          context(
              (endPoint, unused) ->
                  new ServerConnection(endPoint, getExecutor(), port.requests, port.budget),
              why -> port.budget.closeInbound(ConnectionBudget.InboundUse.USER)));
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
