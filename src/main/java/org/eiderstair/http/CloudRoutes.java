package org.eiderstair.http;

import org.eiderstair.core.message.Reply;
import org.eiderstair.core.message.Request;
import org.eiderstair.protocol.CloudMessages;

/** Builds HTTP requests to the cloud. */
final class CloudRoutes {
  private static final long TIMEOUT_MICROS = 5_000_000;

  private static final StatusReader CATALOG = StatusReader.ofMap(CloudMessages::decodeCatalog);
  private static final StatusReader RENT = StatusReader.ofMap(CloudMessages::decodeRented);
  private static final StatusReader DELETE = StatusReader.ofMap(message -> new Reply.Applied(0));
  private static final StatusReader LIST = StatusReader.ofMap(CloudMessages::decodeMachines);

  private final String address;

  CloudRoutes(String address) {
    this.address = address;
  }

  OutgoingRequest catalog() {
    return get(CloudMessages.CATALOG_PATH, CATALOG);
  }

  OutgoingRequest rent(Request.CloudRent rent) {
    return post(CloudMessages.MACHINES_PATH, CloudMessages.encodeRent(rent), RENT);
  }

  OutgoingRequest delete(Request.CloudDelete delete) {
    return post(CloudMessages.DELETE_PATH, CloudMessages.encodeDelete(delete.machines()), DELETE);
  }

  OutgoingRequest list(Request.CloudList list) {
    return get(CloudMessages.listPath(list), LIST);
  }

  private OutgoingRequest get(String path, StatusReader reader) {
    return new OutgoingRequest(address, OutgoingRequest.GET, path, null, TIMEOUT_MICROS, reader);
  }

  private OutgoingRequest post(String path, byte[] body, StatusReader reader) {
    return new OutgoingRequest(address, OutgoingRequest.POST, path, body, TIMEOUT_MICROS, reader);
  }
}
