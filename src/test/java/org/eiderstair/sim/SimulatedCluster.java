package org.eiderstair.sim;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongFunction;
import java.util.function.UnaryOperator;
import org.eiderstair.core.Core;
import org.eiderstair.core.message.Answer;
import org.eiderstair.core.message.Effect;
import org.eiderstair.core.message.Event;
import org.eiderstair.core.message.Reply;
import org.eiderstair.core.message.Request;
import org.eiderstair.core.model.Heartbeat;
import org.eiderstair.core.model.JobSpec;
import org.eiderstair.core.model.MachineType;
import org.eiderstair.core.model.TaskId;
import org.eiderstair.core.record.ReleaseRecord;
import org.eiderstair.core.record.StateKeys;
import org.eiderstair.core.settings.Settings;

/**
 * A whole day on simulated time: three cores, a state service, a cloud, workers and users, with
 * faults. Every rule is checked where it would be broken; what broke is in {@link #broken}.
 */
final class SimulatedCluster {
  private static final List<String> ZONES = List.of("a", "b", "c");

  /** Jobs of at least this part of their class's largest count among its largest. */
  private static final double LARGEST_PART = 0.75;

  static final MachineType TYPE =
      new MachineType("m8", 8, 0, 32, 30, 1, 1.0, 0.3, 8_000_000, ZONES);

  /** How large a deployment the day plays on. */
  record Size(int nodes, int machines, double guarantee, double limit, int jobs, int tasks) {
    static final Size SMALL = new Size(3, 10, 8, 24, 25, 12);

    /** About the size of the users' grown deployments, with five controllers. */
    static final Size GROWN = new Size(5, 300, 240, 900, 160, 60);

    /** Half as many again as the users' largest deployments have. */
    static Size fleet(int nodes) {
      return new Size(nodes, 1600, 2000, 6400, 600, 240);
    }
  }

  /** Prints what the controllers decide, to follow one seed: -Dsim.log=true. */
  private static final boolean LOGGED = Boolean.getBoolean("sim.log");

  final SimulatedClock clock = new SimulatedClock();
  final Random random;
  final List<String> broken = new ArrayList<>();
  private final SimulatedNetwork net;
  final StateService state;
  final FaultInjector faults = new FaultInjector(this);
  private final WaitingJobsCheck waiting = new WaitingJobsCheck(this);

  /** Starts of tasks whose job's cancelling had been confirmed, and how long before at the most. */
  int startedCancelled;

  // What a test plants to show that a check finds it.
  UnaryOperator<Answer> plantedAnswer = answer -> answer;
  UnaryOperator<JobSpec> plantedSubmission = spec -> spec;
  double checkedLimit;

  /** Whether what controllers tell each other of cancellations is lost. */
  boolean newsLost;

  long longestStartMicros;

  /**
   * Of all that controllers decided: the same before and after a change that only moves or renames.
   */
  final EffectDigest effects = new EffectDigest();

  final Size size;
  private final Node[] nodes;
  private final Map<String, Worker> workers = new LinkedHashMap<>();
  private final Map<String, List<String>> charters = new HashMap<>();
  private final Map<String, Long> rentedAt = new HashMap<>();
  private final Map<String, Request.CloudRent> kinds = new HashMap<>();
  private final List<List<Reply.CloudMachine>> lists = new ArrayList<>();

  /** Given back for their silence; those of them that were alive. */
  private final Set<String> condemned = new HashSet<>();

  int deletedAlive;

  /** The least share of any class or team, of what came two minutes before. */
  double servedInTime;

  int rented;
  private int machines;
  private boolean cloudDown;

  /** Swapped in by a test that shows that a broken controller is caught. */
  private final Consumer<Sabotage> sabotage;

  private final Map<String, JobSpec> submitted = new LinkedHashMap<>();
  private final Map<String, Long> submittedAt = new HashMap<>();
  private final Set<String> accepted = new HashSet<>();
  private final Map<String, Answer.Phase> told = new HashMap<>();
  private final Map<String, Long> cancelledAt = new HashMap<>();
  private final Set<String> askedToCancel = new HashSet<>();
  private final Map<TaskId, String> on = new HashMap<>();
  private final Set<TaskId> completed = new HashSet<>();
  private final Map<String, Double> teamUse = new HashMap<>();
  int started;

  /** Told of all that controllers log. */
  Consumer<String> logs = text -> {};

  /** What a broken controller would do with a request before it is carried out. */
  static final class Sabotage {
    Request request;
  }

  private final class Node {
    final int index;
    Core core;
    int run;
    final Map<Long, Consumer<Answer>> exchanges = new HashMap<>();
    long lastExchange;
    private long stallMicros;
    private long stalledUntilMicros;

    Node(int index) {
      this.index = index;
    }

    String name() {
      return "n" + index;
    }

    void start() {
      int thisRun = ++run;
      exchanges.clear();
      stallMicros = 0;
      stalledUntilMicros = 0;
      List<String> peers = new ArrayList<>();
      for (int i = 0; i < nodes.length; i++) {
        if (i != index) {
          peers.add("n" + i);
        }
      }
      core =
          new Core(
              settings(name(), peers),
              name() + "-" + run,
              0,
              random::nextInt,
              e -> effect(e, thisRun));
      tick(thisRun);
    }

    void crash() {
      run++;
      core = null;
      exchanges.clear();
    }

    void tick(int thisRun) {
      if (thisRun == run && core != null) {
        handle(new Event.Tick());
        clock.after(50_000, () -> tick(thisRun));
      }
    }

    void handle(Event event) {
      if (clock.now() < stalledUntilMicros) {
        int thisRun = run;
        clock.after(
            stalledUntilMicros - clock.now(),
            () -> {
              if (thisRun == run && core != null) {
                handle(event);
              }
            });
        return;
      }
      if (stallMicros > 0) {
        stalledUntilMicros = clock.now() + stallMicros;
        stallMicros = 0;
      }
      core.handle(event, clock.now());
    }

    /** The process stands still after its next decision, before what it decided is carried out. */
    void stall(long micros) {
      stallMicros = micros;
    }

    private void effect(Effect effect, int thisRun) {
      effects.add(index, clock.now(), effect);
      if (effect instanceof Effect.Log log) {
        note(name() + " " + log.text());
        if (log.text().contains(": silent: ")) {
          condemned.add(log.text().split("[ :]")[2]);
        }
        logs.accept(log.text());
        if (log.text().contains("-> SYNCHRONIZING") && log.text().endsWith(": elected")) {
          faults.newLeader();
        }
      }
      if (clock.now() < stalledUntilMicros) {
        clock.after(
            stalledUntilMicros - clock.now(),
            () -> {
              if (thisRun == run && core != null) {
                carryOut(effect, thisRun);
              }
            });
      } else {
        carryOut(effect, thisRun);
      }
    }

    private void carryOut(Effect effect, int thisRun) {
      if (effect instanceof Effect.Respond respond) {
        Consumer<Answer> callback = exchanges.remove(respond.exchange());
        if (callback != null) {
          callback.accept(plantedAnswer.apply(respond.answerAt(clock.now())));
        }
      } else if (effect instanceof Effect.Call call && call.tooLate(clock.now()) != null) {
        clock.after(
            0,
            () -> {
              if (thisRun == run && core != null) {
                handle(new Event.ReplyReceived(call.call(), call.tooLate(clock.now())));
              }
            });
      } else if (effect instanceof Effect.Call call) {
        Sabotage s = new Sabotage();
        s.request = call.request();
        sabotage.accept(s);
        boolean[] replied = {false};
        Consumer<Reply> once =
            reply -> {
              if (!replied[0] && thisRun == run && core != null) {
                replied[0] = true;
                handle(new Event.ReplyReceived(call.call(), reply));
              }
            };
        clock.after(timeout(s.request), () -> once.accept(new Reply.NoResponse("timeout")));
        carry(this, s.request, once);
      }
    }
  }

  SimulatedCluster(long seed, Size size, Consumer<Sabotage> sabotage) {
    this.size = size;
    this.checkedLimit = size.limit();
    this.nodes = new Node[size.nodes()];
    this.random = new Random(seed);
    this.state = new StateService(clock, random);
    this.net = new SimulatedNetwork(clock, random, this::zoneOf);
    this.sabotage = sabotage;
    for (int i = 0; i < nodes.length; i++) {
      nodes[i] = new Node(i);
      nodes[i].start();
    }
    lists.add(List.of());
    snapshot();
    sweepRules();
    waiting.watchLargest();
  }

  private Settings settings(String node, List<String> peers) {
    Map<String, Settings.Team> teams = new LinkedHashMap<>();
    teams.put("red", new Settings.Team("red", size.guarantee(), size.limit(), 0, 0));
    teams.put("blue", new Settings.Team("blue", size.guarantee(), size.limit(), 0, 0));
    Map<String, String> nodeZones = new LinkedHashMap<>();
    for (int i = 0; i < nodes.length; i++) {
      nodeZones.put("n" + i, zoneOf("n" + i));
    }
    return new Settings(
        node,
        peers,
        ZONES,
        teams,
        List.of(),
        3_000_000,
        15_000_000,
        32_000_000,
        200,
        80,
        12,
        8,
        Settings.Tuning.defaults(),
        nodeZones,
        0);
  }

  /** Nodes are spread over the zones; the state service and the cloud are in none. */
  private String zoneOf(String host) {
    if (host.startsWith("n")) {
      return ZONES.get(indexOf(host) % ZONES.size());
    }
    Worker w = workers.get(host);
    return w == null ? null : w.zone;
  }

  long leaseMicros() {
    return 15_000_000;
  }

  int indexOf(String name) {
    return Integer.parseInt(name.substring(1));
  }

  private static long timeout(Request request) {
    if (request instanceof Request.StoreWatch w) {
      return w.holdMicros() + 2_000_000;
    }
    return request instanceof Request.CloudRent || request instanceof Request.CloudDelete
        ? 5_000_000
        : 2_000_000;
  }

  private void carry(Node from, Request request, Consumer<Reply> reply) {
    if (request instanceof Request.WorkerCommands || request instanceof Request.WorkerStatus) {
      String to =
          request instanceof Request.WorkerCommands c
              ? c.address()
              : ((Request.WorkerStatus) request).address();
      long delayMicros = faults.commandDelayMicros();
      Consumer<Reply> answered =
          delayMicros > 0
              ? unanswered -> {}
              : r -> net.send(to, from.name(), () -> reply.accept(r));
      net.send(
          from.name(),
          to,
          () ->
              clock.after(
                  delayMicros,
                  () -> {
                    Worker w = workers.get(to);
                    if (w != null) {
                      w.direct(request, answered);
                    }
                  }));
    } else if (request instanceof Request.PeerRelay relay) {
      Node peer = nodes[indexOf(relay.peer())];
      net.send(
          from.name(),
          peer.name(),
          () -> {
            if (peer.core != null) {
              peer.exchanges.put(
                  ++peer.lastExchange,
                  answer ->
                      net.send(
                          peer.name(), from.name(), () -> reply.accept(new Reply.Relayed(answer))));
              peer.handle(new Event.HeartbeatReceived(peer.lastExchange, relay.report(), true));
            }
          });
    } else if (request instanceof Request.PeerMembership heard) {
      Node peer = nodes[indexOf(heard.peer())];
      net.send(
          from.name(),
          peer.name(),
          () ->
              ask(
                  peer,
                  x -> new Event.MembershipRequested(x, heard.run(), heard.after()),
                  answer ->
                      net.send(
                          peer.name(),
                          from.name(),
                          () ->
                              reply.accept(
                                  new Reply.PeerMembership(
                                      ((Answer.ReachableWorkers) answer).digest())))));
    } else if (request instanceof Request.PeerReplicate told) {
      Node peer = nodes[indexOf(told.peer())];
      net.send(
          from.name(),
          peer.name(),
          () ->
              ask(
                  peer,
                  x -> new Event.ReplicationReceived(x, told.batch()),
                  answer ->
                      net.send(
                          peer.name(),
                          from.name(),
                          () ->
                              reply.accept(
                                  new Reply.ReplicationAck(
                                      ((Answer.ReplicationAck) answer).ack())))));
    } else if (request instanceof Request.PeerCancellations && newsLost) {
      note("lost: " + request);
    } else if (request instanceof Request.PeerCancellations told) {
      Node peer = nodes[indexOf(told.peer())];
      net.send(
          from.name(),
          peer.name(),
          () ->
              ask(
                  peer,
                  x -> new Event.CancellationsReceived(x, told.cancellations()),
                  answer ->
                      net.send(
                          peer.name(), from.name(), () -> reply.accept(new Reply.Applied(0)))));
    } else if (request instanceof Request.PeerStateServiceStatus ask) {
      Node peer = nodes[indexOf(ask.peer())];
      net.send(
          from.name(),
          peer.name(),
          () -> {
            if (peer.core != null) {
              peer.exchanges.put(
                  ++peer.lastExchange,
                  answer ->
                      net.send(
                          peer.name(),
                          from.name(),
                          () -> {
                            Answer.StateServiceStatus s = (Answer.StateServiceStatus) answer;
                            reply.accept(
                                new Reply.PeerStateServiceStatus(s.served(), s.leader(), s.term()));
                          }));
              peer.handle(new Event.StateServiceStatusRequested(peer.lastExchange));
            }
          });
    } else if (request instanceof Request.CloudRent
        || request instanceof Request.CloudDelete
        || request instanceof Request.CloudList
        || request instanceof Request.CloudCatalog) {
      Map<String, Long> marks = marksOf(request);
      net.send(
          from.name(),
          "cloud",
          () -> cloud(request, marks, r -> net.send("cloud", from.name(), () -> reply.accept(r))));
    } else {
      net.send(
          from.name(),
          "state",
          () ->
              clock.after(
                  faults.stateMicros(),
                  () ->
                      state.serve(
                          from.name(),
                          request,
                          r -> net.send("state", from.name(), () -> reply.accept(r)))));
    }
  }

  private void cloud(Request request, Map<String, Long> marks, Consumer<Reply> reply) {
    if (cloudDown) {
      reply.accept(new Reply.Refused(503));
    } else if (request instanceof Request.CloudCatalog) {
      reply.accept(new Reply.Catalog(List.of(TYPE)));
    } else if (request instanceof Request.CloudRent rent) {
      reply.accept(new Reply.Rented(charters.computeIfAbsent(rent.request(), r -> rent(rent))));
    } else if (request instanceof Request.CloudDelete delete) {
      for (String id : delete.machines()) {
        Worker w = workers.remove(id);
        if (w != null) {
          if (!w.dead && w.usedAfter(marks.getOrDefault(id, 0L))) {
            breaks("late_delete: " + id + " is in use, marked in term " + marks.get(id));
          }
          deletedAlive += w.dead || !condemned.contains(id) ? 0 : 1;
          w.die();
        }
        rentedAt.remove(id);
      }
      reply.accept(new Reply.Applied(0));
    } else {
      // Old by a few seconds, and by another few now and then: machines that are gone still appear.
      reply.accept(
          new Reply.CloudMachines(
              lists.get(Math.max(0, lists.size() - 1 - 3 - random.nextInt(4))), false));
    }
  }

  /** What the cloud would list now, kept for a while. */
  private void snapshot() {
    clock.after(1_000_000, this::snapshot);
    List<Reply.CloudMachine> list = new ArrayList<>();
    rentedAt.forEach(
        (id, at) -> {
          Worker w = workers.get(id);
          Request.CloudRent kind = kinds.get(id);
          boolean failed = w != null && w.dead && clock.now() > w.diedMicros + 30_000_000;
          list.add(
              new Reply.CloudMachine(
                  id,
                  id,
                  kind.type(),
                  kind.zone(),
                  kind.spot(),
                  failed ? "failed" : w == null ? "booting" : "running",
                  clock.now() - at));
        });
    list.sort(Comparator.comparing(Reply.CloudMachine::id));
    lists.add(list);
    if (lists.size() > 20) {
      lists.remove(0);
    }
  }

  /**
   * CapacityManager and returning must be durable before the cloud is asked, by whoever asks and
   * however late. Says in which term each machine that is to be deleted was marked last.
   */
  private Map<String, Long> marksOf(Request request) {
    Map<String, Long> marks = new HashMap<>();
    if (request instanceof Request.CloudRent rent) {
      if (!state.ever.containsKey(StateKeys.rental(rent.request()))) {
        breaks("unwritten: " + rent.request());
      }
    } else if (request instanceof Request.CloudDelete delete) {
      state.ever.forEach(
          (key, value) -> {
            if (value instanceof ReleaseRecord release) {
              release.machines().forEach(id -> marks.merge(id, release.term(), Math::max));
            }
          });
      for (String id : delete.machines()) {
        if (!marks.containsKey(id)) {
          breaks("unwritten: " + id + " is given back without a mark");
        }
      }
    }
    return marks;
  }

  private List<String> rent(Request.CloudRent rent) {
    List<String> ids = new ArrayList<>();
    for (int i = 0; i < rent.count() && rentedAt.size() < size.machines(); i++) {
      String id = String.format("i-%06d", ++machines);
      ids.add(id);
      rentedAt.put(id, clock.now());
      kinds.put(id, rent);
      rented++;
      clock.after(
          faults.bootMicros(),
          () -> {
            if (rentedAt.containsKey(id)) {
              workers.put(id, new Worker(this, id, rent.type(), rent.zone(), rent.spot()));
            }
          });
    }
    return ids;
  }

  /** A worker's report to a node. */
  void toNode(String worker, int index, Heartbeat report, Consumer<Answer> answered) {
    faults.reported(worker, index, report);
    deliver(worker, index, report, answered);
  }

  void deliver(String worker, int index, Heartbeat report, Consumer<Answer> answered) {
    Node n = nodes[index];
    net.send(
        worker,
        n.name(),
        () ->
            ask(
                n,
                x -> new Event.HeartbeatReceived(x, report, false),
                a -> net.send(n.name(), worker, () -> answered.accept(a))));
  }

  /** A user's request to one node. */
  void ask(int node, LongFunction<Event> event, Consumer<Answer> answered) {
    ask(nodes[node], event, answered);
  }

  private void ask(Node n, LongFunction<Event> event, Consumer<Answer> answered) {
    if (n.core != null) {
      n.exchanges.put(++n.lastExchange, answered);
      n.handle(event.apply(n.lastExchange));
    }
  }

  // Users.

  void submit(JobSpec spec) {
    submitted.put(spec.id(), spec);
    submittedAt.put(spec.id(), clock.now());
    trySubmit(spec, 0);
  }

  private void trySubmit(JobSpec spec, int tries) {
    if (tries > 200) {
      return;
    }
    boolean[] over = {false};
    clock.after(
        2_000_000,
        () -> {
          if (!over[0]) {
            trySubmit(spec, tries + 1);
          }
        });
    Answer.Phase before = told.get(spec.id());
    ask(
        nodes[random.nextInt(nodes.length)],
        x -> new Event.Submit(x, spec.id(), plantedSubmission.apply(spec), null),
        a -> {
          if (a instanceof Answer.JobView view) {
            over[0] = true;
            boolean first = accepted.add(spec.id());
            heard(view, before);
            if (first) {
              poll(spec.id());
              faults.told(spec.id());
            }
          } else if (a instanceof Answer.Failure f && (f.status() == 400 || f.status() == 422)) {
            breaks("forgotten: " + spec.id() + " refused " + f);
          }
        });
  }

  private void poll(String id) {
    Answer.Phase now = told.get(id);
    if (now == Answer.Phase.DONE || now == Answer.Phase.CANCELLED) {
      clock.after(20_000_000, () -> poll(id));
    } else {
      clock.after(2_000_000 + random.nextInt(2_000_000), () -> poll(id));
    }
    ask(
        nodes[random.nextInt(nodes.length)],
        x -> new Event.Poll(x, id),
        a -> {
          if (a instanceof Answer.JobView view) {
            waiting.answered(id);
            heard(view, now);
          } else if (a instanceof Answer.Failure f && f.status() == 404) {
            breaks("forgotten: " + id);
          }
        });
  }

  void pollUnknown(String id) {
    ask(
        nodes[random.nextInt(nodes.length)],
        x -> new Event.Poll(x, id),
        a -> {
          if (a instanceof Answer.JobView) {
            breaks("invented: " + id);
          }
        });
  }

  void cancel(String id) {
    askedToCancel.add(id);
    Answer.Phase now = told.get(id);
    if (now == Answer.Phase.DONE || now == Answer.Phase.CANCELLED) {
      return;
    }
    clock.after(1_500_000, () -> cancel(id));
    ask(
        nodes[random.nextInt(nodes.length)],
        x -> new Event.Cancel(x, id),
        a -> {
          if (a instanceof Answer.JobView view) {
            heard(view, now);
          }
        });
  }

  JobSpec spec(String id) {
    return submitted.get(id);
  }

  Answer.Phase told(String id) {
    return told.get(id);
  }

  /** Ids of accepted jobs. */
  List<String> accepted() {
    return accepted.stream().sorted().toList();
  }

  /** Jobs with tasks on machines. */
  List<String> running() {
    return on.keySet().stream().map(TaskId::job).distinct().sorted().toList();
  }

  /** Where tasks of a job are. */
  List<Worker> machinesOf(String id) {
    return on.entrySet().stream()
        .filter(e -> e.getKey().job().equals(id))
        .map(e -> workers.get(e.getValue()))
        .filter(Objects::nonNull)
        .toList();
  }

  boolean over(String id) {
    return told.get(id) == Answer.Phase.DONE || told.get(id) == Answer.Phase.CANCELLED;
  }

  List<Worker> workers() {
    return new ArrayList<>(workers.values());
  }

  double teamUse(String team) {
    return teamUse.getOrDefault(team, 0.0);
  }

  boolean completed(String id) {
    for (int i = 0; i < submitted.get(id).tasks(); i++) {
      if (!completed.contains(new TaskId(id, i))) {
        return false;
      }
    }
    return true;
  }

  boolean cancelAsked(String id) {
    return askedToCancel.contains(id);
  }

  long submittedAt(String id) {
    return submittedAt.get(id);
  }

  /** Asked for by its user, through one node and once. */
  void cancelThrough(int node, String id) {
    askedToCancel.add(id);
    Answer.Phase before = told.get(id);
    ask(
        nodes[node],
        x -> new Event.Cancel(x, id),
        a -> {
          if (a instanceof Answer.JobView view) {
            heard(view, before);
          }
        });
  }

  /** From now on nothing fails: who still waits beside room is left behind. */
  void calm() {
    waiting.calm();
  }

  /**
   * {@code before} is what had been told when the request was made: only that may not be taken
   * back.
   */
  void heard(Answer.JobView view, Answer.Phase before) {
    boolean wasFinal = before == Answer.Phase.DONE || before == Answer.Phase.CANCELLED;
    if (wasFinal && view.phase() != before) {
      breaks("went_back: " + view.id() + " from " + before + " to " + view.phase());
    }
    if (view.phase() == Answer.Phase.CANCELLED) {
      cancelledAt.putIfAbsent(view.id(), clock.now());
      if (!askedToCancel.contains(view.id())) {
        breaks("went_back: " + view.id() + " cancelled by nobody");
      }
    }
    if (view.phase() == Answer.Phase.DONE) {
      for (int i = 0; i < submitted.get(view.id()).tasks(); i++) {
        if (!completed.contains(new TaskId(view.id(), i))) {
          breaks("not_done: " + view.id() + "/" + i);
        }
      }
    }
    Answer.Phase last = told.get(view.id());
    if (last != Answer.Phase.DONE && last != Answer.Phase.CANCELLED) {
      told.put(view.id(), view.phase());
      if (over(view.id())) {
        faults.told(view.id());
      }
    }
  }

  // What happens on machines.

  void on(TaskId task, Worker worker) {
    started++;
    JobSpec spec = submitted.get(task.job());
    if (on.containsKey(task)) {
      breaks("ran_twice: " + task + " on " + on.get(task) + " and " + worker.id);
      return;
    }
    on.put(task, worker.id);
    double use = teamUse.merge(spec.team(), spec.cpus(), Double::sum);
    if (use > checkedLimit + 1e-6) {
      breaks("quota: " + spec.team() + " uses " + use);
    }
    if (!spec.allows(worker.type, worker.zone, worker.spot)) {
      breaks("wrong_place: " + task + " on " + worker.id);
    }
    int inZone = 0;
    for (Map.Entry<TaskId, String> e : on.entrySet()) {
      Worker w = workers.get(e.getValue());
      if (e.getKey().job().equals(task.job()) && w != null) {
        inZone += w.zone.equals(worker.zone) ? 1 : 0;
        if (spec.oneZone() && !w.zone.equals(worker.zone)) {
          breaks("wrong_place: " + task + " not in one zone");
        }
      }
    }
    if (inZone > spec.maxPerZone()) {
      breaks("wrong_place: " + task + " too many in zone " + worker.zone);
    }
    waiting.started(task.job());
    Long cancelled = cancelledAt.get(task.job());
    if (cancelled != null) {
      startedCancelled++;
      longestStartMicros = Math.max(longestStartMicros, clock.now() - cancelled);
    }
    if (cancelled != null && clock.now() > cancelled + 32_000_000) {
      breaks("ran_cancelled: " + task + " starts");
    }
  }

  void off(TaskId task) {
    if (on.remove(task) != null) {
      teamUse.merge(
          submitted.get(task.job()).team(), -submitted.get(task.job()).cpus(), Double::sum);
    }
  }

  void offIf(TaskId task, String worker) {
    if (worker.equals(on.get(task))) {
      off(task);
    }
  }

  void completed(TaskId task) {
    completed.add(task);
    if (completed(task.job())) {
      faults.ended(task.job());
    }
  }

  /** 0 for a task that runs until it is cancelled. */
  long runMicros(TaskId task) {
    JobSpec spec = submitted.get(task.job());
    if (completed.contains(task)) {
      return 1;
    }
    int estimate = (int) spec.estimateMicros();
    if (spec.jobClass().equals(FaultInjector.FAR_APART)) {
      return task.index() == 0 ? estimate / 8 : estimate * 2L;
    }
    return spec.shape() == JobSpec.Shape.SERVICE ? 0 : estimate / 2 + random.nextInt(1 + estimate);
  }

  boolean mistaken(String job) {
    return submitted.get(job).image().equals("mistake");
  }

  private void sweepRules() {
    clock.after(1_000_000, this::sweepRules);
    for (TaskId task : on.keySet()) {
      Long cancelled = cancelledAt.get(task.job());
      if (cancelled != null && clock.now() > cancelled + 32_000_000) {
        breaks("ran_cancelled: " + task + " still on " + on.get(task));
      }
    }
  }

  void note(String what) {
    if (LOGGED) {
      System.out.println(clock.now() / 1000 + " " + what);
    }
  }

  void breaks(String what) {
    note("BROKEN " + what);
    if (broken.size() < 20) {
      broken.add(clock.now() / 1000 + " ms: " + what);
    }
  }

  // Faults.

  void crash(int node, long forMicros) {
    if (nodes[node].core != null) {
      nodes[node].crash();
      clock.after(forMicros, nodes[node]::start);
    }
  }

  void stall(int node, long micros) {
    nodes[node].stall(micros);
  }

  void stateOutage(long micros) {
    state.down(true);
    clock.after(micros, () -> state.down(false));
  }

  void refuseOne(int node, long micros) {
    state.refused.add("n" + node);
    clock.after(micros, () -> state.refused.remove("n" + node));
  }

  void cloudOutage(long micros) {
    cloudDown = true;
    clock.after(micros, () -> cloudDown = false);
  }

  void cutNodeFromState(int node, long micros) {
    net.cut("n" + node, "state", micros);
  }

  void cutNodeFromWorkers(int node, long micros) {
    workers.keySet().forEach(w -> net.cut("n" + node, w, micros));
  }

  void cutNodeFromPeers(int node, long micros) {
    for (int i = 0; i < nodes.length; i++) {
      if (i != node) {
        net.cut("n" + node, "n" + i, micros);
      }
    }
  }

  void cutWorker(Worker w, long micros) {
    for (int i = 0; i < nodes.length; i++) {
      net.cut("n" + i, w.id, micros);
    }
  }

  void cutNodeFromCloud(int node, long micros) {
    net.cut("n" + node, "cloud", micros);
  }

  void cutZone(int zone, long micros) {
    net.cutZone(ZONES.get(zone), micros);
  }

  /** So many machines in a hundred stop with all that is on them. */
  void killMachines(int percent) {
    for (Worker w : new ArrayList<>(workers.values())) {
      if (!w.dead && random.nextInt(100) < percent) {
        w.die();
      }
    }
  }

  int machines() {
    return workers.size();
  }

  int rentedIn(String zone) {
    return (int) kinds.values().stream().filter(k -> k.zone().equals(zone)).count();
  }

  int alive() {
    return (int) workers.values().stream().filter(w -> !w.dead).count();
  }

  /**
   * The least share of tasks done, over classes, teams and the largest jobs of each class, of array
   * jobs that came before a time.
   */
  double leastServed(long beforeMicros) {
    List<JobSpec> counted =
        accepted.stream()
            .map(submitted::get)
            .filter(
                spec ->
                    spec.shape() == JobSpec.Shape.ARRAY
                        && !mistaken(spec.id())
                        && !askedToCancel.contains(spec.id())
                        && submittedAt.get(spec.id()) <= beforeMicros)
            .toList();
    Map<String, Integer> largest = new HashMap<>();
    counted.forEach(spec -> largest.merge(spec.jobClass(), spec.tasks(), Math::max));
    Map<String, int[]> shares = new LinkedHashMap<>();
    for (JobSpec spec : counted) {
      count(shares.computeIfAbsent("class " + spec.jobClass(), g -> new int[2]), spec);
      count(shares.computeIfAbsent("team " + spec.team(), g -> new int[2]), spec);
      if (spec.tasks() >= largest.get(spec.jobClass()) * LARGEST_PART) {
        count(shares.computeIfAbsent("largest of " + spec.jobClass(), g -> new int[2]), spec);
      }
    }
    return shares.values().stream().mapToDouble(s -> (double) s[0] / s[1]).min().orElse(1);
  }

  private void count(int[] share, JobSpec spec) {
    share[1] += spec.tasks();
    for (int i = 0; i < spec.tasks(); i++) {
      share[0] += completed.contains(new TaskId(spec.id(), i)) ? 1 : 0;
    }
  }

  Worker anyWorker() {
    List<Worker> all = new ArrayList<>(workers.values());
    return all.isEmpty() ? null : all.get(random.nextInt(all.size()));
  }

  void take(Worker w, long noticeMicros) {
    w.noticeAtMicros = clock.now() + noticeMicros;
    clock.after(
        noticeMicros,
        () -> {
          workers.remove(w.id);
          rentedAt.remove(w.id);
          w.die();
        });
  }

  int leader() {
    for (Node n : nodes) {
      if (n.core != null && n.core.isLeader()) {
        return n.index;
      }
    }
    return random.nextInt(nodes.length);
  }

  /** Accepted jobs that should be over by now and are not known to be. */
  List<String> unfinished() {
    return accepted.stream()
        .filter(
            id ->
                submitted.get(id).shape() == JobSpec.Shape.ARRAY
                    && !mistaken(id)
                    && told.get(id) != Answer.Phase.DONE
                    && told.get(id) != Answer.Phase.CANCELLED)
        .sorted()
        .toList();
  }

  int maxWrites() {
    return state.maxWrites;
  }
}
