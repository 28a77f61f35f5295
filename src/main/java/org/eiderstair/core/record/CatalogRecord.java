package org.eiderstair.core.record;

import java.util.List;
import org.eiderstair.core.model.MachineType;

/** The machine types that can be rented, stored so that every node can validate jobs. */
public record CatalogRecord(List<MachineType> types) implements StoredValue {

  @Override
  public <T> T accept(Visitor<T> visitor) {
    return visitor.catalog(this);
  }
}
