package org.eiderstair.core.state;

import org.eiderstair.core.model.Job;

/** A listener that ignores all changes, for tests that query the replica directly. */
public final class IgnoringReplicaListener implements Replica.Listener {
  /** Creates a listener without state. */
  public IgnoringReplicaListener() {}

  @Override
  public void leaderChanged() {}

  @Override
  public void jobChanged(Job job, boolean isNew) {}

  @Override
  public void loaded() {}
}
