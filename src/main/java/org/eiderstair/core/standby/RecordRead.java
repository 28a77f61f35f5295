package org.eiderstair.core.standby;

import org.eiderstair.core.record.StandbyRecord;

/** What came of reading the in-sync record. */
public sealed interface RecordRead {
  /** It is there. */
  record Found(long version, StandbyRecord record) implements RecordRead {}

  /** There is none. */
  record Absent() implements RecordRead {}

  /** No answer came. */
  record Unknown() implements RecordRead {}
}
