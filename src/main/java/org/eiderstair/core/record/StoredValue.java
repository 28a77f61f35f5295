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
        UnknownKeyValue {

  /** Calls the method of the visitor for this kind of value and returns its result. */
  <T> T accept(Visitor<T> visitor);

  /** One method for each kind of value. */
  interface Visitor<T> {
    /** Visits the value of the leader key. */
    T leader(LeaderRecord value);

    /** Visits the catalog of machine types. */
    T catalog(CatalogRecord value);

    /** Visits a job. */
    T job(JobRecord value);

    /** Visits the progress of a job. */
    T progress(ProgressRecord value);

    /** Visits the registration of a worker. */
    T worker(WorkerRecord value);

    /** Visits the write barrier. */
    T barrier(BarrierRecord value);

    /** Visits a rental. */
    T rentalIntent(RentalIntentRecord value);

    /** Visits a release of machines. */
    T release(ReleaseRecord value);

    /** Visits the standby record. */
    T standby(StandbyRecord value);

    /** Visits a value of a known key that could not be decoded. */
    T unreadable(UnreadableValue value);

    /** Visits the value of an unknown key. */
    T unknownKey(UnknownKeyValue value);
  }
}
