package org.eiderstair.protocol;

/**
 * The names of fields on the wire, as constants named by the terms that the code uses. The package
 * documentation explains the names in a table.
 */
final class WireFields {
  // Submissions and states of jobs.
  static final String JOB_ID = "Id";
  static final String JOB_CLASS = "JobkindGroup";
  static final String TEAM = "Crew";
  static final String SHAPE = "Shape";
  static final String PRIORITY = "Urgency";
  static final String TASKS = "Pieces";
  static final String CPUS = "Cores";
  static final String ACCELERATORS = "Accelerators";
  static final String MEMORY_GB = "MemoryGb";
  static final String IMAGE = "Bundle";
  static final String IMAGE_GB = "ImageGb";
  static final String MACHINE_TYPES = "Hulls";
  static final String ONE_ZONE = "OneZone";
  static final String SPREAD = "Scatter";
  static final String ESTIMATE_SECONDS = "GuessS";
  static final String CHECKPOINT_INTERVAL_SECONDS = "CairnEveryS";
  static final String CHECKPOINT_DURATION_SECONDS = "CairnS";
  static final String DEADLINE_SECONDS = "DueS";
  static final String TASKS_DONE = "done";
  static final String TASKS_RUNNING = "running";
  static final String ERROR = "error";

  // Fields of several kinds of messages.
  static final String ZONE = "Fjord";
  static final String SPOT = "Driftwood";
  static final String STATE = "Tide";
  static final String MACHINE_TYPE = "Hull";
  static final String MACHINES = "Skerries";
  static final String ADDRESS = "Endpoint";
  static final String TRUNCATED = "Truncated";

  // Heartbeats of workers, and commands.
  static final String MACHINE = "Skerry";
  static final String INCARNATION = "Watch";
  static final String SEQUENCE = "Tally";
  static final String FENCING_TOKEN = "Baton";
  static final String SPOT_NOTICE_SECONDS = "WarningS";
  static final String TASK = "Piece";
  static final String ATTEMPT = "Try";
  static final String EXIT = "Cause";
  static final String CHECKPOINT_SAVED = "Saved";
  static final String ORDERS = "Orders";
  static final String ORDER_KIND = "Verb";
  static final String GRACE_SECONDS = "LeewayS";
  static final String REDIRECT_NODE = "Harbour";

  // Messages of the state service.
  static final String KEY = "K";
  static final String VERSION = "Stamp";
  static final String REVISION = "LedgerRev";
  static final String CONDITIONS = "When";
  static final String WRITES = "Writes";
  static final String PUT_KEY = "Put";
  static final String DELETE_KEY = "Drop";
  static final String VALUE = "Data";
  static final String LEASE = "Tenure";
  static final String LEASE_TTL_MILLIS = "TtlMs";
  static final String FAILED_KEYS = "failed";
  static final String ITEMS = "Entries";
  static final String CHANGES = "News";
  static final String QUERY_PREFIX = "Under";
  static final String QUERY_PAGE_SIZE = "Page";
  static final String QUERY_AFTER = "From";
  static final String QUERY_HOLD_MILLIS = "HoldMs";

  // Messages of the cloud.
  static final String RENTAL_REQUEST = "Charter";
  static final String RENTAL_COUNT = "HowMany";
  static final String CATALOG = "Hulls";
  static final String MACHINE_TYPE_NAME = "Label";
  static final String CACHE_GB = "LocalGb";
  static final String FETCH_GB_PER_SECOND = "PullGbPerS";
  static final String HOURLY_PRICE = "Hourly";
  static final String SPOT_PRICE = "MarketPrice";
  static final String BOOT_SECONDS = "StartupS";
  static final String ZONES = "Fjords";
  static final String MACHINE_ID = "Id";
  static final String AGE_SECONDS = "AgeS";

  private WireFields() {}
}
