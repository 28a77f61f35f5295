package org.eiderstair.core.standby;

/** What came of writing the in-sync record. */
public sealed interface RecordWrite {
  /** It was written and has this version now. */
  record Written(long version) implements RecordWrite {}

  /** It was certainly not written, and the same write may be tried again. */
  record NotWritten() implements RecordWrite {}

  /** The version or the leader key differs, or it is not known whether it was written. */
  record Uncertain() implements RecordWrite {}
}
