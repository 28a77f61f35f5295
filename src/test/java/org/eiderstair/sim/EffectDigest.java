package org.eiderstair.sim;

import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;
import org.eiderstair.core.message.Effect;
import org.eiderstair.core.message.Request;
import org.eiderstair.core.record.StoredValue;
import org.eiderstair.core.record.StoredValueCodec;

/**
 * A digest of all effects of the controllers on a day, with controller and time. Names of types and
 * fields and log texts are left out, so the digest does not change when code is only moved or
 * renamed.
 */
final class EffectDigest {
  private static final Pattern NAMES = Pattern.compile("[A-Za-z]+(?=[\\[=])");
  private static final long PRIME = 0x100000001b3L;

  private record StoredWrite(String key, Map<String, Object> value, long lease) {}

  private record Transaction(List<Request.Condition> conditions, List<StoredWrite> writes) {}

  private record TransactionCall(long call, Transaction request, long deadlineMicros) {}

  private long digest = 0xcbf29ce484222325L;
  private long count;

  /** Adds an effect to the digest; log lines are ignored. */
  void add(int node, long nowMicros, Effect effect) {
    if (effect instanceof Effect.Log) {
      return;
    }
    count++;
    add(node + " " + nowMicros + " " + NAMES.matcher(text(effect)).replaceAll(""));
  }

  /**
   * Returns the text of an effect; a write contains its fields in the order in which they are sent
   * to the state service.
   */
  private static String text(Effect effect) {
    if (!(effect instanceof Effect.Call call
        && call.request() instanceof Request.StoreTransaction transaction)) {
      return effect.toString();
    }
    List<StoredWrite> writes =
        transaction.writes().stream()
            .map(write -> new StoredWrite(write.key(), fields(write.value()), write.leaseId()))
            .toList();
    Transaction stored = new Transaction(transaction.conditions(), writes);
    return new TransactionCall(call.callId(), stored, call.deadlineMicros()).toString();
  }

  private static Map<String, Object> fields(StoredValue value) {
    return value == null ? null : StoredValueCodec.encode(value);
  }

  private void add(String text) {
    for (int i = 0; i < text.length(); i++) {
      digest = (digest ^ text.charAt(i)) * PRIME;
    }
  }

  @Override
  public String toString() {
    return count + " effects, " + Long.toHexString(digest);
  }
}
