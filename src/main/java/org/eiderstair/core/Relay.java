package org.eiderstair.core;

import java.util.HashMap;
import java.util.Map;

/**
 * A follower's dealings with workers. It sends them to the leader; one that is soon back could not reach the
 * leader, so for a while its reports are passed on, and what the leader answers is passed back. A follower never
 * makes an answer of its own: only the leader may renew a lease.
 */
final class Relay {
  private static final long BACK_SOON_MICROS = 12_000_000;
  private static final long RELAY_MICROS = 20_000_000;
  private static final long UNREACHED_MICROS = 2_000_000;
  private static final long FORGET_MICROS = 120_000_000;

  /** REDIRECTED was sent to the leader; RELAYED is passed on until its time is over. */
  private enum State { REDIRECTED, RELAYED }

  private record Visitor(State state, String leader, long sinceMicros) {}

  private final Ports ports;
  private long unreachedUntilMicros;
  private final Map<String, Visitor> visitors = new HashMap<>();

  Relay(Ports ports) {
    this.ports = ports;
  }

  void reported(long exchange, MachineReport report, String leader, long nowMicros) {
    if (leader == null) {
      ports.respond(exchange, new Answer.Redirect(null));
      return;
    }
    Visitor next = next(report.machine(), leader, nowMicros);
    visitors.put(report.machine(), next);
    if (visitors.size() > 1000) {
      visitors.values().removeIf(v -> nowMicros > v.sinceMicros() + FORGET_MICROS);
    }
    if (next.state() == State.REDIRECTED) {
      ports.respond(exchange, new Answer.Redirect(leader));
      return;
    }
    if (nowMicros < unreachedUntilMicros) {
      ports.respond(exchange, new Answer.Redirect(null));
      return;
    }
    ports.call(new Request.PeerRelay(leader, report), reply -> {
      if (reply instanceof Reply.Relayed relayed) {
        ports.respond(exchange, relayed.answer());
        return;
      }
      // When the leader has crashed, every worker comes here: one try tells, the rest would only cost time.
      unreachedUntilMicros = nowMicros + UNREACHED_MICROS;
      ports.respond(exchange, new Answer.Redirect(null));
    });
  }

  private Visitor next(String machine, String leader, long nowMicros) {
    Visitor last = visitors.get(machine);
    boolean same = last != null && last.leader().equals(leader);
    if (same && last.state() == State.RELAYED && nowMicros < last.sinceMicros() + RELAY_MICROS) {
      return last;
    }
    if (same && last.state() == State.REDIRECTED && nowMicros < last.sinceMicros() + BACK_SOON_MICROS) {
      ports.debug("machine " + machine + " is back soon from " + leader + ": relaying its reports");
      return new Visitor(State.RELAYED, leader, nowMicros);
    }
    return new Visitor(State.REDIRECTED, leader, nowMicros);
  }
}
