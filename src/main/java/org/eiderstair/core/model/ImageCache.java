package org.eiderstair.core.model;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The images that a machine is expected to have cached. The least recently used image is evicted
 * when the cache is full.
 */
final class ImageCache {
  /** Sizes in gigabytes by image, the least recently used image first. */
  private final Map<String, Double> images = new LinkedHashMap<>();

  private double sizeGb;

  boolean contains(JobSpec spec) {
    return images.containsKey(spec.image());
  }

  /**
   * Records that a task on the machine, or planned for the machine, uses the image.
   *
   * @param type the type of the machine; null if unknown, then nothing is evicted
   */
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
