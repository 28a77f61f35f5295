package org.eiderstair.core.provisioning;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.core.source64.XoRoShiRo128PlusPlus;
import org.eiderstair.core.record.ReleaseRecord;
import org.eiderstair.core.record.StateKeys;
import org.eiderstair.core.record.StoredValue;
import org.eiderstair.core.record.StoredValueCodec;

/**
 * Holders replaced in the middle of everything, requests and answers that come minutes late:
 * nothing twice, nothing lost.
 */
class ProvisioningControllerTest {
  private static final RentalOption OPTION = new RentalOption("t", "a", true);
  private static final long SECOND = 1_000_000;

  /**
   * A state service that refuses writes of older epochs, a cloud, and messages that arrive when the
   * test says.
   */
  private static final class World {
    final TreeMap<String, StoredValue> store = new TreeMap<>();
    final Set<String> everMarked = new HashSet<>();
    final Map<String, List<String>> machinesByRequest = new LinkedHashMap<>();
    final Set<String> running = new HashSet<>();
    final Set<String> registeredWorkers = new HashSet<>();

    /** By machine, the latest epoch that placed something on it. */
    final Map<String, Long> usedIn = new HashMap<>();

    final List<Runnable> onTheWay = new ArrayList<>();
    final List<String> broken = new ArrayList<>();
    int decided;

    /** Whether a late copy of the next request follows it; its answer reaches nobody. */
    boolean copies;

    long epoch;
    long now;

    /** The state service holds a record in this form. */
    void read(String key, Map<String, Object> fields) {
      store.put(key, StoredValueCodec.decode(key, fields));
    }

    void toCloud(Runnable request, Runnable answer) {
      onTheWay.add(
          () -> {
            request.run();
            onTheWay.add(answer);
          });
      if (copies) {
        onTheWay.add(request);
      }
    }

    void deliver(int index) {
      onTheWay.remove(index).run();
    }

    void deliverAll() {
      while (!onTheWay.isEmpty()) {
        deliver(0);
      }
    }
  }

  /** One holder; it may go on after it was replaced, which it then does not know. */
  private static final class Holder implements ProvisioningHost {
    final World world;
    final long epoch;
    final ProvisioningController controller;
    final Set<String> booting = new HashSet<>();
    final Set<String> terminated = new HashSet<>();
    final List<String> errors = new ArrayList<>();
    final ArrayDeque<Runnable> writes = new ArrayDeque<>();
    boolean refusedByCloud;

    Holder(World world) {
      this.world = world;
      this.epoch = world.epoch += 10;
      this.controller = new ProvisioningController(this, epoch, 30 * SECOND, 0);
      controller.resume(new TreeMap<>(world.store), world.now);
    }

    /** Writes of one holder are carried out in their order, as the stateWriter does. */
    private void write(String key, StoredValue value, Runnable durable) {
      writes.add(
          () -> {
            // Conditioned on the leader key: a replaced holder's write fails, and it hears nothing.
            if (epoch == world.epoch) {
              if (value == null) {
                world.store.remove(key);
              } else {
                world.store.put(key, value);
                if (value instanceof ReleaseRecord release) {
                  world.everMarked.addAll(release.machines());
                }
              }
              world.onTheWay.add(durable);
            }
          });
      world.onTheWay.add(() -> writes.remove().run());
    }

    @Override
    public void put(String key, StoredValue value, Runnable onDurable) {
      write(key, value, onDurable);
    }

    @Override
    public void remove(String key) {
      write(key, null, () -> {});
    }

    @Override
    public boolean mayCallCloud() {
      return true;
    }

    @Override
    public void requestMachines(RentalRequest request, RentalResponseHandler handler) {
      String requestId = request.requestId();
      List<String> names = new ArrayList<>();
      world.toCloud(
          () -> {
            if (!world.store.containsKey(StateKeys.rental(requestId))
                && !world.machinesByRequest.containsKey(requestId)) {
              world.broken.add("asked for " + requestId + " before it was durable");
            }
            names.clear();
            names.addAll(
                world.machinesByRequest.computeIfAbsent(
                    requestId,
                    id -> {
                      List<String> made = new ArrayList<>();
                      for (int i = 0; i < request.count(); i++) {
                        made.add(id + "/" + i);
                      }
                      world.running.addAll(made);
                      return made;
                    }));
          },
          () -> handler.granted(List.copyOf(names)));
    }

    @Override
    public void deleteMachines(List<String> machines, Consumer<DeletionResult> callback) {
      if (refusedByCloud) {
        world.onTheWay.add(() -> callback.accept(DeletionResult.REFUSED));
        return;
      }
      world.toCloud(
          () -> {
            for (String machine : machines) {
              if (!world.everMarked.contains(machine)) {
                world.broken.add(machine + " deleted without a mark");
              }
              if (world.running.remove(machine) && world.usedIn.getOrDefault(machine, 0L) > epoch) {
                world.broken.add(
                    machine + " deleted by epoch " + epoch + " while in use by a later one");
              }
            }
          },
          () -> callback.accept(DeletionResult.CONFIRMED));
    }

    @Override
    public void machinesBooting(RentalRequest request, List<String> machines, long ageMicros) {
      booting.addAll(machines);
    }

    @Override
    public void optionExhausted(RentalOption option) {}

    @Override
    public void machineTerminated(String machine) {
      terminated.add(machine);
      world.registeredWorkers.remove(machine);
    }

    @Override
    public void releaseCancelled(String machine) {
      // It reports, and is found by that.
      booting.add(machine);
    }

    @Override
    public boolean isTerminated(String machine) {
      return terminated.contains(machine);
    }

    @Override
    public boolean isRegistered(String machine) {
      return world.registeredWorkers.contains(machine);
    }

    @Override
    public void info(String text) {}

    @Override
    public void error(String text) {
      errors.add(text);
    }
  }

  @Property(tries = 400, seed = "31")
  void whoeverHoldsAndHoweverLate(@ForAll long seed) {
    UniformRandomProvider random = new XoRoShiRo128PlusPlus(seed, 17);
    World world = new World();
    List<Holder> holders = new ArrayList<>(List.of(new Holder(world)));
    for (int step = 0; step < 150; step++) {
      world.now += random.nextInt(400_000);
      // A replaced holder goes on until it hears of it; its clock and its controller run.
      Holder h = holders.get(random.nextInt(holders.size()));
      Holder latest = holders.get(holders.size() - 1);
      switch (random.nextInt(8)) {
        case 0 -> {
          if (world.decided < 12) {
            world.decided++;
            h.controller.scaleOut(OPTION, 1 + random.nextInt(3));
          }
        }
        case 1 -> {
          List<String> running = new ArrayList<>(world.running);
          if (!running.isEmpty()) {
            h.controller.scaleIn(running.get(random.nextInt(running.size())));
          }
        }
        case 2 -> {
          for (String machine : world.running) {
            if (latest.booting.contains(machine) && !latest.controller.isReleasing(machine)) {
              world.usedIn.put(machine, latest.epoch);
            }
          }
        }
        case 3 -> {
          for (String machine : List.copyOf(world.running)) {
            if (latest.booting.contains(machine) && world.registeredWorkers.add(machine)) {
              latest.controller.machineRegistered(machine);
              break;
            }
          }
        }
        case 4 -> {
          List<String> running = new ArrayList<>(world.running);
          if (!running.isEmpty()) {
            h.controller.cancelScaleIn(running.get(random.nextInt(running.size())));
          }
        }
        case 5 -> {
          if (random.nextInt(6) == 0 && holders.size() < 5) {
            holders.add(new Holder(world));
          }
        }
        default -> {
          if (!world.onTheWay.isEmpty()) {
            world.deliver(random.nextInt(world.onTheWay.size()));
          }
        }
      }
      h.refusedByCloud = random.nextInt(10) == 0;
      world.copies = random.nextInt(5) == 0;
      h.controller.tick(world.now);
      latest.controller.tick(world.now);
    }
    assertEquals(List.of(), world.broken);
    // All that was ever written is settled by the last holder, and it knows every machine.
    Holder last = holders.get(holders.size() - 1);
    last.refusedByCloud = false;
    world.copies = false;
    for (int i = 0; i < 400; i++) {
      world.now += SECOND / 2;
      holders.forEach(x -> x.controller.tick(world.now));
      world.deliverAll();
      // Deleted by a holder that was replaced, and not known to be gone: it never comes up, and is
      // given back.
      last.booting.stream()
          .filter(m -> !world.running.contains(m) && !last.terminated.contains(m))
          .forEach(last.controller::scaleIn);
      for (String machine : List.copyOf(world.running)) {
        if (last.booting.contains(machine) && world.registeredWorkers.add(machine)) {
          last.controller.machineRegistered(machine);
        }
      }
    }
    assertEquals(List.of(), world.broken);
    assertTrue(world.store.isEmpty(), "left over: " + world.store);
    assertEquals(List.of(), last.controller.pendingRentals());
  }

  @Example
  void theSameRentalAskedForByTwoIsOne() {
    World world = new World();
    Holder first = new Holder(world);
    first.controller.scaleOut(OPTION, 3);
    world.deliver(0);
    world.deliver(0);
    first.controller.tick(SECOND);
    // The request of the first is on its way when the second takes over.
    Holder second = new Holder(world);
    second.controller.tick(2 * SECOND);
    world.deliverAll();
    assertEquals(1, world.machinesByRequest.size());
    assertEquals(3, second.booting.size());
    assertEquals(3, world.running.size());
  }

  @Example
  void aMarkedMachineIsLeftAloneByTheNextAndADeletionMinutesLateHitsNothing() {
    World world = new World();
    Holder first = new Holder(world);
    world.running.add("m");
    first.controller.scaleIn("m");
    first.controller.tick(SECOND);
    world.deliver(0);
    world.deliver(0);
    // It stands still between the mark and the request, is replaced, and goes on.
    Holder second = new Holder(world);
    assertTrue(second.controller.isReleasing("m"), "nothing is placed on it");
    first.controller.tick(200 * SECOND);
    second.controller.tick(200 * SECOND);
    world.deliverAll();
    assertEquals(List.of(), world.broken);
    assertFalse(world.running.contains("m"));
    assertTrue(second.terminated.contains("m"));
  }

  @Example
  void aMachineIsTakenBackOnlyWhileNoRequestForItMayArrive() {
    World world = new World();
    Holder holder = new Holder(world);
    world.running.add("m");
    holder.controller.scaleIn("m");
    assertTrue(holder.controller.cancelScaleIn("m"), "not written yet");
    holder.controller.scaleIn("m");
    holder.refusedByCloud = true;
    holder.controller.tick(SECOND);
    world.deliverAll();
    holder.controller.tick(2 * SECOND);
    assertFalse(holder.controller.cancelScaleIn("m"), "a request is on its way");
    world.deliverAll();
    assertTrue(holder.controller.cancelScaleIn("m"), "refused for certain");
    assertTrue(holder.controller.isReleasing("m"), "not before that is durable");
    world.deliverAll();
    assertFalse(holder.controller.isReleasing("m"));
    holder.controller.scaleIn("m");
    holder.refusedByCloud = false;
    holder.controller.tick(4 * SECOND);
    world.deliverAll();
    assertTrue(new Holder(world).controller.isReleasing("m"));
    assertFalse(
        new Holder(world).controller.cancelScaleIn("m"), "what an earlier epoch sent is not known");
  }

  @Example
  void whatCannotBeReadIsNamedAndStopsNothing() {
    World world = new World();
    world.read(
        StateKeys.rental("r-1-1"), Map.of("type", "t", "zone", 7L, "n", 3L, "epoch", 1L, "at", 0L));
    world.read(
        StateKeys.rental("r-1-2"),
        Map.of("type", "t", "zone", "a", "n", 0L, "epoch", 1L, "at", 0L));
    world.read(StateKeys.release("1-3"), Map.of("epoch", 1L, "ids", "m"));
    world.read(
        StateKeys.rental("r-1-4"),
        Map.of("type", "t", "zone", "a", "n", 2L, "epoch", 1L, "at", 0L, "later", true));
    Holder holder = new Holder(world);
    assertEquals(3, holder.errors.size());
    assertTrue(
        holder.errors.get(0).contains(StateKeys.release("1-3"))
            && holder.errors.get(0).contains("ids"));
    assertTrue(holder.errors.get(1).contains("r-1-1") && holder.errors.get(1).contains("zone"));
    holder.controller.tick(SECOND);
    world.deliverAll();
    assertEquals(2, holder.booting.size());
  }
}
