package org.eiderstair.core.capacity;

import java.util.List;
import org.eiderstair.core.message.EffectSink;
import org.eiderstair.core.message.Reply;
import org.eiderstair.core.message.Request;
import org.eiderstair.core.model.MachineType;
import org.eiderstair.core.record.CatalogRecord;
import org.eiderstair.core.record.StateKeys;
import org.eiderstair.core.state.Replica;
import org.eiderstair.core.workers.WorkerManager;

/**
 * Periodically requests the catalog of machine types from the cloud and stores it in the state
 * service. Every node can then validate jobs, even while the cloud does not answer.
 */
final class CatalogRefresh {
  private static final long INTERVAL_MICROS = 120_000_000;
  private static final long RETRY_DELAY_MICROS = 1_500_000;

  private final EffectSink sink;
  private final Replica replica;
  private final WorkerManager workers;
  private final CloudCalls cloud;
  private final CapacityClock clock;
  private final long term;
  private long nextRequestMicros;
  private boolean requestInProgress;

  CatalogRefresh(
      EffectSink sink,
      Replica replica,
      WorkerManager workers,
      CloudCalls cloud,
      CapacityClock clock,
      long term) {
    this.sink = sink;
    this.replica = replica;
    this.workers = workers;
    this.cloud = cloud;
    this.clock = clock;
    this.term = term;
  }

  /** Requests the catalog when it is due and the rate limit allows it. */
  void tick() {
    if (requestInProgress || clock.nowMicros() < nextRequestMicros || !cloud.isWithinRate()) {
      return;
    }
    requestInProgress = true;
    cloud.query(
        new Request.CloudCatalog(),
        reply -> {
          requestInProgress = false;
          if (reply instanceof Reply.Catalog catalog) {
            scheduleIn(INTERVAL_MICROS);
            catalogReceived(catalog.types());
          } else {
            scheduleIn(RETRY_DELAY_MICROS);
          }
        });
  }

  private void catalogReceived(List<MachineType> types) {
    if (!types.equals(replica.catalog())) {
      writeCatalog(new CatalogRecord(types));
    }
  }

  private void writeCatalog(CatalogRecord record) {
    sink.call(
        new Request.StoreTransaction(
            List.of(
                new Request.Condition(StateKeys.LEADER, term),
                new Request.Condition(StateKeys.CATALOG, replica.catalogVersion())),
            List.of(Request.Write.put(StateKeys.CATALOG, record))),
        reply -> {
          if (reply instanceof Reply.Applied applied) {
            replica.apply(new Reply.Item(StateKeys.CATALOG, record, applied.revision()));
            workers.catalogChanged();
          } else {
            scheduleIn(RETRY_DELAY_MICROS);
          }
        });
  }

  private void scheduleIn(long delayMicros) {
    nextRequestMicros = clock.nowMicros() + delayMicros;
  }
}
