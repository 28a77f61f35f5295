package org.eiderstair.core.standby;

/** The outcome of writing the in-sync record. */
public sealed interface RecordWrite {
  /** The record was written and now has this version. */
  record Written(long version) implements RecordWrite {}

  /** The record was certainly not written; the same write may be retried. */
  record NotWritten() implements RecordWrite {}

  /** The version or the leader key differs, or it is unknown whether the record was written. */
  record Uncertain() implements RecordWrite {}
}
