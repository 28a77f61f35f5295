package org.eiderstair.protocol;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.eiderstair.core.message.Reply;
import org.eiderstair.core.message.Request;
import org.eiderstair.core.model.MachineType;

/**
 * Encodes and decodes the messages exchanged with the cloud: rentals, deletions, the catalog and
 * the list of machines.
 */
public final class CloudMessages {
  /** The number of machines requested in one page of the list. */
  private static final int PAGE_SIZE = 500;

  /** The path of the catalog of machine types. */
  public static final String CATALOG_PATH = "/catalog";

  /** The path for renting and listing machines. */
  public static final String MACHINES_PATH = "/hosts";

  /** The path for deleting machines. */
  public static final String DELETE_PATH = "/hosts/delete";

  private static final String FIRST_PAGE =
      MACHINES_PATH + "?" + WireFields.QUERY_PAGE_SIZE + "=" + PAGE_SIZE;

  private CloudMessages() {}

  /** Returns the path and query for listing one page of machines. */
  public static String listPath(Request.CloudList list) {
    return UrlQuery.withAfter(FIRST_PAGE, list.afterMachine());
  }

  /** Encodes a rental request. */
  public static byte[] encodeRent(Request.CloudRent rent) {
    Map<String, Object> message = new LinkedHashMap<>();
    message.put(WireFields.RENTAL_REQUEST, rent.requestName());
    message.put(WireFields.MACHINE_TYPE, rent.type());
    message.put(WireFields.ZONE, rent.zone());
    message.put(WireFields.SPOT, rent.spot());
    message.put(WireFields.RENTAL_COUNT, (long) rent.count());
    return MessagePackCodec.write(message);
  }

  /** Decodes the answer to a rental request: the names of the rented machines. */
  public static Reply decodeRented(Map<String, Object> message) throws MalformedMessageException {
    return new Reply.Rented(new Fields(message).texts(WireFields.MACHINES));
  }

  /** Encodes a request to delete the machines with the given names. */
  public static byte[] encodeDelete(List<String> machines) {
    return MessagePackCodec.write(Map.of(WireFields.MACHINES, machines));
  }

  /** Decodes the catalog of machine types. */
  public static Reply decodeCatalog(Map<String, Object> message) throws MalformedMessageException {
    List<MachineType> types = new ArrayList<>();
    for (Object item : new Fields(message).list(WireFields.CATALOG)) {
      types.add(machineType(Fields.of(item, WireFields.CATALOG)));
    }
    return new Reply.Catalog(types);
  }

  private static MachineType machineType(Fields fields) throws MalformedMessageException {
    return new MachineType(
        fields.text(WireFields.MACHINE_TYPE_NAME),
        fields.amount(WireFields.CPUS),
        fields.amount(WireFields.ACCELERATORS),
        fields.amount(WireFields.MEMORY_GB),
        fields.amountOrZero(WireFields.CACHE_GB),
        fields.amountOrZero(WireFields.FETCH_GB_PER_SECOND),
        fields.amount(WireFields.HOURLY_PRICE),
        fields.amountOrZero(WireFields.SPOT_PRICE),
        fields.micros(WireFields.BOOT_SECONDS),
        fields.texts(WireFields.ZONES));
  }

  /** Decodes one page of the list of machines. */
  public static Reply decodeMachines(Map<String, Object> message) throws MalformedMessageException {
    Fields page = new Fields(message);
    List<Reply.CloudMachine> machines = new ArrayList<>();
    for (Object item : page.list(WireFields.MACHINES)) {
      machines.add(machine(Fields.of(item, WireFields.MACHINES)));
    }
    return new Reply.CloudMachines(machines, page.isTrue(WireFields.TRUNCATED));
  }

  private static Reply.CloudMachine machine(Fields fields) throws MalformedMessageException {
    return new Reply.CloudMachine(
        fields.text(WireFields.MACHINE_ID),
        fields.textOrNull(WireFields.ADDRESS),
        fields.text(WireFields.MACHINE_TYPE),
        fields.text(WireFields.ZONE),
        fields.flag(WireFields.SPOT),
        fields.text(WireFields.STATE),
        fields.micros(WireFields.AGE_SECONDS));
  }
}
