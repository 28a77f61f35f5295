package org.eiderstair.core.record;

/** The keys of the state service, and which kind of value each holds. */
public final class StateKeys {
  /** The prefix of all keys. */
  public static final String ROOT = "e/";

  /** Names the leader; removed when its lease expires. */
  public static final String LEADER = "e/leader";

  /** The machine types that can be rented. */
  public static final String CATALOG = "e/catalog";

  /** Never removed; its version is a condition of every transaction of a leader. */
  public static final String BARRIER = "e/duty/barrier";

  /** Names the standby that is in sync. */
  public static final String STANDBY = "e/duty/standby";

  private static final String JOB = "e/job/";
  private static final String PROGRESS = "e/prog/";
  private static final String WORKER = "e/roster/";
  private static final String DUTY = "e/duty/";
  private static final String RENTAL = "e/duty/rent/";
  private static final String RELEASE = "e/duty/leave/";

  /** What kind of value a key holds. */
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

    /** Written by a newer version beside the records of a leader. */
    OTHER_DUTY(StateKeys.DUTY),

    /** Of no use to this version. */
    FOREIGN("");

    private final String prefix;

    Kind(String prefix) {
      this.prefix = prefix;
    }

    /** What the key says after the prefix of its kind: the id of a job, the name of a machine. */
    public String idOf(String key) {
      return key.substring(prefix.length());
    }
  }

  private StateKeys() {}

  /** The key of a job. */
  public static String job(String id) {
    return JOB + id;
  }

  /** The key of a job's progress. */
  public static String progress(String job) {
    return PROGRESS + job;
  }

  /** The key of a worker's registration. */
  public static String worker(String machine) {
    return WORKER + machine;
  }

  /** The key of a rental. */
  public static String rental(String request) {
    return RENTAL + request;
  }

  /** The key of machines that are released together. */
  public static String release(String name) {
    return RELEASE + name;
  }

  /** The kind of value that a key holds. */
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
    if (key.startsWith(DUTY)) {
      return kindOfDuty(key);
    }
    return switch (key) {
      case LEADER -> Kind.LEADER;
      case CATALOG -> Kind.CATALOG;
      default -> Kind.FOREIGN;
    };
  }

  private static Kind kindOfDuty(String key) {
    if (key.startsWith(RENTAL)) {
      return Kind.RENTAL;
    }
    if (key.startsWith(RELEASE)) {
      return Kind.RELEASE;
    }
    return switch (key) {
      case BARRIER -> Kind.BARRIER;
      case STANDBY -> Kind.STANDBY;
      default -> Kind.OTHER_DUTY;
    };
  }
}
