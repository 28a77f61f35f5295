package org.eiderstair.protocol;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.eiderstair.core.message.Reply;
import org.eiderstair.core.message.Request;
import org.eiderstair.core.record.StoredValueCodec;

/**
 * Encodes and decodes the messages exchanged with the state service: transactions, leases, keys and
 * watches.
 */
public final class StoreMessages {
  /** The path for transactions. */
  public static final String TRANSACTION_PATH = "/txn";

  /** The path for requesting leases. */
  public static final String LEASES_PATH = "/leases";

  private static final String KEYS_PATH = "/store";
  private static final String WATCH_PATH = "/watch";
  private static final int MICROS_PER_MILLI = 1000;

  private StoreMessages() {}

  /** Returns the path of a key. The keys of this program need no URL escapes. */
  public static String keyPath(String key) {
    return KEYS_PATH + "/" + key;
  }

  /** Returns the path and query for listing one page of keys. */
  public static String listPath(Request.StoreList list) {
    String firstPage =
        KEYS_PATH
            + ("?" + WireFields.QUERY_PREFIX + "=")
            + UrlQuery.encode(list.prefix())
            + ("&" + WireFields.QUERY_PAGE_SIZE + "=")
            + list.limit();
    return UrlQuery.withAfter(firstPage, list.afterKey());
  }

  /** Returns the path and query for watching a prefix. */
  public static String watchPath(Request.StoreWatch watch) {
    return WATCH_PATH
        + ("?" + WireFields.QUERY_PREFIX + "=")
        + UrlQuery.encode(watch.prefix())
        + ("&" + WireFields.QUERY_AFTER + "=")
        + watch.afterRevision()
        + ("&" + WireFields.QUERY_HOLD_MILLIS + "=")
        + watch.maxWaitMicros() / MICROS_PER_MILLI;
  }

  /** Returns the path for revoking a lease. */
  public static String leasePath(long lease) {
    return LEASES_PATH + "/" + Long.toUnsignedString(lease);
  }

  /** Returns the path for renewing a lease. */
  public static String renewPath(long lease) {
    return leasePath(lease) + "/touch";
  }

  /** Encodes a transaction: a compare-and-swap of several keys. */
  public static byte[] encodeTransaction(Request.StoreTransaction transaction) {
    List<Object> conditions = new ArrayList<>();
    for (Request.Condition condition : transaction.conditions()) {
      conditions.add(encode(condition));
    }
    List<Object> writes = new ArrayList<>();
    for (Request.Write write : transaction.writes()) {
      writes.add(encode(write));
    }
    Map<String, Object> message = new LinkedHashMap<>();
    message.put(WireFields.CONDITIONS, conditions);
    message.put(WireFields.WRITES, writes);
    return MessagePackCodec.write(message);
  }

  private static Map<String, Object> encode(Request.Condition condition) {
    Map<String, Object> fields = new LinkedHashMap<>();
    fields.put(WireFields.KEY, condition.key());
    fields.put(WireFields.VERSION, condition.version());
    return fields;
  }

  private static Map<String, Object> encode(Request.Write write) {
    Map<String, Object> fields = new LinkedHashMap<>();
    if (write.value() == null) {
      fields.put(WireFields.DELETE_KEY, write.key());
      return fields;
    }
    fields.put(WireFields.PUT_KEY, write.key());
    fields.put(WireFields.VALUE, StoredValueCodec.encode(write.value()));
    if (write.leaseId() != 0) {
      fields.put(WireFields.LEASE, Fields.unsigned(write.leaseId()));
    }
    return fields;
  }

  /** Encodes a request for a lease. */
  public static byte[] encodeLeaseRequest(long ttlMicros) {
    return MessagePackCodec.write(
        Map.of(WireFields.LEASE_TTL_MILLIS, ttlMicros / MICROS_PER_MILLI));
  }

  /** Decodes the answer to a transaction that was applied. */
  public static Reply decodeApplied(Map<String, Object> message) throws MalformedMessageException {
    return new Reply.Applied(new Fields(message).count(WireFields.REVISION));
  }

  /**
   * Decodes the answer to a transaction whose conditions did not hold. The revision is 0 when the
   * answer has none.
   */
  public static Reply decodeConflict(Map<String, Object> message) throws MalformedMessageException {
    Fields fields = new Fields(message);
    List<String> failedKeys = fields.texts(WireFields.FAILED_KEYS);
    long revision = fields.has(WireFields.REVISION) ? fields.count(WireFields.REVISION) : 0;
    return new Reply.Conflict(failedKeys, revision);
  }

  /** Decodes the answer to a request for a lease. */
  public static Reply decodeLeaseGranted(Map<String, Object> message)
      throws MalformedMessageException {
    return new Reply.LeaseGranted(new Fields(message).identifier(WireFields.LEASE));
  }

  /** Decodes a key that exists, with its value and version. */
  public static Reply decodeFound(Map<String, Object> message) throws MalformedMessageException {
    Fields fields = new Fields(message);
    long version = fields.count(WireFields.VERSION);
    return new Reply.Found(item(fields.text(WireFields.KEY), fields, version));
  }

  /** Decodes the answer for a key that does not exist: the revision of the store. */
  public static Reply decodeMissing(Map<String, Object> message) throws MalformedMessageException {
    return new Reply.Absent(new Fields(message).count(WireFields.REVISION));
  }

  /** Decodes one page of keys. */
  public static Reply decodeListed(Map<String, Object> message) throws MalformedMessageException {
    Fields page = new Fields(message);
    List<Reply.Item> items = new ArrayList<>();
    for (Object entry : page.list(WireFields.ITEMS)) {
      Fields fields = Fields.of(entry, WireFields.ITEMS);
      String key = fields.text(WireFields.KEY);
      items.add(item(key, fields, fields.count(WireFields.VERSION)));
    }
    return new Reply.Listed(
        items, page.isTrue(WireFields.TRUNCATED), page.count(WireFields.REVISION));
  }

  /** Decodes the answer to a watch: the changed and deleted keys. */
  public static Reply decodeChanged(Map<String, Object> message) throws MalformedMessageException {
    Fields answer = new Fields(message);
    List<Reply.Item> changes = new ArrayList<>();
    for (Object change : answer.list(WireFields.CHANGES)) {
      changes.add(change(Fields.of(change, WireFields.CHANGES)));
    }
    return new Reply.Changed(changes, answer.count(WireFields.REVISION));
  }

  private static Reply.Item change(Fields fields) throws MalformedMessageException {
    if (fields.has(WireFields.PUT_KEY)) {
      String key = fields.text(WireFields.PUT_KEY);
      return item(key, fields, fields.count(WireFields.VERSION));
    }
    String key = fields.text(WireFields.DELETE_KEY);
    return new Reply.Item(key, null, fields.count(WireFields.VERSION));
  }

  /**
   * Decodes the value of a key. Other programs may store any value under their keys; a value that
   * is not a map counts as an empty map.
   */
  @SuppressWarnings("unchecked")
  private static Reply.Item item(String key, Fields fields, long version) {
    Map<String, Object> data =
        fields.raw(WireFields.VALUE) instanceof Map<?, ?> map
            ? (Map<String, Object>) map
            : Map.of();
    return new Reply.Item(key, StoredValueCodec.decode(key, data), version);
  }
}
