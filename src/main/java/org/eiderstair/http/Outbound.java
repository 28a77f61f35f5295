package org.eiderstair.http;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.eclipse.jetty.client.BufferingResponseListener;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.client.transport.HttpClientTransportOverHTTP;
import org.eclipse.jetty.http.HttpMethod;
import org.eclipse.jetty.io.ArrayByteBufferPool;
import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.util.SocketAddressResolver;
import org.eclipse.jetty.util.ssl.SslContextFactory;
import org.eclipse.jetty.util.thread.Scheduler;
import org.eiderstair.core.Reply;
import org.eiderstair.core.Request;
import org.eiderstair.peer.PeerMessages;
import org.eiderstair.protocol.CloudMessages;
import org.eiderstair.protocol.Malformed;
import org.eiderstair.protocol.Pack;
import org.eiderstair.protocol.StoreMessages;
import org.eiderstair.protocol.WorkerMessages;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Carries the core's requests to the state service, the cloud and workers, and brings back what came of them. */
public final class Outbound implements AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger("eiderstair");
  private static final int MOST_BYTES = 8 * 1024 * 1024;
  private static final long STORE_MICROS = 2_000_000;
  private static final long CLOUD_MICROS = 5_000_000;
  private static final long WORKER_MICROS = 2_500_000;
  private static final long PEER_MICROS = 2_500_000;

  /** How a 200 (or a 409) is read. */
  private interface Reader {
    Reply read(Map<String, Object> message) throws Malformed;
  }

  /** Everything here speaks plain HTTP: reading the system's certificates would cost a good part of a start. */
  private static final class NoTls extends SslContextFactory.Client {
    @Override
    protected void doStart() {
      // Nothing to load.
    }
  }

  private record Target(String host, int port) {
    static Target of(String address) {
      int colon = address.lastIndexOf(':');
      return new Target(address.substring(0, colon), Integer.parseInt(address, colon + 1, address.length(), 10));
    }
  }

  private final HttpClient client;
  private final Target state;
  private final Target cloud;
  private final Map<String, Target> peers = new HashMap<>();
  private final BiConsumer<Long, Reply> replies;

  public Outbound(String stateAddress, String cloudAddress, Map<String, String> peerAddresses, Executor executor,
      Scheduler scheduler, ArrayByteBufferPool buffers, BiConsumer<Long, Reply> replies) throws Exception {
    this.state = Target.of(stateAddress);
    this.cloud = Target.of(cloudAddress);
    this.replies = replies;
    peerAddresses.forEach((name, address) -> peers.put(name, Target.of(address)));
    ClientConnector connector = new ClientConnector();
    connector.setSelectors(1);
    connector.setExecutor(executor);
    connector.setScheduler(scheduler);
    connector.setByteBufferPool(buffers);
    connector.setSslContextFactory(new NoTls());
    client = new HttpClient(new HttpClientTransportOverHTTP(connector));
    client.setExecutor(executor);
    client.setScheduler(scheduler);
    client.setByteBufferPool(buffers);
    client.setConnectTimeout(1500);
    client.setIdleTimeout(90_000);
    client.setMaxConnectionsPerDestination(16);
    client.setMaxRequestsQueuedPerDestination(512);
    client.setFollowRedirects(false);
    client.setUserAgentField(null);
    // Addresses are literals: no look-up, and no thread for one.
    client.setSocketAddressResolver(new SocketAddressResolver.Sync());
    client.start();
    client.getProtocolHandlers().clear();
    client.getContentDecoderFactories().clear();
  }

  public void send(long call, Request request) {
    try {
      dispatch(call, request);
    } catch (RuntimeException e) {
      LOG.error("cannot send {}", request, e);
      replies.accept(call, new Reply.Lost(e.toString()));
    }
  }

  private void dispatch(long call, Request request) {
    if (request instanceof Request.StoreTxn txn) {
      exchange(call, state, HttpMethod.POST, "/txn", StoreMessages.txn(txn), STORE_MICROS, StoreMessages::applied,
          StoreMessages::conflict);
    } else if (request instanceof Request.StoreWatch w) {
      String path = "/watch?Under=" + encode(w.prefix()) + "&From=" + w.after() + "&HoldMs=" + w.holdMicros() / 1000;
      exchange(call, state, HttpMethod.GET, path, null, w.holdMicros() + STORE_MICROS, StoreMessages::changed, null);
    } else if (request instanceof Request.StoreGet get) {
      exchange(call, state, HttpMethod.GET, "/store/" + get.key(), null, STORE_MICROS, StoreMessages::found, null);
    } else if (request instanceof Request.StoreList list) {
      String path = "/store?Under=" + encode(list.prefix()) + "&Page=" + list.limit()
          + (list.after() == null ? "" : "&From=" + encode(list.after()));
      exchange(call, state, HttpMethod.GET, path, null, 2 * STORE_MICROS, StoreMessages::listed, null);
    } else if (request instanceof Request.LeaseGrant grant) {
      exchange(call, state, HttpMethod.POST, "/leases", StoreMessages.lease(grant.ttlMicros()), STORE_MICROS,
          StoreMessages::leaseGranted, null);
    } else if (request instanceof Request.LeaseTouch touch) {
      exchange(call, state, HttpMethod.POST, "/leases/" + touch.lease() + "/touch", new byte[0], STORE_MICROS,
          m -> new Reply.Applied(0), null);
    } else if (request instanceof Request.LeaseDrop drop) {
      exchange(call, state, HttpMethod.DELETE, "/leases/" + drop.lease(), null, STORE_MICROS,
          m -> new Reply.Applied(0), null);
    } else if (request instanceof Request.CloudCatalog) {
      exchange(call, cloud, HttpMethod.GET, "/catalog", null, CLOUD_MICROS, CloudMessages::catalog, null);
    } else if (request instanceof Request.CloudRent rent) {
      exchange(call, cloud, HttpMethod.POST, "/hosts", CloudMessages.rent(rent), CLOUD_MICROS, CloudMessages::rented,
          null);
    } else if (request instanceof Request.CloudDelete delete) {
      exchange(call, cloud, HttpMethod.POST, "/hosts/delete", CloudMessages.delete(delete.machines()), CLOUD_MICROS,
          m -> new Reply.Applied(0), null);
    } else if (request instanceof Request.CloudList list) {
      String path = "/hosts?Page=" + CloudMessages.PAGE + (list.after() == null ? "" : "&From=" + encode(list.after()));
      exchange(call, cloud, HttpMethod.GET, path, null, CLOUD_MICROS, CloudMessages::machines, null);
    } else if (request instanceof Request.WorkerStatus status) {
      exchange(call, Target.of(status.address()), HttpMethod.GET, "/status", null, WORKER_MICROS,
          m -> new Reply.Report(WorkerMessages.report(m), false), null);
    } else if (request instanceof Request.WorkerCommands c) {
      exchange(call, Target.of(c.address()), HttpMethod.POST, "/commands",
          WorkerMessages.command(c.token(), c.session(), c.orders()), WORKER_MICROS,
          m -> new Reply.Report(WorkerMessages.report(m), true),
          m -> new Reply.Report(WorkerMessages.report(m), false));
    } else if (request instanceof Request.PeerRelay relay) {
      peer(call, relay.peer(), HttpMethod.POST, PeerMessages.RELAY_PATH, PeerMessages.report(relay.report()),
          content -> new Reply.Relayed(PeerMessages.answer(content)));
    } else if (request instanceof Request.PeerAsk ask) {
      peer(call, ask.peer(), HttpMethod.GET, PeerMessages.STANDING_PATH, null, PeerMessages::standing);
    } else {
      throw new IllegalArgumentException("no way to send " + request);
    }
  }

  /** How a peer's 200 is read. */
  private interface PeerReader {
    Reply read(byte[] content) throws Malformed;
  }

  private void peer(long call, String name, HttpMethod method, String path, byte[] body, PeerReader reader) {
    Target target = peers.get(name);
    if (target == null) {
      replies.accept(call, new Reply.Lost("unknown node " + name));
      return;
    }
    send(target, method, path, body, PEER_MICROS, (status, content) -> {
      try {
        replies.accept(call, status == 200 ? reader.read(content) : new Reply.Refused(status));
      } catch (Malformed e) {
        LOG.error("unreadable answer of {}: {}", name, e.getMessage());
        replies.accept(call, new Reply.Lost(e.getMessage()));
      }
    }, why -> replies.accept(call, new Reply.Lost(why)));
  }

  private static String encode(String text) {
    return URLEncoder.encode(text, StandardCharsets.UTF_8);
  }

  private void exchange(long call, Target target, HttpMethod method, String path, byte[] body, long timeoutMicros,
      Reader ok, Reader conflict) {
    send(target, method, path, body, timeoutMicros,
        (status, content) -> replies.accept(call, read(status, content, path, ok, conflict)),
        why -> replies.accept(call, new Reply.Lost(why)));
  }

  /** What to do with a complete response. */
  private interface Completion {
    void accept(int status, byte[] content);
  }

  private void send(Target target, HttpMethod method, String path, byte[] body, long timeoutMicros,
      Completion completed, Consumer<String> failed) {
    var request = client.newRequest(target.host(), target.port()).method(method).path(path)
        .timeout(timeoutMicros, TimeUnit.MICROSECONDS);
    if (body != null) {
      request.body(new BytesRequestContent("application/msgpack", body));
    }
    request.send(new BufferingResponseListener(MOST_BYTES) {
      @Override
      public void onComplete(Result result) {
        if (result.isFailed()) {
          failed.accept(String.valueOf(result.getFailure()));
        } else {
          completed.accept(result.getResponse().getStatus(), getContent());
        }
      }
    });
  }

  private static Reply read(int status, byte[] content, String path, Reader ok, Reader conflict) {
    try {
      if (status == 200 || status == 201) {
        return ok.read(content == null || content.length == 0 ? Map.of() : Pack.readMap(content));
      }
      if (status == 409 && conflict != null) {
        return conflict.read(Pack.readMap(content));
      }
      if (status == 404 && path.startsWith("/store/")) {
        return new Reply.Found(null);
      }
      if (status >= 500 && status != 503) {
        return new Reply.Lost("status " + status);
      }
      return new Reply.Refused(status);
    } catch (Malformed e) {
      LOG.error("unreadable answer to {}: {}", path, e.getMessage());
      return new Reply.Lost(e.getMessage());
    }
  }

  @Override
  public void close() throws Exception {
    client.stop();
  }
}
