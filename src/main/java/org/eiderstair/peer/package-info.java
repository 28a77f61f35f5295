/**
 * Messages between controllers, in Avro; the schemas are in {@code src/main/avro}. {@link
 * org.eiderstair.peer.PeerMessages} is the type to enter by.
 *
 * <p>Names of schemas and fields stay as they are, since peers of two versions compare them:
 *
 * <table>
 * <caption>Schemas and fields on the wire</caption>
 * <tr><th>schema</th><th>code</th></tr>
 * <tr><td>{@code RelayedReport}, {@code RelayedAnswer}</td><td>a heartbeat that a follower passes to the leader, its answer</td></tr>
 * <tr><td>{@code session}, {@code token}</td><td>incarnation, fencing token</td></tr>
 * <tr><td>{@code REAP}</td><td>acknowledge</td></tr>
 * <tr><td>{@code PeerStanding}</td><td>status of the state service, and the leader that is followed</td></tr>
 * <tr><td>{@code HeardAsk}, {@code HeardTold}</td><td>request for a heartbeat digest, the digest</td></tr>
 * <tr><td>{@code whole}, {@code heard}, {@code forMicros}</td><td>full, reachable, duration</td></tr>
 * <tr><td>{@code StandbyBatch}, {@code StandbyAck}</td><td>replication batch, its acknowledgement</td></tr>
 * <tr><td>{@code filling}, {@code more}, {@code there}, {@code upTo}</td><td>snapshot, snapshot incomplete, present, through sequence</td></tr>
 * <tr><td>{@code CancellationsTold}</td><td>cancellations</td></tr>
 * </table>
 */
package org.eiderstair.peer;
