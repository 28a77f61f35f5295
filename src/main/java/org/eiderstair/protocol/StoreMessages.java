package org.eiderstair.protocol;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.eiderstair.core.message.Reply;
import org.eiderstair.core.message.Request;
import org.eiderstair.core.record.StoredValueCodec;

/** What the state service gets and sends. */
public final class StoreMessages {
  private StoreMessages() {}

  /** Encodes a transaction. */
  public static byte[] encodeTransaction(Request.StoreTxn txn) {
    List<Object> when = new ArrayList<>();
    for (Request.Condition c : txn.conditions()) {
      Map<String, Object> m = new LinkedHashMap<>();
      m.put("K", c.key());
      m.put("Stamp", c.version());
      when.add(m);
    }
    List<Object> writes = new ArrayList<>();
    for (Request.Write w : txn.writes()) {
      Map<String, Object> m = new LinkedHashMap<>();
      if (w.value() == null) {
        m.put("Drop", w.key());
      } else {
        m.put("Put", w.key());
        m.put("Data", StoredValueCodec.encode(w.value()));
        if (w.lease() != 0) {
          m.put("Tenure", w.lease());
        }
      }
      writes.add(m);
    }
    Map<String, Object> m = new LinkedHashMap<>();
    m.put("When", when);
    m.put("Writes", writes);
    return MessagePackCodec.write(m);
  }

  /** Encodes a request for a lease of that many milliseconds. */
  public static byte[] encodeLeaseRequest(long ttlMicros) {
    return MessagePackCodec.write(Map.of("TtlMs", ttlMicros / 1000));
  }

  /** Decodes the answer to a transaction that was carried out. */
  public static Reply decodeApplied(Map<String, Object> message) throws MalformedMessageException {
    return new Reply.Applied(new Fields(message).whole("LedgerRev"));
  }

  /** Decodes the answer to a transaction whose conditions did not hold. */
  public static Reply decodeConflict(Map<String, Object> message) throws MalformedMessageException {
    Fields f = new Fields(message);
    return new Reply.Conflict(f.texts("failed"), f.has("LedgerRev") ? f.whole("LedgerRev") : 0);
  }

  /** Decodes the answer to a request for a lease. */
  public static Reply decodeLeaseGranted(Map<String, Object> message)
      throws MalformedMessageException {
    return new Reply.LeaseGranted(new Fields(message).whole("Tenure"));
  }

  /** Decodes one key, or the answer that it does not exist. */
  public static Reply decodeFound(Map<String, Object> message) throws MalformedMessageException {
    Fields f = new Fields(message);
    long version = f.whole("Stamp");
    return new Reply.Found(item(f.text("K"), f, version), version);
  }

  /** A key that does not exist, and as of when. */
  public static Reply decodeMissing(Map<String, Object> message) throws MalformedMessageException {
    return new Reply.Found(null, new Fields(message).whole("LedgerRev"));
  }

  /** Decodes one page of keys. */
  public static Reply decodeListed(Map<String, Object> message) throws MalformedMessageException {
    Fields f = new Fields(message);
    List<Reply.Item> items = new ArrayList<>();
    for (Object item : f.list("Entries")) {
      Fields i = Fields.of(item, "Entries");
      items.add(item(i.text("K"), i, i.whole("Stamp")));
    }
    return new Reply.Listed(items, Boolean.TRUE.equals(f.raw("Truncated")), f.whole("LedgerRev"));
  }

  /** Decodes the answer to a watch. */
  public static Reply decodeChanged(Map<String, Object> message) throws MalformedMessageException {
    Fields f = new Fields(message);
    List<Reply.Item> items = new ArrayList<>();
    for (Object item : f.list("News")) {
      Fields i = Fields.of(item, "News");
      boolean put = i.has("Put");
      items.add(
          put
              ? item(i.text("Put"), i, i.whole("Stamp"))
              : new Reply.Item(i.text("Drop"), null, i.whole("Stamp")));
    }
    return new Reply.Changed(items, f.whole("LedgerRev"));
  }

  /** Keys of others may hold anything; what is not a map reads as an empty one. */
  @SuppressWarnings("unchecked")
  private static Reply.Item item(String key, Fields f, long version) {
    Map<String, Object> data =
        f.raw("Data") instanceof Map<?, ?> map ? (Map<String, Object>) map : Map.of();
    return new Reply.Item(key, StoredValueCodec.decode(key, data), version);
  }
}
