/** Messages between controllers, in Avro; the schemas are in {@code src/main/avro}. */
package org.eiderstair.peer;
