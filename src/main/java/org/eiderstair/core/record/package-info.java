/**
 * What is kept in the state service: a typed record for each kind of value, the keys, and the one
 * codec between records and the fields of a message.
 */
package org.eiderstair.core.record;
