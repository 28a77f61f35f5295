package org.eiderstair.http;

/**
 * Divides the sockets that a node was given among their uses, so that no use can take what another
 * one needs. All shares are derived from the total.
 *
 * <p>The reserve is for peers, the state service and the cloud; neither users nor workers may take
 * it. Users and commands to workers each have a guaranteed share. Heartbeat connections may hold
 * what is left, and give way when users hold more than their share. Commands may use what
 * heartbeats and users leave free.
 *
 * <p>An inbound connection counts as a user's until it brings its first heartbeat. Safe for use by
 * several threads.
 */
public final class ConnectionBudget {
  /** What an inbound connection counts as; one that is CLOSING has been sent its last answer. */
  enum InboundUse {
    USER,
    HEARTBEAT,
    CLOSING
  }

  private static final int RESERVED = 200;

  /** Users are guaranteed one tenth of all sockets. */
  private static final int USER_DIVISOR = 10;

  /** Commands to workers are guaranteed one twentieth. */
  private static final int COMMAND_DIVISOR = 20;

  /** Connections without a command may take at most one fifth. */
  private static final int IDLE_COMMAND_DIVISOR = 5;

  private final int shared;
  private final int userShare;
  private final int commandShare;
  private final int maxIdleCommands;
  private int users;
  private int heartbeats;
  private int closing;
  private int commands;
  private int refusals;

  /**
   * Creates a budget with given shares.
   *
   * @param shared the sockets for users, heartbeats and commands together, without the reserve
   * @param userShare the part of it that heartbeats leave to users
   * @param commandShare the part of it that inbound connections leave to commands
   * @param maxIdleCommands the most command connections that are kept without a command
   */
  ConnectionBudget(int shared, int userShare, int commandShare, int maxIdleCommands) {
    this.shared = shared;
    this.userShare = userShare;
    this.commandShare = commandShare;
    this.maxIdleCommands = maxIdleCommands;
  }

  /** Derives the shares of a node that was given so many sockets; 0 if it is not known how many. */
  public static ConnectionBudget of(int maxConnections) {
    if (maxConnections <= 0) {
      return unlimited();
    }
    int maxIdleCommands = maxConnections / IDLE_COMMAND_DIVISOR;
    if (maxConnections <= RESERVED) {
      return new ConnectionBudget(Integer.MAX_VALUE, 0, 0, maxIdleCommands);
    }
    return new ConnectionBudget(
        maxConnections - RESERVED,
        maxConnections / USER_DIVISOR,
        maxConnections / COMMAND_DIVISOR,
        maxIdleCommands);
  }

  /** Creates a budget that refuses nothing. */
  static ConnectionBudget unlimited() {
    return new ConnectionBudget(Integer.MAX_VALUE, 0, 0, Integer.MAX_VALUE);
  }

  /** Counts an inbound connection; false, and not counted, if no socket is left for it. */
  synchronized boolean openInbound() {
    if (inbound() >= shared - Math.max(commands, commandShare)) {
      refusals++;
      return false;
    }
    users++;
    return true;
  }

  /** Counts a user's connection as a heartbeat connection from now on. */
  synchronized void becomeHeartbeat() {
    users--;
    heartbeats++;
  }

  /**
   * Takes back the socket of a heartbeat connection that is about to be answered, if such
   * connections hold more than their share. The caller then closes it after the answer: no other
   * moment is free of races, since a worker sends its next heartbeat only after that.
   */
  synchronized boolean reclaimHeartbeat() {
    if (heartbeats <= shared - commandShare - Math.max(users, userShare)) {
      return false;
    }
    heartbeats--;
    closing++;
    return true;
  }

  /** Ends the count of an inbound connection. */
  synchronized void closeInbound(InboundUse use) {
    switch (use) {
      case USER -> users--;
      case HEARTBEAT -> heartbeats--;
      case CLOSING -> closing--;
    }
  }

  /** Counts a connection for commands; false, and not counted, if the share is used up. */
  synchronized boolean openCommand() {
    if (commands >= Math.max(commandShare, freeForCommands()) || commands >= shared - inbound()) {
      return false;
    }
    commands++;
    return true;
  }

  /** Ends the count of a connection for commands. */
  synchronized void closeCommand() {
    commands--;
  }

  /** The most command connections that may be kept without a command at this moment. */
  synchronized int maxIdleCommands() {
    return Math.min(maxIdleCommands, Math.max(commandShare, freeForCommands()));
  }

  /** How many inbound connections have been refused since the last call. */
  public synchronized int takeRefusals() {
    int taken = refusals;
    refusals = 0;
    return taken;
  }

  /** What heartbeats leave free, and users even if they take up their share. */
  private int freeForCommands() {
    return shared - heartbeats - closing - Math.max(users, userShare);
  }

  private int inbound() {
    return users + heartbeats + closing;
  }
}
