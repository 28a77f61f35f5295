package org.eiderstair.sim;

import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;
import org.eiderstair.core.message.Effect;
import org.eiderstair.core.message.Request;
import org.eiderstair.core.record.StoredValue;
import org.eiderstair.core.record.StoredValueCodec;

/**
 * A digest of everything that controllers decided on a day, with who and when. Names of types and
 * fields do not count, nor does what is logged, so that it is the same before and after a change
 * that only moves or renames.
 */
final class EffectDigest {
  private static final Pattern NAMES = Pattern.compile("[A-Za-z]+(?=[\\[=])");
  private static final long PRIME = 0x100000001b3L;

  private record StoredWrite(String key, Map<String, Object> value, long lease) {}

  private record Transaction(List<Request.Condition> conditions, List<StoredWrite> writes) {}

  private record TransactionCall(long call, Transaction request, long deadlineMicros) {}

  private long digest = 0xcbf29ce484222325L;
  private long count;

  void add(int node, long nowMicros, Effect effect) {
    if (effect instanceof Effect.Log) {
      return;
    }
    count++;
    add(node + " " + nowMicros + " " + NAMES.matcher(text(effect)).replaceAll(""));
  }

  /** A write counts with the fields and in the order in which it goes to the state service. */
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
