package org.eiderstair.http;

import org.eiderstair.core.message.Reply;
import org.eiderstair.core.message.Request;
import org.eiderstair.protocol.StoreMessages;

/** Builds HTTP requests to the state service. */
final class StateServiceRoutes {
  private static final byte[] EMPTY_BODY = new byte[0];
  private static final long TIMEOUT_MICROS = 2_000_000;
  private static final long LIST_TIMEOUT_MICROS = 2 * TIMEOUT_MICROS;

  private static final StatusReader TRANSACTION =
      StatusReader.ofMap(StoreMessages::decodeApplied).onConflictMap(StoreMessages::decodeConflict);
  private static final StatusReader WATCH = StatusReader.ofMap(StoreMessages::decodeChanged);
  private static final StatusReader GET_KEY =
      StatusReader.ofMap(StoreMessages::decodeFound).onNotFoundMap(StoreMessages::decodeMissing);
  private static final StatusReader LIST = StatusReader.ofMap(StoreMessages::decodeListed);
  private static final StatusReader GRANT = StatusReader.ofMap(StoreMessages::decodeLeaseGranted);
  private static final StatusReader LEASE_CHANGE =
      StatusReader.ofMap(message -> new Reply.Applied(0));

  private final String address;

  StateServiceRoutes(String address) {
    this.address = address;
  }

  OutgoingRequest transaction(Request.StoreTransaction transaction) {
    byte[] body = StoreMessages.encodeTransaction(transaction);
    return post(StoreMessages.TRANSACTION_PATH, body, TRANSACTION);
  }

  OutgoingRequest watch(Request.StoreWatch watch) {
    long timeoutMicros = watch.maxWaitMicros() + TIMEOUT_MICROS;
    return get(StoreMessages.watchPath(watch), timeoutMicros, WATCH);
  }

  OutgoingRequest get(Request.StoreGet get) {
    return get(StoreMessages.keyPath(get.key()), TIMEOUT_MICROS, GET_KEY);
  }

  OutgoingRequest list(Request.StoreList list) {
    return get(StoreMessages.listPath(list), LIST_TIMEOUT_MICROS, LIST);
  }

  OutgoingRequest grantLease(Request.LeaseGrant grant) {
    byte[] body = StoreMessages.encodeLeaseRequest(grant.ttlMicros());
    return post(StoreMessages.LEASES_PATH, body, GRANT);
  }

  OutgoingRequest renewLease(Request.LeaseRenew renew) {
    return post(StoreMessages.renewPath(renew.leaseId()), EMPTY_BODY, LEASE_CHANGE);
  }

  OutgoingRequest revokeLease(Request.LeaseRevoke revoke) {
    return new OutgoingRequest(
        address,
        OutgoingRequest.DELETE,
        StoreMessages.leasePath(revoke.leaseId()),
        null,
        TIMEOUT_MICROS,
        LEASE_CHANGE);
  }

  private OutgoingRequest get(String path, long timeoutMicros, StatusReader reader) {
    return new OutgoingRequest(address, OutgoingRequest.GET, path, null, timeoutMicros, reader);
  }

  private OutgoingRequest post(String path, byte[] body, StatusReader reader) {
    return new OutgoingRequest(address, OutgoingRequest.POST, path, body, TIMEOUT_MICROS, reader);
  }
}
