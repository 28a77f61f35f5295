package org.eiderstair.protocol;

/**
 * Stands for a value that no field of the protocol can hold: binary data, an extension, or one that
 * is nested too deeply. A decoder that asks for the field refuses it by name, and a decoder that
 * does not ask for it ignores it.
 */
enum UnreadableValue {
  /** The only instance; the value itself is not kept. */
  INSTANCE
}
