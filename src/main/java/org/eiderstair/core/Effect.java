package org.eiderstair.core;

/** What the core wants done. */
public sealed interface Effect {

  /** Carry out a request and report its outcome once as {@link Event.Replied}. */
  record Call(long call, Request request) implements Effect {}

  /** Answer an exchange that an event opened. */
  record Respond(long exchange, Answer answer) implements Effect {}

  /** A decision worth a line in the log. */
  record Log(Level level, String text) implements Effect {}

  enum Level { ERROR, INFO, DEBUG }
}
