package org.eiderstair.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import net.jqwik.api.Example;
import org.eiderstair.core.message.ReplicationBatch;
import org.eiderstair.core.message.Reply;
import org.eiderstair.core.message.Request;
import org.eiderstair.core.model.FencingToken;
import org.eiderstair.core.model.Heartbeat;

/**
 * Tests that each request of the core has the address, method and path that its service expects.
 */
class RequestRoutesTest {
  private static final String STATE = "10.0.0.1:1";
  private static final String CLOUD = "10.0.0.2:2";
  private static final String WORKER = "10.0.0.3:3";
  private static final String PEER = "10.0.0.4:4";

  private final RequestRoutes routes = new RequestRoutes(STATE, CLOUD, Map.of("b", PEER));

  private static Map<Request, String> expectedTargets() {
    Map<Request, String> targets = new LinkedHashMap<>();
    targets.put(new Request.StoreTransaction(List.of(), List.of()), STATE + " POST /txn");
    targets.put(
        new Request.StoreWatch("a/b", 7, 30_000_000),
        STATE + " GET /watch?Under=a%2Fb&From=7&HoldMs=30000");
    targets.put(new Request.StoreGet("a/b"), STATE + " GET /store/a/b");
    targets.put(new Request.StoreList("a/", null, 9), STATE + " GET /store?Under=a%2F&Page=9");
    targets.put(
        new Request.StoreList("a/", "a/b", 9), STATE + " GET /store?Under=a%2F&Page=9&From=a%2Fb");
    targets.put(new Request.LeaseGrant(1_000_000), STATE + " POST /leases");
    targets.put(new Request.LeaseRenew(5), STATE + " POST /leases/5/touch");
    targets.put(new Request.LeaseRevoke(5), STATE + " DELETE /leases/5");
    targets.put(new Request.CloudCatalog(), CLOUD + " GET /catalog");
    targets.put(new Request.CloudRent("r", "t", "z", true, 1), CLOUD + " POST /hosts");
    targets.put(new Request.CloudDelete(List.of("m")), CLOUD + " POST /hosts/delete");
    targets.put(new Request.CloudList(null), CLOUD + " GET /hosts?Page=500");
    targets.put(new Request.CloudList("m 1"), CLOUD + " GET /hosts?Page=500&From=m+1");
    targets.put(new Request.WorkerStatus(WORKER), WORKER + " GET /status");
    targets.put(
        new Request.WorkerCommands(WORKER, new FencingToken(1), 1, List.of()),
        WORKER + " POST /commands");
    targets.put(new Request.PeerStateServiceStatus("b"), PEER + " GET /peer/standing");
    targets.put(new Request.PeerMembership("b", "run", 1), PEER + " POST /peer/heard");
    targets.put(
        new Request.PeerReplicate("b", new ReplicationBatch(1, 1, 1, false, List.of())),
        PEER + " POST /peer/standby");
    targets.put(new Request.PeerCancellations("b", List.of()), PEER + " POST /peer/cancelled");
    targets.put(new Request.PeerRelayHeartbeat("b", heartbeat()), PEER + " POST /peer/relay");
    return targets;
  }

  private static Heartbeat heartbeat() {
    return new Heartbeat(
        "m", WORKER, "t", "z", true, 1, 1, new FencingToken(1), Heartbeat.NO_NOTICE, List.of());
  }

  @Example
  void everyRequestTypeHasItsTarget() throws UnknownPeerException {
    Map<Request, String> targets = expectedTargets();
    for (Map.Entry<Request, String> expected : targets.entrySet()) {
      OutgoingRequest request = routes.route(expected.getKey());
      assertEquals(
          expected.getValue(), request.address + " " + request.method + " " + request.path);
    }
    Set<Class<?>> covered =
        targets.keySet().stream().map(Object::getClass).collect(Collectors.toSet());
    Set<Class<?>> permitted =
        Arrays.stream(Request.class.getPermittedSubclasses()).collect(Collectors.toSet());
    assertEquals(permitted, covered);
  }

  @Example
  void exceptionNamesTheUnknownPeer() {
    UnknownPeerException unknown =
        assertThrows(
            UnknownPeerException.class,
            () -> routes.route(new Request.PeerStateServiceStatus("x")));
    assertEquals("unknown peer x", unknown.getMessage());
  }

  @Example
  void serverErrorsAreNoResponseAndOtherStatusesAreRefusals() throws Exception {
    OutgoingRequest request = routes.route(new Request.CloudCatalog());
    byte[] empty = new byte[0];
    assertEquals(new Reply.NoResponse("status 500"), request.reader.read(500, empty));
    assertEquals(new Reply.Refused(503), request.reader.read(503, empty));
    assertEquals(new Reply.Refused(404), request.reader.read(404, empty));
    assertEquals(new Reply.Refused(409), request.reader.read(409, empty));
    OutgoingRequest toPeer = routes.route(new Request.PeerStateServiceStatus("b"));
    assertEquals(new Reply.Refused(500), toPeer.reader.read(500, empty));
  }
}
