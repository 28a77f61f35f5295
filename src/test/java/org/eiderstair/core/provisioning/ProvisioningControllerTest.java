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
 * Tests rentals and releases while leaders are replaced at any step and messages arrive minutes
 * late. No machine may be rented twice, deleted while in use, or lost.
 */
class ProvisioningControllerTest {
  private static final RentalOption OPTION = new RentalOption("t", "a", true);
  private static final long SECOND = 1_000_000;

  /**
   * A simulated state service and cloud. The state service rejects writes of earlier terms, and the
   * test determines when each message is delivered.
   */
  private static final class Platform {
    final TreeMap<String, StoredValue> store = new TreeMap<>();
    final Set<String> everReleased = new HashSet<>();
    final Map<String, List<String>> machinesByRequest = new LinkedHashMap<>();
    final Set<String> running = new HashSet<>();
    final Set<String> registeredWorkers = new HashSet<>();

    /** Maps each machine to the latest term that placed a task on it. */
    final Map<String, Long> lastTermUsed = new HashMap<>();

    final List<Runnable> inFlight = new ArrayList<>();
    final List<String> violations = new ArrayList<>();
    int rentalsDecided;

    /** Whether a late duplicate of the next request is also sent; its response is dropped. */
    boolean duplicatesNext;

    long term;
    long now;

    /** Stores a record that is decoded from these fields. */
    void read(String key, Map<String, Object> fields) {
      store.put(key, StoredValueCodec.decode(key, fields));
    }

    void toCloud(Runnable request, Runnable answer) {
      inFlight.add(
          () -> {
            request.run();
            inFlight.add(answer);
          });
      if (duplicatesNext) {
        inFlight.add(request);
      }
    }

    void deliver(int index) {
      inFlight.remove(index).run();
    }

    void deliverAll() {
      while (!inFlight.isEmpty()) {
        deliver(0);
      }
    }
  }

  /** The leader of one term. It may continue after its replacement, without knowing about it. */
  private static final class Leader implements ProvisioningHost {
    final Platform platform;
    final long term;
    final ProvisioningController controller;
    final Set<String> booting = new HashSet<>();
    final Set<String> terminated = new HashSet<>();
    final List<String> errors = new ArrayList<>();
    final ArrayDeque<Runnable> writes = new ArrayDeque<>();
    boolean cloudRefuses;

    Leader(Platform platform) {
      this.platform = platform;
      this.term = platform.term += 10;
      this.controller = new ProvisioningController(this, term, 30 * SECOND, 0);
      controller.resume(new TreeMap<>(platform.store), platform.now);
    }

    /** Queues a write; the writes of one leader are executed in order, as in StateWriter. */
    private void write(String key, StoredValue value, Runnable durable) {
      writes.add(
          () -> {
            // Each write requires the leader key, so a write of a replaced leader fails. The
            // leader gets no response.
            if (term == platform.term) {
              if (value == null) {
                platform.store.remove(key);
              } else {
                platform.store.put(key, value);
                if (value instanceof ReleaseRecord release) {
                  platform.everReleased.addAll(release.machines());
                }
              }
              platform.inFlight.add(durable);
            }
          });
      platform.inFlight.add(() -> writes.remove().run());
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
      platform.toCloud(
          () -> {
            if (!platform.store.containsKey(StateKeys.rental(requestId))
                && !platform.machinesByRequest.containsKey(requestId)) {
              platform.violations.add("requested " + requestId + " before it was durable");
            }
            names.clear();
            names.addAll(
                platform.machinesByRequest.computeIfAbsent(
                    requestId,
                    id -> {
                      List<String> made = new ArrayList<>();
                      for (int i = 0; i < request.count(); i++) {
                        made.add(id + "/" + i);
                      }
                      platform.running.addAll(made);
                      return made;
                    }));
          },
          () -> handler.granted(List.copyOf(names)));
    }

    @Override
    public void deleteMachines(List<String> machines, Consumer<DeletionResult> callback) {
      if (cloudRefuses) {
        platform.inFlight.add(() -> callback.accept(DeletionResult.REFUSED));
        return;
      }
      platform.toCloud(
          () -> {
            for (String machine : machines) {
              if (!platform.everReleased.contains(machine)) {
                platform.violations.add(machine + " deleted without a release record");
              }
              if (platform.running.remove(machine)
                  && platform.lastTermUsed.getOrDefault(machine, 0L) > term) {
                platform.violations.add(
                    machine + " deleted by term " + term + " while in use by a later one");
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
      platform.registeredWorkers.remove(machine);
    }

    @Override
    public void releaseCancelled(String machine) {
      // The machine sends heartbeats, so the leader knows it again.
      booting.add(machine);
    }

    @Override
    public boolean isTerminated(String machine) {
      return terminated.contains(machine);
    }

    @Override
    public boolean isRegistered(String machine) {
      return platform.registeredWorkers.contains(machine);
    }

    @Override
    public void info(String text) {}

    @Override
    public void error(String text) {
      errors.add(text);
    }
  }

  @Property(tries = 400, seed = "31")
  void nothingIsRentedTwiceOrDeletedInUseHoweverLateMessagesAre(@ForAll long seed) {
    UniformRandomProvider random = new XoRoShiRo128PlusPlus(seed, 17);
    Platform platform = new Platform();
    List<Leader> leaders = new ArrayList<>(List.of(new Leader(platform)));
    for (int step = 0; step < 150; step++) {
      platform.now += random.nextInt(400_000);
      // A replaced leader may still act, because it does not know about its replacement.
      Leader acting = leaders.get(random.nextInt(leaders.size()));
      Leader latest = leaders.get(leaders.size() - 1);
      switch (random.nextInt(8)) {
        case 0 -> {
          if (platform.rentalsDecided < 12) {
            platform.rentalsDecided++;
            acting.controller.scaleOut(OPTION, 1 + random.nextInt(3));
          }
        }
        case 1 -> {
          List<String> running = new ArrayList<>(platform.running);
          if (!running.isEmpty()) {
            acting.controller.scaleIn(running.get(random.nextInt(running.size())));
          }
        }
        case 2 -> {
          for (String machine : platform.running) {
            if (latest.booting.contains(machine) && !latest.controller.isReleasing(machine)) {
              platform.lastTermUsed.put(machine, latest.term);
            }
          }
        }
        case 3 -> {
          for (String machine : List.copyOf(platform.running)) {
            if (latest.booting.contains(machine) && platform.registeredWorkers.add(machine)) {
              latest.controller.machineRegistered(machine);
              break;
            }
          }
        }
        case 4 -> {
          List<String> running = new ArrayList<>(platform.running);
          if (!running.isEmpty()) {
            acting.controller.cancelScaleIn(running.get(random.nextInt(running.size())));
          }
        }
        case 5 -> {
          if (random.nextInt(6) == 0 && leaders.size() < 5) {
            leaders.add(new Leader(platform));
          }
        }
        default -> {
          if (!platform.inFlight.isEmpty()) {
            platform.deliver(random.nextInt(platform.inFlight.size()));
          }
        }
      }
      acting.cloudRefuses = random.nextInt(10) == 0;
      platform.duplicatesNext = random.nextInt(5) == 0;
      acting.controller.tick(platform.now);
      latest.controller.tick(platform.now);
    }
    assertEquals(List.of(), platform.violations);
    // The last leader must settle every record and know every machine.
    Leader last = leaders.get(leaders.size() - 1);
    last.cloudRefuses = false;
    platform.duplicatesNext = false;
    for (int i = 0; i < 400; i++) {
      platform.now += SECOND / 2;
      leaders.forEach(each -> each.controller.tick(platform.now));
      platform.deliverAll();
      // A replaced leader deleted these machines without the last leader knowing. They never boot,
      // so the last leader releases them.
      last.booting.stream()
          .filter(m -> !platform.running.contains(m) && !last.terminated.contains(m))
          .forEach(last.controller::scaleIn);
      for (String machine : List.copyOf(platform.running)) {
        if (last.booting.contains(machine) && platform.registeredWorkers.add(machine)) {
          last.controller.machineRegistered(machine);
        }
      }
    }
    assertEquals(List.of(), platform.violations);
    assertTrue(platform.store.isEmpty(), "records left: " + platform.store);
    assertEquals(List.of(), last.controller.pendingRentals());
  }

  @Example
  void aRentalRequestedByTwoLeadersIsGrantedOnce() {
    Platform platform = new Platform();
    Leader first = new Leader(platform);
    first.controller.scaleOut(OPTION, 3);
    platform.deliver(0);
    platform.deliver(0);
    first.controller.tick(SECOND);
    // The request of the first leader is in flight when the second takes over.
    Leader second = new Leader(platform);
    second.controller.tick(2 * SECOND);
    platform.deliverAll();
    assertEquals(1, platform.machinesByRequest.size());
    assertEquals(3, second.booting.size());
    assertEquals(3, platform.running.size());
  }

  @Example
  void aLateDeletionByAReplacedLeaderDeletesNoMachineInUse() {
    Platform platform = new Platform();
    Leader first = new Leader(platform);
    platform.running.add("m");
    first.controller.scaleIn("m");
    first.controller.tick(SECOND);
    platform.deliver(0);
    platform.deliver(0);
    // The first leader pauses between record and request, is replaced, and then continues.
    Leader second = new Leader(platform);
    assertTrue(
        second.controller.isReleasing("m"), "no task may be placed on a machine being released");
    first.controller.tick(200 * SECOND);
    second.controller.tick(200 * SECOND);
    platform.deliverAll();
    assertEquals(List.of(), platform.violations);
    assertFalse(platform.running.contains("m"));
    assertTrue(second.terminated.contains("m"));
  }

  @Example
  void aReleaseCanBeCancelledOnlyWhileNoDeletionRequestIsInFlight() {
    Platform platform = new Platform();
    Leader leader = new Leader(platform);
    platform.running.add("m");
    leader.controller.scaleIn("m");
    assertTrue(leader.controller.cancelScaleIn("m"), "the record is not written yet");
    leader.controller.scaleIn("m");
    leader.cloudRefuses = true;
    leader.controller.tick(SECOND);
    platform.deliverAll();
    leader.controller.tick(2 * SECOND);
    assertFalse(leader.controller.cancelScaleIn("m"), "a request is in flight");
    platform.deliverAll();
    assertTrue(leader.controller.cancelScaleIn("m"), "the request was certainly refused");
    assertTrue(
        leader.controller.isReleasing("m"), "still releasing until the cancellation is durable");
    platform.deliverAll();
    assertFalse(leader.controller.isReleasing("m"));
    leader.controller.scaleIn("m");
    leader.cloudRefuses = false;
    leader.controller.tick(4 * SECOND);
    platform.deliverAll();
    assertTrue(new Leader(platform).controller.isReleasing("m"));
    assertFalse(
        new Leader(platform).controller.cancelScaleIn("m"),
        "an earlier term may have sent a request");
  }

  @Example
  void anUnreadableRecordIsLoggedAndDoesNotStopTheLeader() {
    Platform platform = new Platform();
    platform.read(
        StateKeys.rental("r-1-1"), Map.of("type", "t", "zone", 7L, "n", 3L, "epoch", 1L, "at", 0L));
    platform.read(
        StateKeys.rental("r-1-2"),
        Map.of("type", "t", "zone", "a", "n", 0L, "epoch", 1L, "at", 0L));
    platform.read(StateKeys.release("1-3"), Map.of("epoch", 1L, "ids", "m"));
    platform.read(
        StateKeys.rental("r-1-4"),
        Map.of("type", "t", "zone", "a", "n", 2L, "epoch", 1L, "at", 0L, "later", true));
    Leader leader = new Leader(platform);
    assertEquals(3, leader.errors.size());
    assertTrue(
        leader.errors.get(0).contains(StateKeys.release("1-3"))
            && leader.errors.get(0).contains("ids"));
    assertTrue(leader.errors.get(1).contains("r-1-1") && leader.errors.get(1).contains("zone"));
    leader.controller.tick(SECOND);
    platform.deliverAll();
    assertEquals(2, leader.booting.size());
  }
}
