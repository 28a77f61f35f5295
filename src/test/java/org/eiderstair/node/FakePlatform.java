package org.eiderstair.node;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.Fields;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.eiderstair.core.message.Answer;
import org.eiderstair.core.model.FencingToken;
import org.eiderstair.core.model.Machine;
import org.eiderstair.peer.PeerMessages;
import org.eiderstair.protocol.MalformedMessageException;
import org.eiderstair.protocol.MessagePackCodec;

/**
 * State service, cloud, workers and one peer behind one port, as far as a controller's life needs
 * them. Each machine has a loopback address of its own, by which its commands are told from those
 * of others.
 */
final class FakePlatform extends Handler.Abstract implements AutoCloseable {
  private record Item(Map<String, Object> value, long version) {}

  /**
   * A task on a machine: it runs for a while, then shows that it is done until it is to be
   * forgotten.
   */
  private record Task(long attempt, long endMillis) {}

  /** One machine and its worker's account of it. */
  final class Machine {
    final String id;
    private final String address;
    private final Map<String, Task> tasks = new LinkedHashMap<>();
    private long tally;
    private long baton;

    Machine(int number) {
      id = String.format("i-%06d", number);
      address = "127.1." + number / 250 + "." + (1 + number % 250);
    }

    /** The worker's report; a task that has run for long enough is shown as done. */
    Map<String, Object> report() {
      synchronized (FakePlatform.this) {
        List<Object> pieces = new ArrayList<>();
        tasks.forEach(
            (piece, task) -> {
              boolean over = System.nanoTime() / 1_000_000 >= task.endMillis();
              pieces.add(
                  over
                      ? Map.of(
                          "Piece", piece, "Try", task.attempt(), "Tide", "ended", "Cause", "done")
                      : Map.of("Piece", piece, "Try", task.attempt(), "Tide", "running"));
            });
        return Map.of(
            "Skerry",
            id,
            "Endpoint",
            address + ":" + port(),
            "Hull",
            "small",
            "Fjord",
            "z",
            "Driftwood",
            true,
            "Watch",
            1L,
            "Tally",
            ++tally,
            "Baton",
            baton,
            "Pieces",
            pieces);
      }
    }

    /**
     * Orders come in the body of a command or in the answer to a report; whether there was
     * something to do.
     */
    boolean obey(Map<String, Object> message) {
      synchronized (FakePlatform.this) {
        boolean changed = baton < (Long) message.get("Baton");
        baton = Math.max(baton, (Long) message.get("Baton"));
        for (Object order : (List<?>) message.get("Orders")) {
          Map<?, ?> o = (Map<?, ?>) order;
          changed = true;
          if (o.get("Verb").equals("launch")) {
            tasks.put(
                (String) o.get("Piece"),
                new Task((Long) o.get("Try"), System.nanoTime() / 1_000_000 + taskMillis));
          } else {
            tasks.remove((String) o.get("Piece"));
          }
        }
        return changed;
      }
    }
  }

  private final Server server = new Server(new QueuedThreadPool(24));
  private final ServerConnector connector = new ServerConnector(server);
  private final TreeMap<String, Item> items = new TreeMap<>();
  private final TreeMap<Long, String> changes = new TreeMap<>();
  private final Map<String, Machine> machines = new LinkedHashMap<>();
  private final int mostMachines;
  private final long taskMillis;
  private long revision;
  private int relayed;

  FakePlatform(int mostMachines, long taskMillis) throws Exception {
    this.mostMachines = mostMachines;
    this.taskMillis = taskMillis;
    server.addConnector(connector);
    server.setHandler(this);
    server.start();
  }

  int port() {
    return connector.getLocalPort();
  }

  @Override
  public boolean handle(Request request, Response response, Callback callback) throws Exception {
    ByteBuffer content = Content.Source.asByteBuffer(request);
    byte[] body = new byte[content.remaining()];
    content.get(body);
    String path = Request.getPathInContext(request);
    response.setStatus(200);
    byte[] answer;
    if (path.startsWith("/peer")) {
      answer = peer(path, body);
    } else {
      synchronized (this) {
        Map<String, Object> out =
            answer(
                path,
                request,
                body.length == 0 ? Map.of() : MessagePackCodec.readMap(body),
                response);
        for (int waits = 0;
            path.equals("/watch") && ((List<?>) out.get("News")).isEmpty() && waits < 4;
            waits++) {
          wait(250);
          out = answer(path, request, Map.of(), response);
        }
        answer = MessagePackCodec.write(out);
      }
    }
    response.write(true, ByteBuffer.wrap(answer), callback);
    return true;
  }

  /** The other controller: it leads for as long as its key is there, and takes relayed reports. */
  private byte[] peer(String path, byte[] body) throws MalformedMessageException {
    if (path.equals(PeerMessages.RELAY_PATH)) {
      PeerMessages.decodeHeartbeat(body);
      synchronized (this) {
        relayed++;
      }
      return PeerMessages.encodeHeartbeatAnswer(new Answer.Command(new FencingToken(1), List.of()));
    }
    return PeerMessages.encodeStateServiceStatus(new Answer.StateServiceStatus(true, "other", 1));
  }

  private Map<String, Object> answer(
      String path, Request request, Map<String, Object> in, Response response) {
    if (path.equals("/store")) {
      Fields query = Request.extractQueryParameters(request);
      String after = query.getValue("From");
      int page = Integer.parseInt(query.getValue("Page"));
      List<Object> entries = new ArrayList<>();
      for (Map.Entry<String, Item> e :
          items.tailMap(after == null ? "" : after, after == null).entrySet()) {
        if (entries.size() < page) {
          entries.add(
              Map.of(
                  "K", e.getKey(), "Data", e.getValue().value(), "Stamp", e.getValue().version()));
        }
      }
      return Map.of("Entries", entries, "Truncated", entries.size() == page, "LedgerRev", revision);
    } else if (path.startsWith("/store/")) {
      Item item = items.get(path.substring(7));
      response.setStatus(item == null ? 404 : 200);
      return item == null
          ? Map.of("LedgerRev", revision)
          : Map.of("K", path.substring(7), "Data", item.value(), "Stamp", item.version());
    } else if (path.equals("/txn")) {
      return txn(in, response);
    } else if (path.equals("/watch")) {
      long after = Long.parseLong(Request.extractQueryParameters(request).getValue("From"));
      List<Object> news = new ArrayList<>();
      changes
          .tailMap(after, false)
          .forEach(
              (r, keys) -> {
                for (String key : keys.split(" ")) {
                  Item item = items.get(key);
                  news.add(
                      item == null
                          ? Map.of("Drop", key, "Stamp", r)
                          : Map.of("Put", key, "Data", item.value(), "Stamp", item.version()));
                }
              });
      return Map.of("LedgerRev", revision, "News", news);
    } else if (path.startsWith("/leases")) {
      return Map.of("Tenure", 7L);
    } else if (path.equals("/catalog")) {
      return Map.of(
          "Hulls",
          List.of(
              Map.of(
                  "Label",
                  "small",
                  "Cores",
                  4,
                  "Accelerators",
                  0,
                  "MemoryGb",
                  8,
                  "Hourly",
                  1.0,
                  "MarketPrice",
                  0.5,
                  "StartupS",
                  1,
                  "Fjords",
                  List.of("z"))));
    } else if (path.equals("/hosts") && request.getMethod().equals("POST")) {
      return Map.of("Skerries", rent(((Long) in.get("HowMany")).intValue()));
    } else if (path.equals("/hosts/delete")) {
      ((List<?>) in.get("Skerries")).forEach(machines::remove);
      return Map.of();
    } else if (path.equals("/hosts")) {
      List<Object> listed = new ArrayList<>();
      machines
          .values()
          .forEach(
              m ->
                  listed.add(
                      Map.of(
                          "Id",
                          m.id,
                          "Endpoint",
                          m.address + ":" + port(),
                          "Hull",
                          "small",
                          "Fjord",
                          "z",
                          "Driftwood",
                          true,
                          "Tide",
                          "running",
                          "AgeS",
                          10.0)));
      return Map.of("Skerries", listed, "Truncated", false);
    } else if (path.equals("/commands")) {
      String local =
          ((InetSocketAddress) request.getConnectionMetaData().getLocalSocketAddress())
              .getAddress()
              .getHostAddress();
      for (Machine m : machines.values()) {
        if (m.address.equals(local)) {
          m.obey(in);
          return m.report();
        }
      }
      response.setStatus(404);
    }
    return Map.of();
  }

  private synchronized List<String> rent(int count) {
    List<String> ids = new ArrayList<>();
    for (int i = 0; i < count && machines.size() < mostMachines; i++) {
      Machine m = new Machine(machines.size() + 1);
      machines.put(m.id, m);
      ids.add(m.id);
    }
    return ids;
  }

  private Map<String, Object> txn(Map<String, Object> in, Response response) {
    List<Object> failed = new ArrayList<>();
    for (Object condition : (List<?>) in.get("When")) {
      Map<?, ?> c = (Map<?, ?>) condition;
      Item item = items.get((String) c.get("K"));
      if ((item == null ? 0 : item.version()) != (Long) c.get("Stamp")) {
        failed.add(c.get("K"));
      }
    }
    List<?> writes = (List<?>) in.get("Writes");
    if (!failed.isEmpty()) {
      response.setStatus(409);
      return Map.of("failed", failed, "LedgerRev", revision);
    }
    if (!writes.isEmpty()) {
      Map<String, Map<String, Object>> puts = new HashMap<>();
      for (Object write : writes) {
        Map<?, ?> w = (Map<?, ?>) write;
        @SuppressWarnings("unchecked")
        Map<String, Object> data = (Map<String, Object>) w.get("Data");
        puts.put((String) (w.containsKey("Put") ? w.get("Put") : w.get("Drop")), data);
      }
      change(puts);
    }
    return Map.of("LedgerRev", revision);
  }

  /** Puts values at one revision; a key whose value is null is dropped. */
  private void change(Map<String, Map<String, Object>> puts) {
    revision++;
    puts.forEach(
        (key, value) -> {
          if (value == null) {
            items.remove(key);
          } else {
            items.put(key, new Item(value, revision));
          }
        });
    changes.put(revision, String.join(" ", puts.keySet()));
    notifyAll();
  }

  /** Puts a key's value as another controller would, or drops it. */
  synchronized void put(String key, Map<String, Object> value) {
    Map<String, Map<String, Object>> puts = new HashMap<>();
    puts.put(key, value);
    change(puts);
  }

  /**
   * Machines that are up before the controller under test leads, on the roster of an earlier
   * leader.
   */
  synchronized void rentedEarlier(int count) {
    for (String id : rent(count)) {
      put(
          "e/roster/" + id,
          Map.of(
              "addr",
              machines.get(id).address + ":" + port(),
              "type",
              "small",
              "zone",
              "z",
              "spot",
              true));
    }
  }

  synchronized List<Machine> machines() {
    return new ArrayList<>(machines.values());
  }

  synchronized int relayed() {
    return relayed;
  }

  @Override
  public void close() {
    try {
      server.stop();
    } catch (Exception e) {
      throw new IllegalStateException("the server does not stop", e);
    }
  }
}
