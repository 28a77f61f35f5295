package org.eiderstair.core.workers;

import java.util.List;
import org.eiderstair.core.model.Attempt;
import org.eiderstair.core.model.FencingToken;
import org.eiderstair.core.model.Machine;
import org.eiderstair.core.model.Order;

/**
 * Counts the orders to machines, and at level debug logs each with the reason that allowed it. The
 * lines show after an incident which order started or ended an attempt, and with which token.
 */
final class OrderLog {
  /** The kind of message that carries an order. */
  enum Carrier {
    ANSWER,
    COMMAND
  }

  private final TermContext context;
  private long launchesByAnswer;
  private long launchesByCommand;
  private long kills;
  private long acknowledgements;
  private long fencesRaisedToAcknowledge;
  private long fencesRaisedWithoutReply;
  private long refusedCommands;

  OrderLog(TermContext context) {
    this.context = context;
  }

  /** Records that a message with orders is sent. */
  void sent(Machine machine, FencingToken token, List<Order> orders, Carrier carrier) {
    for (Order order : orders) {
      count(order, carrier);
      if (context.sink().isDebugEnabled()) {
        context.debug(
            "order="
                + order.getClass().getSimpleName()
                + " task="
                + order.task()
                + " attempt="
                + order.attempt()
                + " machine="
                + machine.id()
                + " incarnation="
                + machine.incarnation()
                + " fencing_token="
                + token
                + " by="
                + carrier
                + ": "
                + reason(machine, order));
      }
    }
  }

  private void count(Order order, Carrier carrier) {
    if (order instanceof Order.Kill) {
      kills++;
    } else if (order instanceof Order.Acknowledge) {
      acknowledgements++;
    } else if (carrier == Carrier.ANSWER) {
      launchesByAnswer++;
    } else {
      launchesByCommand++;
    }
  }

  private String reason(Machine machine, Order order) {
    if (order instanceof Order.Acknowledge) {
      return "ended as of sequence=" + machine.sequence();
    }
    if (order instanceof Order.Launch) {
      return "machine "
          + machine.phase()
          + ", leader until "
          + context.leadership().bounds().launchEndMicros()
          + " us, standby "
          + context.standby().summary();
    }
    Attempt attempt = machine.attempt(order.task());
    if (attempt == null) {
      return "not tracked";
    }
    return attempt.job().isOpen() ? "stop requested" : "job ended";
  }

  /** Records that the token was raised so that ended attempts can be acknowledged. */
  void fenceRaisedToAcknowledge(Machine machine) {
    fencesRaisedToAcknowledge++;
    if (context.sink().isDebugEnabled()) {
      context.debug(
          "machine="
              + machine.id()
              + " fencing_token="
              + machine.fencingToken()
              + " raised: earlier launches were answered, ended attempts are acknowledged");
    }
  }

  /** Records that the token was raised because a launch got no reply. */
  void fenceRaisedWithoutReply() {
    fencesRaisedWithoutReply++;
  }

  /** Records that a machine refused a command because of its token or incarnation. */
  void commandRefused() {
    refusedCommands++;
  }

  /** Returns the counts of this term for the leader's log line. */
  String summary() {
    return "launches by answer "
        + launchesByAnswer
        + ", launches by command "
        + launchesByCommand
        + ", kills "
        + kills
        + ", acknowledgements "
        + acknowledgements
        + ", fences raised to acknowledge "
        + fencesRaisedToAcknowledge
        + ", fences raised without reply "
        + fencesRaisedWithoutReply
        + ", commands refused "
        + refusedCommands;
  }
}
