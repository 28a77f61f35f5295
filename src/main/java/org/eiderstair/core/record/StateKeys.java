package org.eiderstair.core.record;

/** The keys in the state service and the kind of value of each key. */
public final class StateKeys {
  /** The prefix of all keys. */
  public static final String ROOT = "e/";

  /** The key that names the leader; removed when the lease of the leader expires. */
  public static final String LEADER = "e/leader";

  /** The key of the machine types that can be rented. */
  public static final String CATALOG = "e/catalog";

  /**
   * The key of the write barrier; never removed. Every transaction of a state writer requires its
   * version.
   */
  public static final String BARRIER = "e/duty/barrier";

  /** The key that names the standby that is in sync. */
  public static final String STANDBY = "e/duty/standby";

  private static final String JOB = "e/job/";
  private static final String PROGRESS = "e/prog/";
  private static final String WORKER = "e/roster/";

  /** The prefix of records with which leaders coordinate: barrier, standby, rentals, releases. */
  private static final String COORDINATION = "e/duty/";

  private static final String RENTAL = "e/duty/rent/";
  private static final String RELEASE = "e/duty/leave/";

  /** The kind of value of a key. */
  public enum Kind {
    LEADER(StateKeys.LEADER),
    CATALOG(StateKeys.CATALOG),
    JOB(StateKeys.JOB),
    PROGRESS(StateKeys.PROGRESS),
    WORKER(StateKeys.WORKER),
    BARRIER(StateKeys.BARRIER),
    STANDBY(StateKeys.STANDBY),
    RENTAL(StateKeys.RENTAL),
    RELEASE(StateKeys.RELEASE),

    /** A coordination record of a kind that only a newer version knows. */
    OTHER_COORDINATION(StateKeys.COORDINATION),

    /** A key that this version does not know. */
    UNKNOWN("");

    private final String prefix;

    Kind(String prefix) {
      this.prefix = prefix;
    }

    /**
     * Returns the part of a key after the prefix of its kind: a job id or a machine name, for
     * example.
     */
    public String idOf(String key) {
      return key.substring(prefix.length());
    }
  }

  private StateKeys() {}

  /** Returns the key of a job. */
  public static String job(String id) {
    return JOB + id;
  }

  /** Returns the key of the progress of a job. */
  public static String progress(String job) {
    return PROGRESS + job;
  }

  /** Returns the key of the registration of a worker. */
  public static String worker(String machine) {
    return WORKER + machine;
  }

  /** Returns the key of a rental, by the name of its request. */
  public static String rental(String request) {
    return RENTAL + request;
  }

  /** Returns the key of a release of machines, by its name. */
  public static String release(String name) {
    return RELEASE + name;
  }

  /** Returns the kind of value of a key. */
  public static Kind kindOf(String key) {
    if (key.startsWith(JOB)) {
      return Kind.JOB;
    }
    if (key.startsWith(PROGRESS)) {
      return Kind.PROGRESS;
    }
    if (key.startsWith(WORKER)) {
      return Kind.WORKER;
    }
    if (key.startsWith(COORDINATION)) {
      return kindOfCoordinationRecord(key);
    }
    return switch (key) {
      case LEADER -> Kind.LEADER;
      case CATALOG -> Kind.CATALOG;
      default -> Kind.UNKNOWN;
    };
  }

  private static Kind kindOfCoordinationRecord(String key) {
    if (key.startsWith(RENTAL)) {
      return Kind.RENTAL;
    }
    if (key.startsWith(RELEASE)) {
      return Kind.RELEASE;
    }
    return switch (key) {
      case BARRIER -> Kind.BARRIER;
      case STANDBY -> Kind.STANDBY;
      default -> Kind.OTHER_COORDINATION;
    };
  }
}
