package org.eiderstair.compatibility;

import java.util.ArrayList;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.eiderstair.core.message.Reply;
import org.eiderstair.core.message.Request;
import org.eiderstair.core.provisioning.DeletionResult;
import org.eiderstair.core.provisioning.ProvisioningController;
import org.eiderstair.core.provisioning.ProvisioningHost;
import org.eiderstair.core.provisioning.RentalOption;
import org.eiderstair.core.provisioning.RentalRequest;
import org.eiderstair.core.provisioning.RentalResponseHandler;
import org.eiderstair.core.record.StoredValue;

/**
 * Produces the records of rentals and releases that a leader writes, in the order of its writes.
 */
final class ProvisioningWrites {
  static final RentalOption SPOT = new RentalOption("g8", "a", true);
  static final RentalOption RELIABLE = new RentalOption("c4", "b", false);

  /** The names of these writes in the recorded file. */
  static final List<String> RECORDED_NAMES =
      List.of(
          "provisioning-1:e/duty/rent/r-70-1",
          "provisioning-2:e/duty/rent/r-70-2",
          "provisioning-3:e/duty/rent/r-70-1",
          "provisioning-4:e/duty/leave/70-3",
          "provisioning-5:e/duty/leave/70-3");

  private ProvisioningWrites() {}

  /**
   * Collects the writes, and grants three machines to each request for {@link #SPOT}. Other
   * requests stay unanswered.
   */
  static final class Host implements ProvisioningHost {
    final List<Request.Write> writes = new ArrayList<>();
    final List<Runnable> durableCallbacks = new ArrayList<>();
    final List<String> errors = new ArrayList<>();
    final List<String> bootingMachines = new ArrayList<>();

    @Override
    public void put(String key, StoredValue value, Runnable onDurable) {
      writes.add(Request.Write.put(key, value));
      durableCallbacks.add(onDurable);
    }

    @Override
    public void remove(String key) {
      writes.add(Request.Write.delete(key));
    }

    @Override
    public boolean mayCallCloud() {
      return true;
    }

    @Override
    public void requestMachines(RentalRequest request, RentalResponseHandler handler) {
      if (request.option().equals(SPOT)) {
        handler.granted(List.of("m-1", "m-2", "m-3"));
      }
    }

    @Override
    public void deleteMachines(List<String> machines, Consumer<DeletionResult> callback) {}

    @Override
    public void machinesBooting(RentalRequest request, List<String> machines, long ageMicros) {
      bootingMachines.addAll(machines);
    }

    @Override
    public void optionExhausted(RentalOption option) {}

    @Override
    public void machineTerminated(String machine) {}

    @Override
    public void releaseCancelled(String machine) {}

    @Override
    public boolean isRegistered(String machine) {
      return machine.equals("m-1");
    }

    @Override
    public boolean isTerminated(String machine) {
      return false;
    }

    @Override
    public void info(String text) {}

    @Override
    public void error(String text) {
      errors.add(text);
    }
  }

  static List<Request.Write> writes() {
    Host host = new Host();
    ProvisioningController controller =
        new ProvisioningController(host, 70, 1, 1_764_670_000_000_000L);
    resume(controller, new TreeMap<>(), 1_000_000);
    controller.scaleOut(SPOT, 3);
    controller.scaleOut(RELIABLE, 1);
    host.durableCallbacks.get(0).run();
    controller.tick(2_000_000);
    controller.scaleIn("m-7");
    controller.scaleIn("m-8");
    controller.tick(3_000_000);
    controller.cancelScaleIn("m-7");
    return host.writes;
  }

  static void resume(
      ProvisioningController controller, SortedMap<String, Reply.Item> items, long nowMicros) {
    TreeMap<String, StoredValue> values = new TreeMap<>();
    items.forEach((key, item) -> values.put(key, item.value()));
    controller.resume(values, nowMicros);
  }
}
