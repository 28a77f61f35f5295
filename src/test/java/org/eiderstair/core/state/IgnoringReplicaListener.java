package org.eiderstair.core.state;

import org.eiderstair.core.model.Job;

/** A listener for tests that look at the replica itself. */
public final class IgnoringReplicaListener implements Replica.Listener {
  /** Has nothing to keep. */
  public IgnoringReplicaListener() {}

  @Override
  public void leaderChanged() {}

  @Override
  public void jobChanged(Job job, boolean isNew) {}

  @Override
  public void loaded() {}
}
