package org.eiderstair.core.membership;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.eiderstair.core.message.HeartbeatDigest;

/**
 * Whom this node hears by itself, as numbered changes: a peer that knows them up to a number is
 * told what changed since. A machine that goes on reporting here is no change and costs nothing to
 * tell.
 */
final class HeartbeatTracker {
  /**
   * Far more than the machines of a deployment; the oldest changes go first, and who knew less is
   * told all.
   */
  private static final int MOST = 8_192;

  /** HEARD reports here; QUIET did, and is now heard elsewhere or nowhere. */
  enum State {
    HEARD,
    QUIET
  }

  private static final class Sight {
    final String machine;
    State state;
    long sinceMicros;
    long lastMicros;
    long number;

    Sight(String machine) {
      this.machine = machine;
    }
  }

  private final long keepMicros;

  /** In the order of their last change. */
  private final Map<String, Sight> byChange = new LinkedHashMap<>();

  /** Those heard now, the one heard longest ago first. */
  private final Map<String, Sight> heard = new LinkedHashMap<>();

  private long last;

  /** Changes up to this number may be missing above. */
  private long forgotten;

  HeartbeatTracker(long keepMicros) {
    this.keepMicros = keepMicros;
  }

  void heard(String machine, long nowMicros) {
    Sight s = heard.remove(machine);
    if (s == null) {
      s = byChange.computeIfAbsent(machine, Sight::new);
      s.sinceMicros = nowMicros;
      become(s, State.HEARD);
    }
    s.lastMicros = nowMicros;
    heard.put(machine, s);
  }

  /** The one function for every change of state: each gets the next number. */
  private void become(Sight s, State next) {
    byChange.remove(s.machine);
    s.state = next;
    s.number = ++last;
    byChange.put(s.machine, s);
    if (byChange.size() > MOST) {
      Iterator<Sight> oldest = byChange.values().iterator();
      Sight gone = oldest.next();
      forgotten = gone.number;
      heard.remove(gone.machine);
      oldest.remove();
    }
  }

  private void sweep(long nowMicros) {
    while (!heard.isEmpty()) {
      Sight oldest = heard.values().iterator().next();
      if (nowMicros <= oldest.lastMicros + keepMicros) {
        return;
      }
      heard.remove(oldest.machine);
      oldest.sinceMicros = oldest.lastMicros;
      become(oldest, State.QUIET);
    }
  }

  /**
   * What changed after a number, at most so much; from the beginning when that is not known any
   * more.
   */
  HeartbeatDigest digestAfter(String run, long after, int most, long nowMicros) {
    sweep(nowMicros);
    boolean whole = after < forgotten || after > last;
    List<HeartbeatDigest.Change> changes = new ArrayList<>();
    long told = whole ? 0 : after;
    boolean more = false;
    for (Sight s : byChange.values()) {
      if (s.number <= told || whole && s.state == State.QUIET) {
        continue;
      }
      if (changes.size() == most) {
        more = true;
        break;
      }
      changes.add(
          new HeartbeatDigest.Change(
              s.machine, s.state == State.HEARD, Math.max(0, nowMicros - s.sinceMicros)));
      told = s.number;
    }
    return new HeartbeatDigest(run, whole, more ? told : last, more, changes);
  }
}
