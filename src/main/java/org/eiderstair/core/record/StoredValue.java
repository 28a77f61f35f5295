package org.eiderstair.core.record;

/** The value of one key of the state service. */
public sealed interface StoredValue
    permits LeaderRecord,
        CatalogRecord,
        JobRecord,
        ProgressRecord,
        WorkerRecord,
        BarrierRecord,
        RentalIntentRecord,
        ReleaseRecord,
        StandbyRecord,
        UnreadableValue,
        ForeignValue {

  /** Calls the method of the visitor that is for this kind of value. */
  <T> T accept(Visitor<T> visitor);

  /** One method for each kind of value. */
  interface Visitor<T> {
    /** For the leader key. */
    T leader(LeaderRecord value);

    /** For the catalog of machine types. */
    T catalog(CatalogRecord value);

    /** For a job. */
    T job(JobRecord value);

    /** For the progress of a job. */
    T progress(ProgressRecord value);

    /** For a registered worker. */
    T worker(WorkerRecord value);

    /** For the write barrier. */
    T barrier(BarrierRecord value);

    /** For a rental. */
    T rentalIntent(RentalIntentRecord value);

    /** For machines that are released. */
    T release(ReleaseRecord value);

    /** For the standby. */
    T standby(StandbyRecord value);

    /** For a value of a known key in an unknown form. */
    T unreadable(UnreadableValue value);

    /** For the value of an unknown key. */
    T foreign(ForeignValue value);
  }
}
