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
 * Carries the core's requests to the state service, the cloud, workers and peers, and brings back
 * what came of them. Connections are kept by destination, each with one exchange at a time; time
 * that runs out is looked for by the thread that owns the core, which ticks anyhow, and costs no
 * timers.
 */
public final class HttpClientPool implements ClientConnection.Owner {
  private static final Logger LOG = LoggerFactory.getLogger("eiderstair");
  private static final byte[] NO_BODY = new byte[0];
  private static final String GET = "GET";
  private static final String POST = "POST";
  private static final int MOST_CONNECTIONS = 16;
  private static final int MOST_WAITING = 512;
  private static final long EXPIRE_EVERY_MICROS = 100_000;
  private static final long STORE_MICROS = 2_000_000;
  private static final long CLOUD_MICROS = 5_000_000;
  private static final long WORKER_MICROS = 2_500_000;
  private static final long PEER_MICROS = 2_500_000;

  /** How a 200 (or a 409) is read. */
  private interface Reader {
    Reply read(byte[] content) throws MalformedMessageException;
  }

  /** The same, for what is read from a map. */
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
  // Guarded by this: the core's thread asks, the selector's thread brings answers.
  private final Map<String, Destination> destinations = new HashMap<>();
  private final Set<Exchange> underWay = new LinkedHashSet<>();
  private long nextExpireMicros;

  /**
   * Connections to workers that are kept for the next command, the one idle longest first. Each
   * worker holds one to report on besides: with two a machine, 1,600 machines took all sockets on a
   * calm day, and users found none.
   */
  private final Set<ClientConnection> idle = new LinkedHashSet<>();

  /** Destinations with requests that wait for a socket of the commands' share. */
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
    } else if (request instanceof Request.StoreWatch w) {
      String path =
          "/watch?Under="
              + encode(w.prefix())
              + "&From="
              + w.after()
              + "&HoldMs="
              + w.holdMicros() / 1000;
      exchange(
          call,
          state,
          GET,
          path,
          null,
          w.holdMicros() + STORE_MICROS,
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
    } else if (request instanceof Request.LeaseRenew touch) {
      exchange(
          call,
          state,
          POST,
          "/leases/" + touch.lease() + "/touch",
          NO_BODY,
          STORE_MICROS,
          m -> new Reply.Applied(0),
          null);
    } else if (request instanceof Request.LeaseRevoke drop) {
      exchange(
          call,
          state,
          "DELETE",
          "/leases/" + drop.lease(),
          null,
          STORE_MICROS,
          m -> new Reply.Applied(0),
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
          m -> new Reply.Applied(0),
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
    } else if (request instanceof Request.WorkerCommands c) {
      exchangeBytes(
          call,
          c.address(),
          POST,
          "/commands",
          WorkerMessages.encodeCommand(c.fencingToken(), c.incarnation(), c.orders()),
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
    } else if (request instanceof Request.PeerStateServiceStatus ask) {
      peer(
          call,
          ask.peer(),
          GET,
          PeerMessages.STATE_SERVICE_STATUS_PATH,
          null,
          PeerMessages::decodeStateServiceStatus);
    } else if (request instanceof Request.PeerMembership heard) {
      peer(
          call,
          heard.peer(),
          POST,
          PeerMessages.MEMBERSHIP_PATH,
          PeerMessages.encodeMembershipRequest(heard.run(), heard.after()),
          PeerMessages::decodeHeartbeatDigest);
    } else if (request instanceof Request.PeerReplicate told) {
      peer(
          call,
          told.peer(),
          POST,
          PeerMessages.REPLICATION_PATH,
          PeerMessages.encodeReplicationBatch(told.batch()),
          PeerMessages::decodeReplicationAck);
    } else if (request instanceof Request.PeerCancellations told) {
      peer(
          call,
          told.peer(),
          POST,
          PeerMessages.CANCELLATIONS_PATH,
          PeerMessages.encodeCancellations(told.cancellations()),
          content -> new Reply.Applied(0));
    } else {
      throw new IllegalArgumentException("no way to send " + request);
    }
  }

  /** How a peer's 200 is read. */
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
    ClientConnection use;
    ClientConnection evicted = null;
    Exchange exchange;
    Destination connect = null;
    synchronized (this) {
      Destination to = destinations.computeIfAbsent(address, Destination::new);
      exchange = new Exchange(to, method, path, body, clock.getAsLong() + timeoutMicros, outcome);
      use = to.free.poll();
      if (use != null) {
        idle.remove(use);
        exchange.connection = use;
      } else if (to.waiting.size() >= MOST_WAITING) {
        exchange.over = true;
      } else {
        to.waiting.add(exchange);
        connect = wantsConnection(to);
        evicted = connect == null && starved.contains(to) ? takeIdleLongest() : null;
      }
      if (!exchange.over) {
        underWay.add(exchange);
      }
    }
    if (exchange.over) {
      outcome.failed("too many requests wait for " + address);
    } else if (use != null) {
      ask(use, exchange);
    } else if (connect != null) {
      connect(connect);
    } else if (evicted != null) {
      evicted.close();
    }
  }

  /** Guarded by this: counts a connection that is to be made now, if one is. */
  private Destination wantsConnection(Destination to) {
    if (to.waiting.isEmpty() || to.connections >= MOST_CONNECTIONS) {
      return null;
    }
    if (isWorker(to.address) && !budget.openCommand()) {
      starved.add(to);
      return null;
    }
    to.connections++;
    return to;
  }

  /** Guarded by this: a connection ended or was not made; its socket may serve another one. */
  private Destination release(Destination of) {
    of.connections--;
    if (isWorker(of.address)) {
      budget.closeCommand();
    }
    Destination connect = wantsConnection(of);
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
    // Not to be asked between here and its end.
    idle.remove(longest);
    longest.destination.free.remove(longest);
    return longest;
  }

  private void connect(Destination to) {
    sockets.connect(
        to.socket,
        (endPoint, context) -> new ClientConnection(endPoint, sockets.getExecutor(), to, this),
        why -> notConnected(to, String.valueOf(why)));
  }

  /** Nothing was sent to where nobody answers: all that waits there has failed. */
  private void notConnected(Destination to, String why) {
    List<Exchange> lost;
    Destination connect;
    synchronized (this) {
      lost = new ArrayList<>(to.waiting);
      to.waiting.clear();
      lost.forEach(this::end);
      connect = release(to);
      forgetIfUnused(to);
    }
    lost.forEach(e -> e.outcome().failed(why));
    if (connect != null) {
      connect(connect);
    }
  }

  private void ask(ClientConnection connection, Exchange exchange) {
    if (!connection.ask(exchange)) {
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

  /** Guarded by this: whether it ends now, and not before. */
  private boolean end(Exchange exchange) {
    boolean ends = !exchange.over;
    exchange.over = true;
    underWay.remove(exchange);
    return ends;
  }

  private void forgetIfUnused(Destination to) {
    if (to.unused()) {
      starved.remove(to);
      destinations.remove(to.address, to);
    }
  }

  @Override
  public void opened(ClientConnection connection) {
    takeNext(connection);
  }

  private boolean isWorker(String address) {
    return !address.equals(state) && !address.equals(cloud) && !peers.containsValue(address);
  }

  private void takeNext(ClientConnection connection) {
    Exchange next;
    ClientConnection tooMany = null;
    synchronized (this) {
      next = connection.destination.waiting.poll();
      if (next == null) {
        connection.destination.free.addFirst(connection);
        if (isWorker(connection.destination.address)) {
          idle.add(connection);
          boolean excess = !starved.isEmpty() || idle.size() > budget.maxIdleCommands();
          tooMany = excess ? takeIdleLongest() : null;
        }
      } else {
        next.connection = connection;
      }
    }
    if (next != null) {
      ask(connection, next);
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
      takeNext(connection);
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
      Destination to = connection.destination;
      to.free.remove(connection);
      idle.remove(connection);
      ended = exchange != null && end(exchange);
      connect = release(to);
      forgetIfUnused(to);
    }
    if (ended) {
      exchange.outcome().failed(why);
    }
    if (connect != null) {
      connect(connect);
    }
  }

  /**
   * Called by the thread that owns the core, now and then: ends what has taken too long, closes
   * idle connections whose sockets are needed for something else by now, and connects where there
   * was no socket before.
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
          exchange.over = true;
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
