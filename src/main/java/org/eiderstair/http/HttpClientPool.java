package org.eiderstair.http;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
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
import org.eiderstair.peer.PeerMessages;
import org.eiderstair.protocol.CloudMessages;
import org.eiderstair.protocol.MalformedMessageException;
import org.eiderstair.protocol.MessagePackCodec;
import org.eiderstair.protocol.StoreMessages;
import org.eiderstair.protocol.WorkerMessages;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Carries the core's requests to the state service, the cloud, workers and peers, and reports their
 * replies. Connections are kept by destination, each with one exchange at a time; time limits are
 * checked by the thread that owns the core, which ticks anyhow, so they need no timers.
 */
public final class HttpClientPool implements ClientConnection.Owner {
  private static final Logger LOG = LoggerFactory.getLogger("eiderstair");
  private static final byte[] NO_BODY = new byte[0];
  private static final String GET = "GET";
  private static final String POST = "POST";
  private static final int MAX_CONNECTIONS = 16;
  private static final int MAX_PENDING_REQUESTS = 512;
  private static final long EXPIRE_EVERY_MICROS = 100_000;
  private static final long STORE_MICROS = 2_000_000;
  private static final long CLOUD_MICROS = 5_000_000;
  private static final long WORKER_MICROS = 2_500_000;
  private static final long PEER_MICROS = 2_500_000;

  /** Decodes the body of a response. */
  private interface Reader {
    Reply read(byte[] content) throws MalformedMessageException;
  }

  /** Decodes the body of a response that is a MessagePack map. */
  private interface MapReader {
    Reply read(Map<String, Object> message) throws MalformedMessageException;

    static Reader of(MapReader reader) {
      return reader == null
          ? null
          : content ->
              reader.read(content.length == 0 ? Map.of() : MessagePackCodec.readMap(content));
    }
  }

  private final Sockets sockets;
  private final String state;
  private final String cloud;
  private final Map<String, String> peers;
  private final LongSupplier clock;
  private final BiConsumer<Long, Reply> replies;
  // Guarded by this: the core's thread sends, the selector's thread receives.
  private final Map<String, Destination> destinations = new HashMap<>();
  private final Set<Exchange> underWay = new LinkedHashSet<>();
  private long nextExpireMicros;

  /**
   * Connections to workers that are kept for the next command, the one idle longest first. Each
   * worker also holds one for heartbeats: with two a machine, 1,600 machines took all sockets on a
   * calm day, and users found none.
   */
  private final Set<ClientConnection> idle = new LinkedHashSet<>();

  /** Destinations whose requests wait for a socket of the commands' share. */
  private final Set<Destination> starved = new LinkedHashSet<>();

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
    this.clock = clock;
    this.replies = replies;
  }

  /** Sends a request; its outcome becomes an event, exactly once. */
  public void send(long call, Request request) {
    try {
      dispatch(call, request);
    } catch (RuntimeException e) {
      LOG.error("cannot send {}", request, e);
      replies.accept(call, new Reply.NoResponse(e.toString()));
    }
  }

  private void dispatch(long call, Request request) {
    if (request instanceof Request.StoreTransaction txn) {
      exchange(
          call,
          state,
          POST,
          "/txn",
          StoreMessages.encodeTransaction(txn),
          STORE_MICROS,
          StoreMessages::decodeApplied,
          StoreMessages::decodeConflict);
    } else if (request instanceof Request.StoreWatch watch) {
      String path =
          "/watch?Under="
              + encode(watch.prefix())
              + "&From="
              + watch.after()
              + "&HoldMs="
              + watch.holdMicros() / 1000;
      exchange(
          call,
          state,
          GET,
          path,
          null,
          watch.holdMicros() + STORE_MICROS,
          StoreMessages::decodeChanged,
          null);
    } else if (request instanceof Request.StoreGet get) {
      exchange(
          call,
          state,
          GET,
          "/store/" + get.key(),
          null,
          STORE_MICROS,
          StoreMessages::decodeFound,
          null);
    } else if (request instanceof Request.StoreList list) {
      String path =
          "/store?Under="
              + encode(list.prefix())
              + "&Page="
              + list.limit()
              + (list.after() == null ? "" : "&From=" + encode(list.after()));
      exchange(call, state, GET, path, null, 2 * STORE_MICROS, StoreMessages::decodeListed, null);
    } else if (request instanceof Request.LeaseGrant grant) {
      exchange(
          call,
          state,
          POST,
          "/leases",
          StoreMessages.encodeLeaseRequest(grant.ttlMicros()),
          STORE_MICROS,
          StoreMessages::decodeLeaseGranted,
          null);
    } else if (request instanceof Request.LeaseRenew renew) {
      exchange(
          call,
          state,
          POST,
          "/leases/" + renew.lease() + "/touch",
          NO_BODY,
          STORE_MICROS,
          message -> new Reply.Applied(0),
          null);
    } else if (request instanceof Request.LeaseRevoke revoke) {
      exchange(
          call,
          state,
          "DELETE",
          "/leases/" + revoke.lease(),
          null,
          STORE_MICROS,
          message -> new Reply.Applied(0),
          null);
    } else if (request instanceof Request.CloudCatalog) {
      exchange(
          call, cloud, GET, "/catalog", null, CLOUD_MICROS, CloudMessages::decodeCatalog, null);
    } else if (request instanceof Request.CloudRent rent) {
      exchange(
          call,
          cloud,
          POST,
          "/hosts",
          CloudMessages.encodeRent(rent),
          CLOUD_MICROS,
          CloudMessages::decodeRented,
          null);
    } else if (request instanceof Request.CloudDelete delete) {
      exchange(
          call,
          cloud,
          POST,
          "/hosts/delete",
          CloudMessages.encodeDelete(delete.machines()),
          CLOUD_MICROS,
          message -> new Reply.Applied(0),
          null);
    } else if (request instanceof Request.CloudList list) {
      String path =
          "/hosts?Page="
              + CloudMessages.PAGE_SIZE
              + (list.after() == null ? "" : "&From=" + encode(list.after()));
      exchange(call, cloud, GET, path, null, CLOUD_MICROS, CloudMessages::decodeMachines, null);
    } else if (request instanceof Request.WorkerStatus status) {
      exchangeBytes(
          call,
          status.address(),
          GET,
          "/status",
          null,
          WORKER_MICROS,
          content -> new Reply.WorkerStatus(WorkerMessages.decodeHeartbeat(content), false),
          null);
    } else if (request instanceof Request.WorkerCommands commands) {
      exchangeBytes(
          call,
          commands.address(),
          POST,
          "/commands",
          WorkerMessages.encodeCommand(
              commands.fencingToken(), commands.incarnation(), commands.orders()),
          WORKER_MICROS,
          content -> new Reply.WorkerStatus(WorkerMessages.decodeHeartbeat(content), true),
          content -> new Reply.WorkerStatus(WorkerMessages.decodeHeartbeat(content), false));
    } else if (request instanceof Request.PeerRelayHeartbeat relay) {
      peer(
          call,
          relay.peer(),
          POST,
          PeerMessages.RELAY_PATH,
          PeerMessages.encodeHeartbeat(relay.heartbeat()),
          content -> new Reply.Relayed(PeerMessages.decodeHeartbeatAnswer(content)));
    } else if (request instanceof Request.PeerStateServiceStatus status) {
      peer(
          call,
          status.peer(),
          GET,
          PeerMessages.STATE_SERVICE_STATUS_PATH,
          null,
          PeerMessages::decodeStateServiceStatus);
    } else if (request instanceof Request.PeerMembership membership) {
      peer(
          call,
          membership.peer(),
          POST,
          PeerMessages.MEMBERSHIP_PATH,
          PeerMessages.encodeMembershipRequest(membership.run(), membership.after()),
          PeerMessages::decodeHeartbeatDigest);
    } else if (request instanceof Request.PeerReplicate replicate) {
      peer(
          call,
          replicate.peer(),
          POST,
          PeerMessages.REPLICATION_PATH,
          PeerMessages.encodeReplicationBatch(replicate.batch()),
          PeerMessages::decodeReplicationAck);
    } else if (request instanceof Request.PeerCancellations cancellations) {
      peer(
          call,
          cancellations.peer(),
          POST,
          PeerMessages.CANCELLATIONS_PATH,
          PeerMessages.encodeCancellations(cancellations.cancellations()),
          content -> new Reply.Applied(0));
    } else {
      throw new IllegalArgumentException("no way to send " + request);
    }
  }

  /** Decodes the body of a peer's response. */
  private interface PeerReader {
    Reply read(byte[] content) throws MalformedMessageException;
  }

  private void peer(
      long call, String name, String method, String path, byte[] body, PeerReader reader) {
    String address = peers.get(name);
    if (address == null) {
      replies.accept(call, new Reply.NoResponse("unknown node " + name));
      return;
    }
    send(
        address,
        method,
        path,
        body,
        PEER_MICROS,
        new Exchange.Outcome() {
          @Override
          public void completed(int status, byte[] content) {
            try {
              replies.accept(
                  call, status == 200 ? reader.read(content) : new Reply.Refused(status));
            } catch (MalformedMessageException e) {
              LOG.error("unreadable answer of {}: {}", name, e.getMessage());
              replies.accept(call, new Reply.NoResponse(e.getMessage()));
            }
          }

          @Override
          public void failed(String why) {
            replies.accept(call, new Reply.NoResponse(why));
          }
        });
  }

  private static String encode(String text) {
    return URLEncoder.encode(text, StandardCharsets.UTF_8);
  }

  private void exchange(
      long call,
      String address,
      String method,
      String path,
      byte[] body,
      long timeoutMicros,
      MapReader ok,
      MapReader conflict) {
    exchangeBytes(
        call, address, method, path, body, timeoutMicros, MapReader.of(ok), MapReader.of(conflict));
  }

  private void exchangeBytes(
      long call,
      String address,
      String method,
      String path,
      byte[] body,
      long timeoutMicros,
      Reader ok,
      Reader conflict) {
    send(
        address,
        method,
        path,
        body,
        timeoutMicros,
        new Exchange.Outcome() {
          @Override
          public void completed(int status, byte[] content) {
            replies.accept(call, read(status, content, path, ok, conflict));
          }

          @Override
          public void failed(String why) {
            replies.accept(call, new Reply.NoResponse(why));
          }
        });
  }

  private void send(
      String address,
      String method,
      String path,
      byte[] body,
      long timeoutMicros,
      Exchange.Outcome outcome) {
    ClientConnection connection;
    ClientConnection evicted = null;
    Exchange exchange;
    Destination connect = null;
    synchronized (this) {
      Destination destination = destinations.computeIfAbsent(address, Destination::new);
      exchange =
          new Exchange(destination, method, path, body, clock.getAsLong() + timeoutMicros, outcome);
      connection = destination.free.poll();
      if (connection != null) {
        idle.remove(connection);
        exchange.connection = connection;
      } else if (destination.waiting.size() >= MAX_PENDING_REQUESTS) {
        exchange.ended = true;
      } else {
        destination.waiting.add(exchange);
        connect = wantsConnection(destination);
        evicted = connect == null && starved.contains(destination) ? takeIdleLongest() : null;
      }
      if (!exchange.ended) {
        underWay.add(exchange);
      }
    }
    if (exchange.ended) {
      outcome.failed("too many requests wait for " + address);
    } else if (connection != null) {
      sendOn(connection, exchange);
    } else if (connect != null) {
      connect(connect);
    } else if (evicted != null) {
      evicted.close();
    }
  }

  /** Guarded by this: counts a connection that is to be made now, if one is. */
  private Destination wantsConnection(Destination destination) {
    if (destination.waiting.isEmpty() || destination.connections >= MAX_CONNECTIONS) {
      return null;
    }
    if (isWorkerAddress(destination.address) && !budget.openCommand()) {
      starved.add(destination);
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
    Destination connect = wantsConnection(destination);
    return connect != null ? connect : nextStarved();
  }

  /**
   * Guarded by this: counts a connection for the destination that has waited longest for one; null
   * if none waits or no socket is left.
   */
  private Destination nextStarved() {
    for (Iterator<Destination> it = starved.iterator(); it.hasNext(); ) {
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
    lost.forEach(exchange -> exchange.outcome().failed(why));
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
        exchange.outcome().failed("connection closed");
      }
    }
  }

  /** Guarded by this: whether this call ended it. */
  private boolean end(Exchange exchange) {
    boolean endsNow = !exchange.ended;
    exchange.ended = true;
    underWay.remove(exchange);
    return endsNow;
  }

  private void forgetIfUnused(Destination destination) {
    if (destination.unused()) {
      starved.remove(destination);
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
          boolean excess = !starved.isEmpty() || idle.size() > budget.maxIdleCommands();
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
      exchange.outcome().completed(status, content);
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
      exchange.outcome().failed(why);
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
    List<Exchange> expired = null;
    List<ClientConnection> evicted = new ArrayList<>();
    List<Destination> connects = new ArrayList<>();
    synchronized (this) {
      if (nowMicros < nextExpireMicros) {
        return;
      }
      nextExpireMicros = nowMicros + EXPIRE_EVERY_MICROS;
      int maxIdle = budget.maxIdleCommands();
      while (idle.size() > maxIdle) {
        evicted.add(takeIdleLongest());
      }
      for (Destination next = nextStarved(); next != null; next = nextStarved()) {
        connects.add(next);
      }
      for (Iterator<Exchange> it = underWay.iterator(); it.hasNext(); ) {
        Exchange exchange = it.next();
        if (nowMicros >= exchange.deadlineMicros) {
          it.remove();
          exchange.ended = true;
          exchange.destination().waiting.remove(exchange);
          forgetIfUnused(exchange.destination());
          expired = expired == null ? new ArrayList<>() : expired;
          expired.add(exchange);
        }
      }
    }
    evicted.forEach(ClientConnection::close);
    connects.forEach(this::connect);
    if (expired != null) {
      for (Exchange exchange : expired) {
        if (exchange.connection != null) {
          exchange.connection.close();
        }
        exchange.outcome().failed("timeout");
      }
    }
  }

  private static Reply read(int status, byte[] content, String path, Reader ok, Reader conflict) {
    try {
      if (status == 200 || status == 201) {
        return ok.read(content);
      }
      if (status == 409 && conflict != null) {
        return conflict.read(content);
      }
      if (status == 404 && path.startsWith("/store/")) {
        return StoreMessages.decodeMissing(MessagePackCodec.readMap(content));
      }
      if (status >= 500 && status != 503) {
        return new Reply.NoResponse("status " + status);
      }
      return new Reply.Refused(status);
    } catch (MalformedMessageException e) {
      LOG.error("unreadable answer to {}: {}", path, e.getMessage());
      return new Reply.NoResponse(e.getMessage());
    }
  }
}
