package org.eiderstair.sim;

import java.util.function.UnaryOperator;
import org.eiderstair.core.message.Answer;
import org.eiderstair.core.message.Request;
import org.eiderstair.core.model.JobSpec;

/** What a test makes controllers do wrong, to show that a rule's check finds it. */
final class InjectedDefects {
  /** Changes a request to the outside before it is carried out. */
  UnaryOperator<Request> request = UnaryOperator.identity();

  /** Changes an answer on its way to whoever asked. */
  UnaryOperator<Answer> answer = UnaryOperator.identity();

  /** Changes a submitted job before a controller reads it. */
  UnaryOperator<JobSpec> submission = UnaryOperator.identity();

  /** Whether cancellations that controllers send to each other are lost. */
  boolean peerCancellationsLost;
}
