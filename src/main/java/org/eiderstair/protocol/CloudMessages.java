package org.eiderstair.protocol;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.eiderstair.core.message.Reply;
import org.eiderstair.core.message.Request;
import org.eiderstair.core.model.MachineType;

/** Messages to and from the cloud: rentals, returns, the catalogue and the list of machines. */
public final class CloudMessages {
  /** So many machines are asked for at a time when the cloud lists them. */
  private static final int PAGE_SIZE = 500;

  /** Where the catalogue of machine types is. */
  public static final String CATALOG_PATH = "/catalog";

  /** Where machines are rented and listed. */
  public static final String MACHINES_PATH = "/hosts";

  /** Where machines are deleted. */
  public static final String DELETE_PATH = "/hosts/delete";

  private static final String FIRST_PAGE =
      MACHINES_PATH + "?" + WireFields.QUERY_PAGE_SIZE + "=" + PAGE_SIZE;

  private CloudMessages() {}

  /** The path and query that list a page of machines. */
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

  /** Decodes the answer to a rental: the names of the machines. */
  public static Reply decodeRented(Map<String, Object> message) throws MalformedMessageException {
    return new Reply.Rented(new Fields(message).texts(WireFields.MACHINES));
  }

  /** Encodes a request to delete machines. */
  public static byte[] encodeDelete(List<String> machines) {
    return MessagePackCodec.write(Map.of(WireFields.MACHINES, machines));
  }

  /** Decodes the catalogue of machine types. */
  public static Reply decodeCatalog(Map<String, Object> message) throws MalformedMessageException {
    List<MachineType> types = new ArrayList<>();
    for (Object item : new Fields(message).list(WireFields.CATALOG)) {
      types.add(machineType(Fields.of(item, WireFields.CATALOG)));
    }
    return new Reply.Catalog(types);
  }

  private static MachineType machineType(Fields fields) throws MalformedMessageException {
    return new MachineType(
        fields.text(WireFields.TYPE_NAME),
        fields.amount(WireFields.CPUS),
        fields.amount(WireFields.ACCELERATORS),
        fields.amount(WireFields.MEMORY_GB),
        fields.amountOrZero(WireFields.LOCAL_GB),
        fields.amountOrZero(WireFields.PULL_GB_PER_S),
        fields.amount(WireFields.HOURLY_PRICE),
        fields.amountOrZero(WireFields.SPOT_PRICE),
        fields.micros(WireFields.BOOT_S),
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
        fields.micros(WireFields.AGE_S));
  }
}
