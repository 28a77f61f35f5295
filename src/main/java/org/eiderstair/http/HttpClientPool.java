package org.eiderstair.http;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.LongSupplier;
import org.eiderstair.core.message.Reply;
import org.eiderstair.core.message.Request;
import org.eiderstair.protocol.MalformedMessageException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Carries the core's requests to the state service, the cloud, workers and peers, and reports their
 * replies. Connections are kept by destination, each with one exchange at a time; time limits are
 * checked by the thread that owns the core, which ticks anyhow, so they need no timers.
 */
public final class HttpClientPool implements ClientConnection.Owner {
  private static final Logger LOG = LoggerFactory.getLogger("eiderstair");
  private static final int MAX_CONNECTIONS = 16;
  private static final int MAX_PENDING_REQUESTS = 512;
  private static final long EXPIRE_EVERY_MICROS = 100_000;

  private final Sockets sockets;
  private final String state;
  private final String cloud;
  private final Map<String, String> peers;
  private final RequestRoutes routes;
  private final LongSupplier clock;
  private final BiConsumer<Long, Reply> replies;
  // Guarded by this: the core's thread sends, the selector's thread receives.
  private final Map<String, Destination> destinations = new HashMap<>();
  private final Set<Exchange> inFlight = new LinkedHashSet<>();
  private long nextExpireMicros;

  /**
   * Connections to workers that are kept for the next command, the one idle longest first. Each
   * worker also holds one for heartbeats: with two a machine, 1,600 machines took all sockets on a
   * calm day, and users found none.
   */
  private final Set<ClientConnection> idle = new LinkedHashSet<>();

  /** Destinations whose requests wait for a socket of the commands' share. */
  private final Set<Destination> awaitingSocket = new LinkedHashSet<>();

  private final ConnectionBudget budget;

  /**
   * @param budget bounds the connections to workers
   */
  public HttpClientPool(
      Sockets sockets,
      String stateAddress,
      String cloudAddress,
      Map<String, String> peerAddresses,
      ConnectionBudget budget,
      LongSupplier clock,
      BiConsumer<Long, Reply> replies) {
    this.budget = budget;
    this.sockets = sockets;
    this.state = stateAddress;
    this.cloud = cloudAddress;
    this.peers = Map.copyOf(peerAddresses);
    this.routes = new RequestRoutes(state, cloud, peers);
    this.clock = clock;
    this.replies = replies;
  }

  /** Sends a request; its outcome becomes an event, exactly once. */
  public void send(long call, Request request) {
    try {
      send(call, routes.route(request));
    } catch (UnknownPeerException e) {
      replies.accept(call, new Reply.NoResponse(e.getMessage()));
    } catch (RuntimeException e) {
      LOG.error("cannot send {}", request, e);
      replies.accept(call, new Reply.NoResponse(e.toString()));
    }
  }

  private void send(long call, OutgoingRequest request) {
    String address = request.address;
    ClientConnection connection;
    ClientConnection evicted = null;
    Exchange exchange;
    Destination connect = null;
    synchronized (this) {
      Destination destination = destinations.computeIfAbsent(address, Destination::new);
      long deadlineMicros = clock.getAsLong() + request.timeoutMicros;
      exchange = new Exchange(call, destination, request, deadlineMicros);
      connection = destination.free.poll();
      if (connection != null) {
        idle.remove(connection);
        exchange.connection = connection;
      } else if (destination.waiting.size() >= MAX_PENDING_REQUESTS) {
        exchange.ended = true;
      } else {
        destination.waiting.add(exchange);
        connect = reserveConnection(destination);
        evicted =
            connect == null && awaitingSocket.contains(destination) ? takeIdleLongest() : null;
      }
      if (!exchange.ended) {
        inFlight.add(exchange);
      }
    }
    if (exchange.ended) {
      fail(exchange, "too many requests wait for " + address);
    } else if (connection != null) {
      sendOn(connection, exchange);
    } else if (connect != null) {
      connect(connect);
    } else if (evicted != null) {
      evicted.close();
    }
  }

  /** Guarded by this: counts a connection that is to be made now, if one is. */
  private Destination reserveConnection(Destination destination) {
    if (destination.waiting.isEmpty() || destination.connections >= MAX_CONNECTIONS) {
      return null;
    }
    if (isWorkerAddress(destination.address) && !budget.openCommand()) {
      awaitingSocket.add(destination);
      return null;
    }
    destination.connections++;
    return destination;
  }

  /**
   * Guarded by this: a connection ended or was not made; its socket may serve another destination.
   */
  private Destination releaseSocket(Destination destination) {
    destination.connections--;
    if (isWorkerAddress(destination.address)) {
      budget.closeCommand();
    }
    Destination connect = reserveConnection(destination);
    return connect != null ? connect : reserveForLongestWaiting();
  }

  /**
   * Guarded by this: counts a connection for the destination that has waited longest for one; null
   * if none waits or no socket is left.
   */
  private Destination reserveForLongestWaiting() {
    for (Iterator<Destination> it = awaitingSocket.iterator(); it.hasNext(); ) {
      Destination next = it.next();
      if (next.waiting.isEmpty()) {
        it.remove();
      } else if (budget.openCommand()) {
        it.remove();
        next.connections++;
        return next;
      } else {
        return null;
      }
    }
    return null;
  }

  /** Guarded by this: takes the connection without a command that was idle longest; else null. */
  private ClientConnection takeIdleLongest() {
    if (idle.isEmpty()) {
      return null;
    }
    ClientConnection longest = idle.iterator().next();
    // No request may be sent on it between here and its close.
    idle.remove(longest);
    longest.destination.free.remove(longest);
    return longest;
  }

  private void connect(Destination destination) {
    sockets.connect(
        destination.socket,
        (endPoint, context) ->
            new ClientConnection(endPoint, sockets.getExecutor(), destination, this),
        why -> notConnected(destination, String.valueOf(why)));
  }

  /** The connection could not be made: all requests that wait for the destination fail. */
  private void notConnected(Destination destination, String why) {
    List<Exchange> lost;
    Destination connect;
    synchronized (this) {
      lost = new ArrayList<>(destination.waiting);
      destination.waiting.clear();
      lost.forEach(this::end);
      connect = releaseSocket(destination);
      forgetIfUnused(destination);
    }
    lost.forEach(exchange -> fail(exchange, why));
    if (connect != null) {
      connect(connect);
    }
  }

  private void sendOn(ClientConnection connection, Exchange exchange) {
    if (!connection.send(exchange)) {
      // It was closed between two requests, before this one was sent.
      boolean ended;
      synchronized (this) {
        ended = end(exchange);
      }
      if (ended) {
        fail(exchange, "connection closed");
      }
    }
  }

  /** Guarded by this: whether this call ended it. */
  private boolean end(Exchange exchange) {
    boolean endsNow = !exchange.ended;
    exchange.ended = true;
    inFlight.remove(exchange);
    return endsNow;
  }

  private void forgetIfUnused(Destination destination) {
    if (destination.unused()) {
      awaitingSocket.remove(destination);
      destinations.remove(destination.address, destination);
    }
  }

  @Override
  public void opened(ClientConnection connection) {
    assignNext(connection);
  }

  private boolean isWorkerAddress(String address) {
    return !address.equals(state) && !address.equals(cloud) && !peers.containsValue(address);
  }

  private void assignNext(ClientConnection connection) {
    Exchange next;
    ClientConnection tooMany = null;
    synchronized (this) {
      next = connection.destination.waiting.poll();
      if (next == null) {
        connection.destination.free.addFirst(connection);
        if (isWorkerAddress(connection.destination.address)) {
          idle.add(connection);
          boolean excess = !awaitingSocket.isEmpty() || idle.size() > budget.maxIdleCommands();
          tooMany = excess ? takeIdleLongest() : null;
        }
      } else {
        next.connection = connection;
      }
    }
    if (next != null) {
      sendOn(connection, next);
    } else if (tooMany != null) {
      tooMany.close();
    }
  }

  @Override
  public void completed(
      ClientConnection connection,
      Exchange exchange,
      int status,
      byte[] content,
      boolean reusable) {
    boolean ended;
    synchronized (this) {
      ended = exchange != null && end(exchange);
    }
    if (reusable) {
      assignNext(connection);
    }
    if (ended) {
      complete(exchange, status, content);
    }
  }

  @Override
  public void closed(ClientConnection connection, Exchange exchange, String why) {
    boolean ended;
    Destination connect;
    synchronized (this) {
      Destination destination = connection.destination;
      destination.free.remove(connection);
      idle.remove(connection);
      ended = exchange != null && end(exchange);
      connect = releaseSocket(destination);
      forgetIfUnused(destination);
    }
    if (ended) {
      fail(exchange, why);
    }
    if (connect != null) {
      connect(connect);
    }
  }

  /**
   * Called periodically by the thread that owns the core: fails requests whose time limit has
   * passed, closes idle connections whose sockets are needed for something else by now, and
   * connects where there was no socket before.
   */
  public void expire(long nowMicros) {
    List<ClientConnection> evicted;
    List<Destination> connects;
    List<Exchange> expired;
    synchronized (this) {
      if (nowMicros < nextExpireMicros) {
        return;
      }
      nextExpireMicros = nowMicros + EXPIRE_EVERY_MICROS;
      evicted = takeExcessIdle();
      connects = reserveForAllWaiting();
      expired = takeExpired(nowMicros);
    }
    evicted.forEach(ClientConnection::close);
    connects.forEach(this::connect);
    expired.forEach(this::timeOut);
  }

  /** Guarded by this. */
  private List<ClientConnection> takeExcessIdle() {
    List<ClientConnection> excess = new ArrayList<>();
    int maxIdle = budget.maxIdleCommands();
    while (idle.size() > maxIdle) {
      excess.add(takeIdleLongest());
    }
    return excess;
  }

  /** Guarded by this: as many as there are sockets for. */
  private List<Destination> reserveForAllWaiting() {
    List<Destination> reserved = new ArrayList<>();
    Destination next = reserveForLongestWaiting();
    while (next != null) {
      reserved.add(next);
      next = reserveForLongestWaiting();
    }
    return reserved;
  }

  /** Guarded by this: ends the exchanges whose deadline has passed. */
  private List<Exchange> takeExpired(long nowMicros) {
    List<Exchange> expired = new ArrayList<>();
    for (Iterator<Exchange> it = inFlight.iterator(); it.hasNext(); ) {
      Exchange exchange = it.next();
      if (nowMicros >= exchange.deadlineMicros) {
        it.remove();
        exchange.ended = true;
        exchange.destination.waiting.remove(exchange);
        forgetIfUnused(exchange.destination);
        expired.add(exchange);
      }
    }
    return expired;
  }

  private void timeOut(Exchange exchange) {
    if (exchange.connection != null) {
      exchange.connection.close();
    }
    fail(exchange, "timeout");
  }

  private void complete(Exchange exchange, int status, byte[] content) {
    replies.accept(exchange.call, read(exchange.request, status, content));
  }

  private void fail(Exchange exchange, String why) {
    replies.accept(exchange.call, new Reply.NoResponse(why));
  }

  private static Reply read(OutgoingRequest request, int status, byte[] content) {
    try {
      return request.reader.read(status, content);
    } catch (MalformedMessageException e) {
      LOG.error("unreadable answer of {} to {}: {}", request.address, request.path, e.getMessage());
      return new Reply.NoResponse(e.getMessage());
    }
  }
}
