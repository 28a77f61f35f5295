package org.eiderstair.core.workers;

import org.eiderstair.core.message.Reply;
import org.eiderstair.core.message.Request;

/** A command in flight from a leader to the worker; the leader may have given it up. */
final class InFlightCommand {
  final int leader;
  final long call;
  final Request.WorkerCommands request;
  boolean givenUp;
  Reply.WorkerStatus reply;

  InFlightCommand(int leader, long call, Request.WorkerCommands request) {
    this.leader = leader;
    this.call = call;
    this.request = request;
  }
}
