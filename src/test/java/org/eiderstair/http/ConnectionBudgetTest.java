package org.eiderstair.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.core.source64.XoRoShiRo128PlusPlus;

/** Tests how a node's sockets are divided among their uses; no real sockets are opened. */
class ConnectionBudgetTest {
  private static final int RESERVED_CONNECTIONS = 200;

  /** Opens up to the wanted number of heartbeat connections; returns how many were opened. */
  private static int openHeartbeats(ConnectionBudget budget, int wanted) {
    int open = 0;
    while (open < wanted && budget.tryOpenInbound()) {
      budget.countAsHeartbeat();
      open++;
    }
    return open;
  }

  /**
   * Answers a heartbeat on each connection, and closes the reclaimed connections. Returns how many
   * connections remain.
   */
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
  void noConnectionIsReclaimedWithinTheShares() {
    ConnectionBudget budget = ConnectionBudget.of(2_796);
    assertEquals(1_620, openHeartbeats(budget, 1_620));
    for (int user = 0; user < 400; user++) {
      assertTrue(budget.tryOpenInbound());
    }
    assertEquals(1_620, answerAll(budget, 1_620));
    assertEquals(2_796 / 5, budget.maxIdleCommandConnections());
  }

  /** 4,000 machines on 3,495 sockets must not take the shares of users and commands. */
  @Example
  void heartbeatsOfFourThousandMachinesLeaveUsersAndCommandsTheirShares() {
    int sockets = 3_495;
    ConnectionBudget budget = ConnectionBudget.of(sockets);
    int open = openHeartbeats(budget, 4_000);
    assertTrue(open < 4_000, "there are fewer sockets than machines");
    int kept = answerAll(budget, open);
    for (int user = 0; user < sockets / 10; user++) {
      assertTrue(budget.tryOpenInbound(), "user " + user);
    }
    int commands = 0;
    while (budget.tryOpenCommand()) {
      commands++;
    }
    assertTrue(commands >= sockets / 20, "commands " + commands);
    assertTrue(kept >= sockets / 2, "heartbeats keep the sockets that other uses leave: " + kept);
    assertTrue(kept + sockets / 10 + commands <= sockets - RESERVED_CONNECTIONS);
  }

  @Example
  void usersBeyondTheirShareDisplaceHeartbeats() {
    ConnectionBudget budget = new ConnectionBudget(100, 10, 5, 20);
    int kept = answerAll(budget, openHeartbeats(budget, 200));
    assertEquals(85, kept);
    for (int user = 0; user < 10; user++) {
      assertTrue(budget.tryOpenInbound());
    }
    assertEquals(85, answerAll(budget, kept), "users within their share displace no heartbeat");
    budget.closeInbound(ConnectionBudget.InboundUse.HEARTBEAT);
    assertTrue(budget.tryOpenInbound(), "one more user");
    assertEquals(84, answerAll(budget, 84));
    budget.closeInbound(ConnectionBudget.InboundUse.HEARTBEAT);
    assertEquals(1, openHeartbeats(budget, 1));
    assertEquals(84, answerAll(budget, 84), "84 heartbeats are still within the share");
  }

  @Example
  void commandsLeaveUsersTheirShare() {
    ConnectionBudget budget = new ConnectionBudget(100, 20, 5, 20);
    assertEquals(60, openHeartbeats(budget, 60));
    int commands = 0;
    while (budget.tryOpenCommand()) {
      commands++;
    }
    assertEquals(20, commands);
    for (int user = 0; user < 20; user++) {
      assertTrue(budget.tryOpenInbound(), "user " + user);
    }
    assertFalse(budget.tryOpenInbound());
  }

  @Example
  void eachRefusalIsReportedOnce() {
    ConnectionBudget budget = new ConnectionBudget(2, 0, 0, 0);
    assertTrue(budget.tryOpenInbound());
    assertTrue(budget.tryOpenInbound());
    assertFalse(budget.tryOpenInbound());
    assertEquals(1, budget.takeRefusals());
    assertEquals(0, budget.takeRefusals());
  }

  /** Connections open and close in random order; the reserve and the commands' share stay free. */
  @Property(tries = 200, seed = "3")
  void reserveIsNeverUsed(@ForAll long seed) {
    int sharedConnections = 100;
    ConnectionBudget budget = new ConnectionBudget(sharedConnections, 10, 5, 20);
    UniformRandomProvider random = new XoRoShiRo128PlusPlus(seed, 3);
    int users = 0;
    int heartbeats = 0;
    int closing = 0;
    int commands = 0;
    for (int step = 0; step < 2_000; step++) {
      switch (random.nextInt(8)) {
        case 0, 1, 2 -> users += budget.tryOpenInbound() ? 1 : 0;
        case 3 -> {
          if (users > 0) {
            budget.countAsHeartbeat();
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
        case 6 -> commands += budget.tryOpenCommand() ? 1 : 0;
        default -> {
          if (commands > 0) {
            budget.closeCommand();
            commands--;
          }
        }
      }
      assertTrue(users + heartbeats + closing + commands <= sharedConnections, "step " + step);
      assertTrue(
          users + heartbeats + closing <= sharedConnections - 5, "commands keep their share");
    }
  }
}
