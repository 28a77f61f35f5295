package org.eiderstair.node;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.Fields;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.eiderstair.core.message.Answer;
import org.eiderstair.core.model.FencingToken;
import org.eiderstair.peer.PeerMessages;
import org.eiderstair.protocol.MalformedMessageException;
import org.eiderstair.protocol.MessagePackCodec;
import org.eiderstair.protocol.MessageSpelling;

/**
 * A server that imitates the state service, the cloud, the workers and one peer on one port. It
 * implements only what a controller needs. Each machine has its own loopback address, which
 * identifies the receiver of a command.
 */
final class FakePlatform extends Handler.Abstract implements AutoCloseable {
  private static final int SERVER_THREADS = 24;
  private static final String STORE_ITEM_PATH = "/store/";
  private static final int MAX_WATCH_WAITS = 4;
  private static final long WATCH_WAIT_MILLIS = 250;

  private final Server server = new Server(new QueuedThreadPool(SERVER_THREADS));
  private final ServerConnector connector = new ServerConnector(server);
  private final FakeStore store = new FakeStore();
  private final Map<String, FakeMachine> machines = new LinkedHashMap<>();
  private final int maxMachines;
  private final long taskMillis;
  private final AtomicLong spellingSeed = new AtomicLong();
  private volatile boolean plainSpelling;
  private int relayedHeartbeats;

  /**
   * Starts the server on a free port.
   *
   * @param maxMachines the number of machines that the cloud rents out at a time
   * @param taskMillis the run time of each task
   */
  FakePlatform(int maxMachines, long taskMillis) throws Exception {
    this.maxMachines = maxMachines;
    this.taskMillis = taskMillis;
    server.addConnector(connector);
    server.setHandler(this);
    server.start();
  }

  int port() {
    return connector.getLocalPort();
  }

  @Override
  public boolean handle(Request request, Response response, Callback callback) throws Exception {
    ByteBuffer content = Content.Source.asByteBuffer(request);
    byte[] body = new byte[content.remaining()];
    content.get(body);
    String path = Request.getPathInContext(request);
    response.setStatus(200);
    byte[] answer =
        path.startsWith("/peer")
            ? answerPeer(path, body)
            : encode(
                answer(
                    path,
                    request,
                    body.length == 0 ? Map.of() : MessagePackCodec.readMap(body),
                    response));
    response.write(true, ByteBuffer.wrap(answer), callback);
    return true;
  }

  /** Encodes each answer in another spelling, among unknown fields, unless plain ones are asked. */
  private byte[] encode(Map<String, Object> answer) {
    return plainSpelling
        ? MessagePackCodec.write(answer)
        : MessageSpelling.encode(answer, spellingSeed.incrementAndGet());
  }

  /** Makes all further answers plain, for a workload that is measured. */
  void usePlainSpelling() {
    plainSpelling = true;
  }

  /**
   * Answers as a peer, which leads while the store holds its leader key. The peer accepts relayed
   * heartbeats. To every other request it answers that it is the leader.
   */
  private byte[] answerPeer(String path, byte[] body) throws MalformedMessageException {
    if (path.equals(PeerMessages.RELAY_PATH)) {
      PeerMessages.decodeHeartbeat(body);
      synchronized (this) {
        relayedHeartbeats++;
      }
      return PeerMessages.encodeHeartbeatAnswer(new Answer.Command(new FencingToken(1), List.of()));
    }
    return PeerMessages.encodeStateServiceStatus(new Answer.StateServiceStatus(true, "other", 1));
  }

  private synchronized Map<String, Object> answer(
      String path, Request request, Map<String, Object> body, Response response)
      throws InterruptedException {
    if (path.startsWith(STORE_ITEM_PATH)) {
      return answer(store.get(path.substring(STORE_ITEM_PATH.length())), response);
    }
    if (path.startsWith("/leases")) {
      return store.grantLease();
    }
    return switch (path) {
      case "/store" -> listStore(request);
      case "/txn" -> {
        FakeStore.Outcome outcome = store.commit(body);
        notifyAll();
        yield answer(outcome, response);
      }
      case "/watch" -> watch(request);
      case "/catalog" -> Map.of("Hulls", List.of(smallMachineType()));
      case "/hosts" -> request.getMethod().equals("POST") ? rent(body) : listMachines();
      case "/hosts/delete" -> {
        ((List<?>) body.get("Skerries")).forEach(machines::remove);
        yield Map.of();
      }
      case "/commands" -> command(request, body, response);
      default -> Map.of();
    };
  }

  private static Map<String, Object> answer(FakeStore.Outcome outcome, Response response) {
    response.setStatus(outcome.status());
    return outcome.body();
  }

  private Map<String, Object> listStore(Request request) {
    Fields query = Request.extractQueryParameters(request);
    return store.list(query.getValue("From"), Integer.parseInt(query.getValue("Page")));
  }

  /** Returns the changes after the requested revision. Waits up to a second for one. */
  private Map<String, Object> watch(Request request) throws InterruptedException {
    long after = Long.parseLong(Request.extractQueryParameters(request).getValue("From"));
    Map<String, Object> changes = store.changesAfter(after);
    for (int i = 0; i < MAX_WATCH_WAITS && ((List<?>) changes.get("News")).isEmpty(); i++) {
      wait(WATCH_WAIT_MILLIS);
      changes = store.changesAfter(after);
    }
    return changes;
  }

  private static Map<String, Object> smallMachineType() {
    return Map.of(
        "Label",
        "small",
        "Cores",
        4,
        "Accelerators",
        0,
        "MemoryGb",
        8,
        "Hourly",
        1.0,
        "MarketPrice",
        0.5,
        "StartupS",
        1,
        "Fjords",
        List.of("z"));
  }

  private Map<String, Object> rent(Map<String, Object> body) {
    return Map.of("Skerries", rent(((Long) body.get("HowMany")).intValue()));
  }

  private List<String> rent(int count) {
    List<String> ids = new ArrayList<>();
    for (int i = 0; i < count && machines.size() < maxMachines; i++) {
      FakeMachine machine = new FakeMachine(machines.size() + 1, port(), taskMillis);
      machines.put(machine.id(), machine);
      ids.add(machine.id());
    }
    return ids;
  }

  private Map<String, Object> listMachines() {
    List<Object> listed =
        machines.values().stream().<Object>map(FakePlatform::listedMachine).toList();
    return Map.of("Skerries", listed, "Truncated", false);
  }

  private static Map<String, Object> listedMachine(FakeMachine machine) {
    return Map.of(
        "Id",
        machine.id(),
        "Endpoint",
        machine.address(),
        "Hull",
        "small",
        "Fjord",
        "z",
        "Driftwood",
        true,
        "Tide",
        "running",
        "AgeS",
        10.0);
  }

  private Map<String, Object> command(
      Request request, Map<String, Object> body, Response response) {
    String host =
        ((InetSocketAddress) request.getConnectionMetaData().getLocalSocketAddress())
            .getAddress()
            .getHostAddress();
    Optional<FakeMachine> receiver =
        machines.values().stream().filter(machine -> machine.host().equals(host)).findFirst();
    if (receiver.isEmpty()) {
      response.setStatus(404);
      return Map.of();
    }
    if (!receiver.get().receiveCommand(body)) {
      response.setStatus(409);
    }
    return receiver.get().heartbeat();
  }

  /** Writes a key as if another controller did so; removes the key if the value is null. */
  synchronized void put(String key, Map<String, Object> value) {
    store.put(Collections.singletonMap(key, value));
    notifyAll();
  }

  /** Adds running machines that are registered as if by an earlier leader. */
  synchronized void addMachinesOfEarlierLeader(int count) {
    for (String id : rent(count)) {
      String address = machines.get(id).address();
      put("e/roster/" + id, Map.of("addr", address, "type", "small", "zone", "z", "spot", true));
    }
  }

  synchronized List<FakeMachine> machines() {
    return new ArrayList<>(machines.values());
  }

  synchronized int relayedHeartbeats() {
    return relayedHeartbeats;
  }

  @Override
  public void close() {
    try {
      server.stop();
    } catch (Exception e) {
      throw new IllegalStateException("cannot stop the fake server", e);
    }
  }
}
