package org.eiderstair.core.provisioning;

import java.util.List;

/** Receives the outcome of a {@link RentalRequest}; exactly one method is called for each call. */
public interface RentalResponseHandler {
  /** The cloud rented these machines, possibly fewer than asked for or none. */
  void granted(List<String> machines);

  /** The cloud certainly rented nothing. */
  void refused(String reason);

  /** There is no usable answer; the machines may be rented, now or later. */
  void unanswered(String reason);
}
