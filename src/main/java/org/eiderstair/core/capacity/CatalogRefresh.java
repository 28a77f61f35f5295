package org.eiderstair.core.capacity;

import java.util.List;
import org.eiderstair.core.message.EffectSink;
import org.eiderstair.core.message.Reply;
import org.eiderstair.core.message.Request;
import org.eiderstair.core.record.CatalogRecord;
import org.eiderstair.core.record.StateKeys;
import org.eiderstair.core.state.Replica;
import org.eiderstair.core.workers.WorkerManager;

/** Asks the cloud for the types of machines now and then, and keeps them in the state service. */
final class CatalogRefresh {
  private static final long EVERY_MICROS = 120_000_000;
  private static final long RETRY_MICROS = 1_500_000;

  private final EffectSink sink;
  private final Replica replica;
  private final WorkerManager workers;
  private final long term;
  private long now;
  private long nextMicros;
  private boolean reading;
  private boolean closed;

  CatalogRefresh(EffectSink sink, Replica replica, WorkerManager workers, long term) {
    this.sink = sink;
    this.replica = replica;
    this.workers = workers;
    this.term = term;
  }

  void close() {
    closed = true;
  }

  /** The time at which what is told next happened. */
  void at(long nowMicros) {
    now = nowMicros;
  }

  boolean due() {
    return !reading && now >= nextMicros;
  }

  void read() {
    reading = true;
    sink.call(
        new Request.CloudCatalog(),
        reply -> {
          reading = false;
          if (closed || !(reply instanceof Reply.Catalog catalog)) {
            nextMicros = now + RETRY_MICROS;
            return;
          }
          nextMicros = now + EVERY_MICROS;
          if (catalog.types().equals(replica.catalog())) {
            return;
          }
          // Kept in the state service so that every node can judge jobs, also while the cloud does
          // not answer.
          CatalogRecord value = new CatalogRecord(catalog.types());
          sink.call(
              new Request.StoreTxn(
                  List.of(
                      new Request.Condition(StateKeys.LEADER, term),
                      new Request.Condition(StateKeys.CATALOG, replica.catalogVersion())),
                  List.of(new Request.Write(StateKeys.CATALOG, value, 0))),
              written -> {
                if (written instanceof Reply.Applied applied) {
                  replica.apply(new Reply.Item(StateKeys.CATALOG, value, applied.revision()));
                  workers.typesChanged();
                } else {
                  nextMicros = now + RETRY_MICROS;
                }
              });
        });
  }
}
