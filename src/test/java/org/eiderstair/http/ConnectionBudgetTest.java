package org.eiderstair.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.core.source64.XoRoShiRo128PlusPlus;

/** The shares of a node's sockets, without any socket. */
class ConnectionBudgetTest {
  private static final int RESERVED = 200;

  private static int openHeartbeats(ConnectionBudget budget, int wanted) {
    int open = 0;
    while (open < wanted && budget.openInbound()) {
      budget.becomeHeartbeat();
      open++;
    }
    return open;
  }

  /** Every machine sends a heartbeat; what is reclaimed closes after its answer. */
  private static int answerAll(ConnectionBudget budget, int heartbeats) {
    int kept = heartbeats;
    for (int i = 0; i < heartbeats; i++) {
      if (budget.reclaimHeartbeat()) {
        budget.closeInbound(ConnectionBudget.InboundUse.CLOSING);
        kept--;
      }
    }
    return kept;
  }

  @Example
  void belowTheSharesNoConnectionIsReclaimed() {
    ConnectionBudget budget = ConnectionBudget.of(2_796);
    assertEquals(1_620, openHeartbeats(budget, 1_620));
    for (int user = 0; user < 400; user++) {
      assertTrue(budget.openInbound());
    }
    assertEquals(1_620, answerAll(budget, 1_620));
    assertEquals(2_796 / 5, budget.maxIdleCommands());
  }

  @Example
  void fourThousandMachinesLeaveTheOthersTheirShares() {
    int sockets = 3_495;
    ConnectionBudget budget = ConnectionBudget.of(sockets);
    int open = openHeartbeats(budget, 4_000);
    assertTrue(open < 4_000, "there are fewer sockets than machines");
    int kept = answerAll(budget, open);
    for (int user = 0; user < sockets / 10; user++) {
      assertTrue(budget.openInbound(), "user " + user);
    }
    int commands = 0;
    while (budget.openCommand()) {
      commands++;
    }
    assertTrue(commands >= sockets / 20, "commands " + commands);
    assertTrue(kept >= sockets / 2, "heartbeats keep what the others leave: " + kept);
    assertTrue(kept + sockets / 10 + commands <= sockets - RESERVED);
  }

  @Example
  void moreUsersThanTheirShareTakeFromHeartbeats() {
    ConnectionBudget budget = new ConnectionBudget(100, 10, 5, 20);
    int kept = answerAll(budget, openHeartbeats(budget, 200));
    assertEquals(85, kept);
    for (int user = 0; user < 10; user++) {
      assertTrue(budget.openInbound());
    }
    assertEquals(85, answerAll(budget, kept), "users within their share take nothing");
    budget.closeInbound(ConnectionBudget.InboundUse.HEARTBEAT);
    assertTrue(budget.openInbound(), "one user more");
    assertEquals(84, answerAll(budget, 84));
    budget.closeInbound(ConnectionBudget.InboundUse.HEARTBEAT);
    assertEquals(1, openHeartbeats(budget, 1));
    assertEquals(84, answerAll(budget, 84), "there is still room for as many");
  }

  @Example
  void commandsLeaveUsersTheirShare() {
    ConnectionBudget budget = new ConnectionBudget(100, 20, 5, 20);
    assertEquals(60, openHeartbeats(budget, 60));
    int commands = 0;
    while (budget.openCommand()) {
      commands++;
    }
    assertEquals(20, commands);
    for (int user = 0; user < 20; user++) {
      assertTrue(budget.openInbound(), "user " + user);
    }
    assertFalse(budget.openInbound());
  }

  @Example
  void refusalsAreCountedOnce() {
    ConnectionBudget budget = new ConnectionBudget(2, 0, 0, 0);
    assertTrue(budget.openInbound());
    assertTrue(budget.openInbound());
    assertFalse(budget.openInbound());
    assertEquals(1, budget.takeRefusals());
    assertEquals(0, budget.takeRefusals());
  }

  /** Whatever opens and closes in whatever order: the reserve stays free. */
  @Property(tries = 200, seed = "3")
  void theReserveIsNeverTaken(@ForAll long seed) {
    int shared = 100;
    ConnectionBudget budget = new ConnectionBudget(shared, 10, 5, 20);
    UniformRandomProvider random = new XoRoShiRo128PlusPlus(seed, 3);
    int users = 0;
    int heartbeats = 0;
    int closing = 0;
    int commands = 0;
    for (int step = 0; step < 2_000; step++) {
      switch (random.nextInt(8)) {
        case 0, 1, 2 -> users += budget.openInbound() ? 1 : 0;
        case 3 -> {
          if (users > 0) {
            budget.becomeHeartbeat();
            users--;
            heartbeats++;
          }
        }
        case 4 -> {
          if (heartbeats > 0 && budget.reclaimHeartbeat()) {
            heartbeats--;
            closing++;
          }
        }
        case 5 -> {
          if (closing > 0) {
            budget.closeInbound(ConnectionBudget.InboundUse.CLOSING);
            closing--;
          } else if (users > 0) {
            budget.closeInbound(ConnectionBudget.InboundUse.USER);
            users--;
          }
        }
        case 6 -> commands += budget.openCommand() ? 1 : 0;
        default -> {
          if (commands > 0) {
            budget.closeCommand();
            commands--;
          }
        }
      }
      assertTrue(users + heartbeats + closing + commands <= shared, "step " + step);
      assertTrue(users + heartbeats + closing <= shared - 5, "commands keep their share");
    }
  }
}
