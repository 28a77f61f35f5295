package org.eiderstair.http;

/**
 * Divides the sockets of a node among their uses, so that no use can take the sockets that another
 * one needs. All shares are derived from the total.
 *
 * <p>Peers, the state service and the cloud have a reserve, which neither users nor workers may
 * take. Users and commands to workers each have a guaranteed share. Heartbeat connections may take
 * the rest, and are closed when users hold more than their share. Command connections may also take
 * sockets that heartbeats and users leave free.
 *
 * <p>An inbound connection counts as a user's until its first heartbeat arrives. This class is safe
 * for use by several threads.
 */
public final class ConnectionBudget {
  /** The use that an inbound connection is counted for. */
  enum InboundUse {
    /** The connection has brought no heartbeat so far. */
    USER,

    /** The connection has brought a heartbeat of a worker. */
    HEARTBEAT,

    /** The budget has reclaimed the heartbeat connection, which closes after its answer. */
    CLOSING
  }

  /** Sockets for peers, the state service and the cloud. */
  private static final int RESERVED_CONNECTIONS = 200;

  /** Users are guaranteed one tenth of all sockets. */
  private static final int USER_DIVISOR = 10;

  /** Commands to workers are guaranteed one twentieth of all sockets. */
  private static final int COMMAND_DIVISOR = 20;

  /** Idle command connections may take at most one fifth of all sockets. */
  private static final int IDLE_COMMAND_DIVISOR = 5;

  private final int sharedConnections;
  private final int userShare;
  private final int commandShare;
  private final int maxIdleCommandConnections;
  private int userConnections;
  private int heartbeatConnections;
  private int closingConnections;
  private int commandConnections;
  private int refusals;

  /**
   * Creates a budget with given shares.
   *
   * @param sharedConnections the sockets for users, heartbeats and commands together, without the
   *     reserve
   * @param userShare how many of the shared sockets heartbeats leave to users
   * @param commandShare how many of the shared sockets inbound connections leave to commands
   * @param maxIdleCommandConnections the most idle command connections that are kept open
   */
  ConnectionBudget(
      int sharedConnections, int userShare, int commandShare, int maxIdleCommandConnections) {
    this.sharedConnections = sharedConnections;
    this.userShare = userShare;
    this.commandShare = commandShare;
    this.maxIdleCommandConnections = maxIdleCommandConnections;
  }

  /**
   * Derives the shares from the total number of sockets. If that is not more than the reserve, only
   * idle command connections are limited.
   *
   * @param maxConnections the number of sockets that the node may use; 0 if the number is unknown,
   *     which means no limits
   */
  public static ConnectionBudget of(int maxConnections) {
    if (maxConnections <= 0) {
      return unlimited();
    }
    int maxIdleCommandConnections = maxConnections / IDLE_COMMAND_DIVISOR;
    if (maxConnections <= RESERVED_CONNECTIONS) {
      return new ConnectionBudget(Integer.MAX_VALUE, 0, 0, maxIdleCommandConnections);
    }
    return new ConnectionBudget(
        maxConnections - RESERVED_CONNECTIONS,
        maxConnections / USER_DIVISOR,
        maxConnections / COMMAND_DIVISOR,
        maxIdleCommandConnections);
  }

  /** Creates a budget that refuses nothing. */
  static ConnectionBudget unlimited() {
    return new ConnectionBudget(Integer.MAX_VALUE, 0, 0, Integer.MAX_VALUE);
  }

  /**
   * Counts a new inbound connection as a user's.
   *
   * @return false if no socket is left; the connection is then counted as a refusal only
   */
  synchronized boolean tryOpenInbound() {
    if (inboundConnections() >= sharedConnections - Math.max(commandConnections, commandShare)) {
      refusals++;
      return false;
    }
    userConnections++;
    return true;
  }

  /** Counts a new inbound connection in place of one that was closed and is still counted. */
  synchronized void replaceInbound() {
    refusals = Math.max(0, refusals - 1);
    userConnections++;
  }

  /** Counts a user's connection as a heartbeat connection from now on. */
  synchronized void countAsHeartbeat() {
    userConnections--;
    heartbeatConnections++;
  }

  /**
   * Reclaims the socket of a heartbeat connection that is about to be answered, if heartbeat
   * connections hold more than their share. The caller then closes the connection after the answer.
   * At any other moment a close could race with a heartbeat: a worker sends the next one only after
   * the answer.
   *
   * @return whether the socket is reclaimed; the connection then counts as closing
   */
  synchronized boolean reclaimHeartbeat() {
    if (heartbeatConnections
        <= sharedConnections - commandShare - Math.max(userConnections, userShare)) {
      return false;
    }
    heartbeatConnections--;
    closingConnections++;
    return true;
  }

  /** Stops counting an inbound connection that was counted for the given use. */
  synchronized void closeInbound(InboundUse use) {
    switch (use) {
      case USER -> userConnections--;
      case HEARTBEAT -> heartbeatConnections--;
      case CLOSING -> closingConnections--;
    }
  }

  /**
   * Counts a new connection for commands to a worker.
   *
   * @return false if no socket is left for commands; the connection is then not counted
   */
  synchronized boolean tryOpenCommand() {
    if (commandConnections >= Math.max(commandShare, availableForCommands())
        || commandConnections >= sharedConnections - inboundConnections()) {
      return false;
    }
    commandConnections++;
    return true;
  }

  /** Stops counting a connection for commands. */
  synchronized void closeCommand() {
    commandConnections--;
  }

  /** Returns how many idle command connections may be kept open at this moment. */
  synchronized int maxIdleCommandConnections() {
    return Math.min(maxIdleCommandConnections, Math.max(commandShare, availableForCommands()));
  }

  /** Returns how many inbound connections have been refused since the last call. */
  public synchronized int takeRefusals() {
    int taken = refusals;
    refusals = 0;
    return taken;
  }

  /** Returns the sockets left for commands, even if users take up their whole share. */
  private int availableForCommands() {
    return sharedConnections
        - heartbeatConnections
        - closingConnections
        - Math.max(userConnections, userShare);
  }

  private int inboundConnections() {
    return userConnections + heartbeatConnections + closingConnections;
  }
}
