package org.eiderstair.core.model;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The images that a machine is expected to have cached. It drops the one used longest ago when its
 * cache is full.
 */
final class ImageCache {
  /** Sizes by image, the one used longest ago first. */
  private final Map<String, Double> images = new LinkedHashMap<>();

  private double sizeGb;

  boolean contains(JobSpec spec) {
    return images.containsKey(spec.image());
  }

  /** A task that uses the image is on the machine, or comes there. */
  void use(JobSpec spec, MachineType type) {
    Double known = images.remove(spec.image());
    sizeGb += spec.imageGb() - (known == null ? 0 : known);
    images.put(spec.image(), spec.imageGb());
    while (type != null && sizeGb > type.cacheGb() && images.size() > 1) {
      sizeGb -= images.remove(images.keySet().iterator().next());
    }
  }

  void clear() {
    images.clear();
    sizeGb = 0;
  }
}
