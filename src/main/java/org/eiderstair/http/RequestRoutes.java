package org.eiderstair.http;

import java.util.Map;
import org.eiderstair.core.message.Request;

/** Maps each request of the core to the service that it is sent to. */
final class RequestRoutes {
  private final StateServiceRoutes stateService;
  private final CloudRoutes cloud;
  private final WorkerRoutes workers = new WorkerRoutes();
  private final PeerRoutes peers;

  RequestRoutes(String stateAddress, String cloudAddress, Map<String, String> peerAddresses) {
    stateService = new StateServiceRoutes(stateAddress);
    cloud = new CloudRoutes(cloudAddress);
    peers = new PeerRoutes(peerAddresses);
  }

  /**
   * Returns the HTTP request for a request of the core, of any type that {@link Request} permits.
   */
  OutgoingRequest route(Request request) throws UnknownPeerException {
    if (request instanceof Request.StoreTransaction transaction) {
      return stateService.transaction(transaction);
    } else if (request instanceof Request.StoreWatch watch) {
      return stateService.watch(watch);
    } else if (request instanceof Request.StoreGet get) {
      return stateService.get(get);
    } else if (request instanceof Request.StoreList list) {
      return stateService.list(list);
    } else if (request instanceof Request.LeaseGrant grant) {
      return stateService.grantLease(grant);
    } else if (request instanceof Request.LeaseRenew renew) {
      return stateService.renewLease(renew);
    } else if (request instanceof Request.LeaseRevoke revoke) {
      return stateService.revokeLease(revoke);
    } else if (request instanceof Request.CloudCatalog) {
      return cloud.catalog();
    } else if (request instanceof Request.CloudRent rent) {
      return cloud.rent(rent);
    } else if (request instanceof Request.CloudDelete delete) {
      return cloud.delete(delete);
    } else if (request instanceof Request.CloudList list) {
      return cloud.list(list);
    } else if (request instanceof Request.WorkerStatus status) {
      return workers.status(status);
    } else if (request instanceof Request.WorkerCommands commands) {
      return workers.commands(commands);
    } else if (request instanceof Request.PeerRelayHeartbeat relay) {
      return peers.relayHeartbeat(relay);
    } else if (request instanceof Request.PeerStateServiceStatus status) {
      return peers.stateServiceStatus(status);
    } else if (request instanceof Request.PeerMembership membership) {
      return peers.membership(membership);
    } else if (request instanceof Request.PeerReplicate replicate) {
      return peers.replicate(replicate);
    } else if (request instanceof Request.PeerCancellations cancellations) {
      return peers.cancellations(cancellations);
    }
    throw new IllegalArgumentException("no route for request " + request);
  }
}
