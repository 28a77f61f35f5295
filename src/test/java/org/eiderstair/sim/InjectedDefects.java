package org.eiderstair.sim;

import java.util.function.UnaryOperator;
import org.eiderstair.core.message.Answer;
import org.eiderstair.core.message.Request;
import org.eiderstair.core.model.JobSpec;

/**
 * Defects that a test injects into the behaviour of controllers, to show that the checks detect
 * them.
 */
final class InjectedDefects {
  /** Changes a request of a controller before it is sent. */
  UnaryOperator<Request> request = UnaryOperator.identity();

  /** Changes an answer of a controller before it is delivered. */
  UnaryOperator<Answer> answer = UnaryOperator.identity();

  /** Changes a submitted job before a controller receives it. */
  UnaryOperator<JobSpec> submission = UnaryOperator.identity();

  /** Whether cancellations that controllers send to each other are lost. */
  boolean peerCancellationsLost;
}
