/**
 * Encodes and decodes the messages between controllers, in Avro. {@link
 * org.eiderstair.peer.PeerMessages} is the entry point; the schemas are in {@code src/main/avro}.
 *
 * <p>The names of schemas and fields must not change, because peers of different versions match
 * fields by name. The table maps the names that differ from the terms that the code uses:
 *
 * <table>
 * <caption>Schemas and fields on the wire</caption>
 * <tr><th>schema</th><th>code</th></tr>
 * <tr><td>{@code RelayedReport}, {@code RelayedAnswer}</td><td>heartbeat that a follower relays to the leader, answer to the heartbeat</td></tr>
 * <tr><td>{@code session}, {@code token}</td><td>incarnation, fencing token</td></tr>
 * <tr><td>{@code REAP}</td><td>acknowledge</td></tr>
 * <tr><td>{@code PeerStanding}</td><td>status of the state service, and the leader that the node follows</td></tr>
 * <tr><td>{@code HeardAsk}, {@code HeardTold}</td><td>request for a heartbeat digest, heartbeat digest</td></tr>
 * <tr><td>{@code whole}, {@code heard}, {@code forMicros}</td><td>full, reachable, duration</td></tr>
 * <tr><td>{@code StandbyBatch}, {@code StandbyAck}</td><td>replication batch, acknowledgement of a batch</td></tr>
 * <tr><td>{@code filling}, {@code more}, {@code there}, {@code upTo}</td><td>snapshot, snapshot incomplete, present, through sequence</td></tr>
 * <tr><td>{@code CancellationsTold}</td><td>cancellations</td></tr>
 * </table>
 */
package org.eiderstair.peer;
