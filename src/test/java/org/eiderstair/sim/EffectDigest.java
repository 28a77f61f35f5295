package org.eiderstair.sim;

import java.util.regex.Pattern;
import org.eiderstair.core.message.Effect;

/**
 * A digest of everything that controllers decided on a day, with who and when. Names of types and
 * fields do not count, nor does what is logged, so that it is the same before and after a change
 * that only moves or renames.
 */
final class EffectDigest {
  private static final Pattern NAMES = Pattern.compile("[A-Za-z]+(?=[\\[=])");
  private static final long PRIME = 0x100000001b3L;

  private long digest = 0xcbf29ce484222325L;
  private long count;

  void add(int node, long nowMicros, Effect effect) {
    if (effect instanceof Effect.Log) {
      return;
    }
    count++;
    add(node + " " + nowMicros + " " + NAMES.matcher(effect.toString()).replaceAll(""));
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
