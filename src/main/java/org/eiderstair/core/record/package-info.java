/**
 * The contents of the state service: a typed record for each kind of value, the keys, and the codec
 * between records and the fields of a message.
 */
package org.eiderstair.core.record;
