package org.eiderstair.core.provisioning;

import java.util.List;

/**
 * Receives the result of a {@link RentalRequest}. Exactly one method is called per request, or none
 * once the term is closed.
 */
public interface RentalResponseHandler {
  /** Handles a grant of machines, possibly fewer than requested or none. */
  void granted(List<String> machines);

  /** Handles a refusal: the cloud certainly rented nothing. */
  void refused(String reason);

  /** Handles a missing or unusable response: the machines may be rented, now or later. */
  void unanswered(String reason);
}
