package org.eiderstair.protocol;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.eiderstair.core.message.Reply;
import org.eiderstair.core.message.Request;
import org.eiderstair.core.model.MachineType;

/** What the cloud gets and sends. */
public final class CloudMessages {
  public static final int PAGE_SIZE = 500;

  private CloudMessages() {}

  /** Encodes a rental request. */
  public static byte[] encodeRent(Request.CloudRent r) {
    Map<String, Object> m = new LinkedHashMap<>();
    m.put("Charter", r.request());
    m.put("Hull", r.type());
    m.put("Fjord", r.zone());
    m.put("Driftwood", r.spot());
    m.put("HowMany", (long) r.count());
    return MessagePackCodec.write(m);
  }

  /** Decodes the answer to a rental: the names of the machines. */
  public static Reply decodeRented(Map<String, Object> message) throws MalformedMessageException {
    return new Reply.Rented(new Fields(message).texts("Skerries"));
  }

  /** Encodes a request to delete machines. */
  public static byte[] encodeDelete(List<String> machines) {
    return MessagePackCodec.write(Map.of("Skerries", machines));
  }

  /** Decodes the catalogue of machine types. */
  public static Reply decodeCatalog(Map<String, Object> message) throws MalformedMessageException {
    List<MachineType> types = new ArrayList<>();
    for (Object item : new Fields(message).list("Hulls")) {
      Fields f = Fields.of(item, "Hulls");
      types.add(
          new MachineType(
              f.text("Label"),
              f.amount("Cores"),
              f.amount("Accelerators"),
              f.amount("MemoryGb"),
              f.has("LocalGb") ? f.amount("LocalGb") : 0,
              f.has("PullGbPerS") ? f.amount("PullGbPerS") : 0,
              f.amount("Hourly"),
              f.has("MarketPrice") ? f.amount("MarketPrice") : 0,
              f.micros("StartupS"),
              f.texts("Fjords")));
    }
    return new Reply.Catalog(types);
  }

  /** Decodes one page of the list of machines. */
  public static Reply decodeMachines(Map<String, Object> message) throws MalformedMessageException {
    Fields top = new Fields(message);
    List<Reply.CloudMachine> machines = new ArrayList<>();
    for (Object item : top.list("Skerries")) {
      Fields f = Fields.of(item, "Skerries");
      machines.add(
          new Reply.CloudMachine(
              f.text("Id"),
              f.textOrNull("Endpoint"),
              f.text("Hull"),
              f.text("Fjord"),
              f.flag("Driftwood"),
              f.text("Tide"),
              f.micros("AgeS")));
    }
    return new Reply.CloudMachines(machines, Boolean.TRUE.equals(top.raw("Truncated")));
  }
}
