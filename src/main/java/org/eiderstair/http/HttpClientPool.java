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
 * Sends the core's requests to the state service, the cloud, workers and peers, and reports their
 * replies. Connections are pooled by destination; each carries one exchange at a time.
 *
 * <p>The thread that owns the core checks the time limits in its periodic tick, so that requests
 * need no timers. The pool is safe for use by several threads.
 */
public final class HttpClientPool implements ClientConnection.Owner {
  private static final Logger LOG = LoggerFactory.getLogger("eiderstair");
  private static final int MAX_CONNECTIONS_PER_DESTINATION = 16;
  private static final int MAX_PENDING_REQUESTS_PER_DESTINATION = 512;
  private static final long EXPIRE_INTERVAL_MICROS = 100_000;

  private final Sockets sockets;
  private final String stateAddress;
  private final String cloudAddress;
  private final Map<String, String> peerAddresses;
  private final RequestRoutes routes;
  private final LongSupplier clock;
  private final RefusalLog refusals;
  private final BiConsumer<Long, Reply> replies;
  // The mutable fields are guarded by this: the core's thread sends, the selector's thread
  // receives.
  private final Map<String, Destination> destinations = new HashMap<>();
  private final Set<Exchange> inFlight = new LinkedHashSet<>();
  private long nextExpireMicros;

  /**
   * Idle connections to workers, the one idle longest first. Their number is limited, because each
   * worker also holds a connection for its heartbeats. With two connections for each of 1,600
   * machines, all sockets were in use under normal load, and none was left for users.
   */
  private final Set<ClientConnection> idleWorkerConnections = new LinkedHashSet<>();

  /** Workers whose requests wait for a socket in the commands' share, longest waiting first. */
  private final Set<Destination> awaitingSocket = new LinkedHashSet<>();

  private final ConnectionBudget budget;

  /**
   * Creates a pool without connections.
   *
   * @param peerAddresses the addresses of the other controllers by name
   * @param budget limits the connections to workers
   * @param clock a monotonic time in microseconds
   * @param replies receives the identifier and the reply of each request, on any thread
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
    this.stateAddress = stateAddress;
    this.cloudAddress = cloudAddress;
    this.peerAddresses = Map.copyOf(peerAddresses);
    this.routes = new RequestRoutes(stateAddress, cloudAddress, this.peerAddresses);
    this.clock = clock;
    this.refusals = new RefusalLog(clock);
    this.replies = replies;
  }

  /**
   * Sends a request. Its reply is reported exactly once, even if the request cannot be sent.
   *
   * @param callId the core's identifier of the request
   */
  public void send(long callId, Request request) {
    try {
      send(callId, routes.route(request));
    } catch (UnknownPeerException e) {
      replies.accept(callId, new Reply.NoResponse(e.getMessage()));
    } catch (RuntimeException e) {
      LOG.error("cannot send request: request={}", request, e);
      replies.accept(callId, new Reply.NoResponse(e.toString()));
    }
  }

  private void send(long callId, OutgoingRequest request) {
    String address = request.address;
    ClientConnection connection;
    ClientConnection evicted = null;
    Exchange exchange;
    Destination connect = null;
    synchronized (this) {
      Destination destination = destinations.computeIfAbsent(address, Destination::new);
      long deadlineMicros = clock.getAsLong() + request.timeoutMicros;
      exchange = new Exchange(callId, destination, request, deadlineMicros);
      connection = destination.freeConnections.poll();
      if (connection != null) {
        idleWorkerConnections.remove(connection);
        exchange.connection = connection;
      } else if (destination.waitingExchanges.size() >= MAX_PENDING_REQUESTS_PER_DESTINATION) {
        exchange.ended = true;
      } else {
        destination.waitingExchanges.add(exchange);
        connect = reserveConnection(destination);
        evicted =
            connect == null && awaitingSocket.contains(destination) ? takeLongestIdle() : null;
      }
      if (!exchange.ended) {
        inFlight.add(exchange);
      }
    }
    if (exchange.ended) {
      fail(exchange, "too many pending requests for " + address);
    } else if (connection != null) {
      sendOn(connection, exchange);
    } else if (connect != null) {
      connect(connect);
    } else if (evicted != null) {
      evicted.close();
    }
  }

  /**
   * Guarded by this: counts a new connection to the destination, if its requests need one and the
   * limits allow it.
   *
   * @return the destination to connect to, or null if no connection is to be made
   */
  private Destination reserveConnection(Destination destination) {
    if (destination.waitingExchanges.isEmpty()
        || destination.connectionCount >= MAX_CONNECTIONS_PER_DESTINATION) {
      return null;
    }
    if (isWorkerAddress(destination.address) && !budget.tryOpenCommand()) {
      awaitingSocket.add(destination);
      return null;
    }
    destination.connectionCount++;
    return destination;
  }

  /**
   * Guarded by this: stops counting a connection that was closed or could not be made.
   *
   * @return the destination to connect to with the released socket, or null if none needs one
   */
  private Destination releaseSocket(Destination destination) {
    destination.connectionCount--;
    if (isWorkerAddress(destination.address)) {
      budget.closeCommand();
    }
    Destination connect = reserveConnection(destination);
    return connect != null ? connect : reserveForLongestWaiting();
  }

  /**
   * Guarded by this: counts a new connection for the destination that has waited longest for a
   * socket.
   *
   * @return that destination, or null if none waits or no socket is left
   */
  private Destination reserveForLongestWaiting() {
    for (Iterator<Destination> it = awaitingSocket.iterator(); it.hasNext(); ) {
      Destination next = it.next();
      if (next.waitingExchanges.isEmpty()) {
        it.remove();
      } else if (budget.tryOpenCommand()) {
        it.remove();
        next.connectionCount++;
        return next;
      } else {
        return null;
      }
    }
    return null;
  }

  /**
   * Guarded by this: removes the worker connection that has been idle longest, for the caller to
   * close; returns null if none is idle.
   */
  private ClientConnection takeLongestIdle() {
    if (idleWorkerConnections.isEmpty()) {
      return null;
    }
    ClientConnection longest = idleWorkerConnections.iterator().next();
    // Removed here, so that no request is sent on the connection before it is closed.
    idleWorkerConnections.remove(longest);
    longest.destination.freeConnections.remove(longest);
    return longest;
  }

  private void connect(Destination destination) {
    sockets.connect(
        destination.socketAddress,
        (endPoint, context) ->
            new ClientConnection(endPoint, sockets.getExecutor(), destination, this),
        cause -> connectFailed(destination, String.valueOf(cause)));
  }

  /** Fails all requests that wait for a destination to which no connection could be made. */
  private void connectFailed(Destination destination, String reason) {
    List<Exchange> failed;
    Destination connect;
    synchronized (this) {
      failed = new ArrayList<>(destination.waitingExchanges);
      destination.waitingExchanges.clear();
      failed.forEach(this::end);
      connect = releaseSocket(destination);
      removeIfUnused(destination);
    }
    failed.forEach(exchange -> fail(exchange, reason));
    if (connect != null) {
      connect(connect);
    }
  }

  private void sendOn(ClientConnection connection, Exchange exchange) {
    if (!connection.send(exchange)) {
      // The connection was closed before this request was sent.
      boolean ended;
      synchronized (this) {
        ended = end(exchange);
      }
      if (ended) {
        fail(exchange, "connection closed");
      }
    }
  }

  /** Guarded by this: ends the exchange; returns whether this call ended it. */
  private boolean end(Exchange exchange) {
    boolean endsNow = !exchange.ended;
    exchange.ended = true;
    inFlight.remove(exchange);
    return endsNow;
  }

  /** Guarded by this. */
  private void removeIfUnused(Destination destination) {
    if (destination.isUnused()) {
      awaitingSocket.remove(destination);
      destinations.remove(destination.address, destination);
    }
  }

  @Override
  public void opened(ClientConnection connection) {
    assignNext(connection);
  }

  private boolean isWorkerAddress(String address) {
    return !address.equals(stateAddress)
        && !address.equals(cloudAddress)
        && !peerAddresses.containsValue(address);
  }

  /**
   * Sends the next waiting request of the destination on a free connection. If none waits, the
   * connection is kept; the worker connection that was idle longest is closed if there are too
   * many.
   */
  private void assignNext(ClientConnection connection) {
    Exchange next;
    ClientConnection evicted = null;
    synchronized (this) {
      next = connection.destination.waitingExchanges.poll();
      if (next == null) {
        connection.destination.freeConnections.addFirst(connection);
        if (isWorkerAddress(connection.destination.address)) {
          idleWorkerConnections.add(connection);
          boolean excess =
              !awaitingSocket.isEmpty()
                  || idleWorkerConnections.size() > budget.maxIdleCommandConnections();
          evicted = excess ? takeLongestIdle() : null;
        }
      } else {
        next.connection = connection;
      }
    }
    if (next != null) {
      sendOn(connection, next);
    } else if (evicted != null) {
      evicted.close();
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
  public void closed(ClientConnection connection, Exchange exchange, String reason) {
    boolean ended;
    Destination connect;
    synchronized (this) {
      Destination destination = connection.destination;
      destination.freeConnections.remove(connection);
      idleWorkerConnections.remove(connection);
      ended = exchange != null && end(exchange);
      connect = releaseSocket(destination);
      removeIfUnused(destination);
    }
    if (ended) {
      fail(exchange, reason);
    }
    if (connect != null) {
      connect(connect);
    }
  }

  /**
   * Fails requests whose time limit has passed, closes idle connections whose sockets are needed
   * for another use, and opens connections for which no socket was left before. Called periodically
   * by the thread that owns the core.
   */
  public void expire(long nowMicros) {
    List<ClientConnection> evicted;
    List<Destination> connects;
    List<Exchange> expired;
    synchronized (this) {
      if (nowMicros < nextExpireMicros) {
        return;
      }
      nextExpireMicros = nowMicros + EXPIRE_INTERVAL_MICROS;
      evicted = takeExcessIdle();
      connects = reserveForAllWaiting();
      expired = takeExpired(nowMicros);
    }
    evicted.forEach(ClientConnection::close);
    connects.forEach(this::connect);
    expired.forEach(this::timeOut);
  }

  /** Guarded by this: removes the idle worker connections beyond the limit, to be closed. */
  private List<ClientConnection> takeExcessIdle() {
    List<ClientConnection> excess = new ArrayList<>();
    int maxIdle = budget.maxIdleCommandConnections();
    while (idleWorkerConnections.size() > maxIdle) {
      excess.add(takeLongestIdle());
    }
    return excess;
  }

  /** Guarded by this: counts new connections for waiting destinations until no socket is left. */
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
        exchange.destination.waitingExchanges.remove(exchange);
        removeIfUnused(exchange.destination);
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
    replies.accept(exchange.callId, readReply(exchange.request, status, content));
  }

  private void fail(Exchange exchange, String reason) {
    replies.accept(exchange.callId, new Reply.NoResponse(reason));
  }

  /** Returns the number of unreadable responses by reason since the previous call. */
  public String takeRefusals() {
    return refusals.takeCounts();
  }

  private Reply readReply(OutgoingRequest request, int status, byte[] content) {
    try {
      return request.reader.read(status, content);
    } catch (MalformedMessageException e) {
      refusals.unreadable(
          RefusalLog.MessageKind.RESPONSE, request.address + request.path, content, e);
      return new Reply.NoResponse(e.getMessage());
    }
  }
}
