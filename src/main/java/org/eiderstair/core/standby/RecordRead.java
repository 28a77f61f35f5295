package org.eiderstair.core.standby;

import org.eiderstair.core.record.StandbyRecord;

/** The outcome of reading the in-sync record. */
public sealed interface RecordRead {
  /** The record exists, with this version and value. */
  record Found(long version, StandbyRecord record) implements RecordRead {}

  /** There is no record. */
  record Absent() implements RecordRead {}

  /** The read failed, so it is unknown whether there is a record. */
  record Unknown() implements RecordRead {}
}
