package org.eiderstair.http;

import org.eiderstair.core.message.Reply;
import org.eiderstair.core.message.Request;
import org.eiderstair.protocol.MalformedMessageException;
import org.eiderstair.protocol.WorkerMessages;

/** Builds HTTP requests to workers; each request of the core holds the worker's address. */
final class WorkerRoutes {
  private static final long TIMEOUT_MICROS = 2_500_000;

  private static final StatusReader STATUS = StatusReader.of(content -> status(content, false));

  /**
   * Reads the answer to commands; a worker that refuses them sends status 409 and its own status.
   */
  private static final StatusReader COMMANDS =
      StatusReader.of(content -> status(content, true))
          .onConflict(content -> status(content, false));

  OutgoingRequest status(Request.WorkerStatus status) {
    return new OutgoingRequest(
        status.address(),
        OutgoingRequest.GET,
        WorkerMessages.STATUS_PATH,
        null,
        TIMEOUT_MICROS,
        STATUS);
  }

  OutgoingRequest commands(Request.WorkerCommands commands) {
    return new OutgoingRequest(
        commands.address(),
        OutgoingRequest.POST,
        WorkerMessages.COMMANDS_PATH,
        WorkerMessages.encodeCommand(
            commands.fencingToken(), commands.incarnation(), commands.orders()),
        TIMEOUT_MICROS,
        COMMANDS);
  }

  private static Reply status(byte[] content, boolean executed) throws MalformedMessageException {
    return new Reply.WorkerStatus(WorkerMessages.decodeHeartbeat(content), executed);
  }
}
