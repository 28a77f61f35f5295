package org.eiderstair.node;

import java.nio.ByteBuffer;
import java.util.ArrayList;
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
import org.eiderstair.protocol.Malformed;
import org.eiderstair.protocol.Pack;

/** State service, cloud and one worker behind one port, as far as a job's life needs them. */
final class StandIn extends Handler.Abstract implements AutoCloseable {
  private record Item(Map<String, Object> value, long version) {}

  private final Server server = new Server();
  private final ServerConnector connector = new ServerConnector(server);
  private final TreeMap<String, Item> items = new TreeMap<>();
  private final TreeMap<Long, String> changes = new TreeMap<>();
  private long revision;
  private boolean rented;
  private long tally;
  private long baton;
  /** The task that was launched here last. */
  private Map<?, ?> launched;

  StandIn() throws Exception {
    connector.setHost("127.0.0.1");
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
    Map<String, Object> answer;
    response.setStatus(200);
    synchronized (this) {
      answer = answer(request, body.length == 0 ? Map.of() : Pack.readMap(body), response);
    }
    if (Request.getPathInContext(request).equals("/watch") && ((List<?>) answer.get("News")).isEmpty()) {
      Thread.sleep(20);
    }
    response.write(true, ByteBuffer.wrap(Pack.write(answer)), callback);
    return true;
  }

  private Map<String, Object> answer(Request request, Map<String, Object> in, Response response) throws Malformed {
    String path = Request.getPathInContext(request);
    Fields query = Request.extractQueryParameters(request);
    if (path.equals("/store")) {
      List<Object> entries = new ArrayList<>();
      items.forEach((k, i) -> entries.add(Map.of("K", k, "Data", i.value(), "Stamp", i.version())));
      return Map.of("Entries", entries, "Truncated", false, "LedgerRev", revision);
    } else if (path.startsWith("/store/")) {
      Item item = items.get(path.substring(7));
      response.setStatus(item == null ? 404 : 200);
      return item == null ? Map.of("LedgerRev", revision)
          : Map.of("K", path.substring(7), "Data", item.value(), "Stamp", item.version());
    } else if (path.equals("/txn")) {
      return txn(in, response);
    } else if (path.equals("/watch")) {
      long after = Long.parseLong(query.getValue("From"));
      List<Object> news = new ArrayList<>();
      changes.tailMap(after, false).forEach((r, keys) -> {
        for (String key : keys.split(" ")) {
          Item item = items.get(key);
          news.add(item == null ? Map.of("Drop", key, "Stamp", r)
              : Map.of("Put", key, "Data", item.value(), "Stamp", item.version()));
        }
      });
      return Map.of("LedgerRev", revision, "News", news);
    } else if (path.startsWith("/leases")) {
      return Map.of("Tenure", 7L);
    } else if (path.equals("/catalog")) {
      return Map.of("Hulls", List.of(Map.of("Label", "small", "Cores", 4, "Accelerators", 0, "MemoryGb", 8, "Hourly",
          1.0, "MarketPrice", 0.5, "StartupS", 1, "Fjords", List.of("z"))));
    } else if (path.equals("/hosts") && request.getMethod().equals("POST")) {
      rented = true;
      return Map.of("Skerries", List.of("i-1"));
    } else if (path.equals("/hosts")) {
      return Map.of("Skerries", List.of(), "Truncated", false);
    } else if (path.equals("/commands")) {
      obey(in);
      return report();
    }
    return Map.of();
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
      revision++;
      List<String> keys = new ArrayList<>();
      for (Object write : writes) {
        Map<?, ?> w = (Map<?, ?>) write;
        String key = (String) (w.containsKey("Put") ? w.get("Put") : w.get("Drop"));
        keys.add(key);
        if (w.containsKey("Put")) {
          @SuppressWarnings("unchecked")
          Map<String, Object> data = (Map<String, Object>) w.get("Data");
          items.put(key, new Item(data, revision));
        } else {
          items.remove(key);
        }
      }
      changes.put(revision, String.join(" ", keys));
    }
    return Map.of("LedgerRev", revision);
  }

  synchronized boolean rented() {
    return rented;
  }

  /** Orders come in the body of a command or in the answer to a report. */
  synchronized void obey(Map<String, Object> message) {
    baton = Math.max(baton, (Long) message.get("Baton"));
    for (Object order : (List<?>) message.get("Orders")) {
      Map<?, ?> o = (Map<?, ?>) order;
      launched = o.get("Verb").equals("launch") ? o : launched;
    }
  }

  /** The one worker's report; what was launched has completed by the time it is reported. */
  synchronized Map<String, Object> report() {
    List<Object> tasks = launched == null ? List.of() : List.of(Map.of("Piece", launched.get("Piece"), "Try",
        launched.get("Try"), "Tide", "ended", "Cause", "done"));
    return Map.of("Skerry", "i-1", "Endpoint", "127.0.0.1:" + port(), "Hull", "small", "Fjord", "z", "Driftwood",
        true, "Watch", 1L, "Tally", ++tally, "Baton", baton, "Pieces", tasks);
  }

  @Override
  public void close() throws Exception {
    server.stop();
  }
}
