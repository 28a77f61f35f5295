/**
 * Messages of users, workers, cloud and state service, in MessagePack, with their checks and
 * limits. The only place for the words of the wire.
 */
package org.eiderstair.protocol;
