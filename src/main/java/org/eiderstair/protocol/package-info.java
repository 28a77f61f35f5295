/**
 * Messages of users, workers, cloud and state service, in MessagePack, with their checks and
 * limits. The only place for the words of the wire; each is mapped to the code's term once, by
 * {@code WireFields}:
 *
 * <table>
 * <caption>Fields on the wire</caption>
 * <tr><th>wire</th><th>code</th></tr>
 * <tr><td>{@code Id}</td><td>id of a job; of a machine in the cloud's list</td></tr>
 * <tr><td>{@code JobkindGroup}, {@code Crew}</td><td>job class, team</td></tr>
 * <tr><td>{@code Shape}</td><td>job array ({@code sweep}) or service ({@code standing})</td></tr>
 * <tr><td>{@code Urgency}</td><td>priority; {@code urgent} is high</td></tr>
 * <tr><td>{@code Pieces}</td><td>number of tasks; in a heartbeat, the list of them</td></tr>
 * <tr><td>{@code Cores}, {@code Bundle}, {@code ImageGb}</td><td>cpus, image, its size</td></tr>
 * <tr><td>{@code Hull}, {@code Hulls}</td><td>machine type; allowed types, catalogue</td></tr>
 * <tr><td>{@code Fjord}, {@code Fjords}</td><td>zone, zones</td></tr>
 * <tr><td>{@code Driftwood}</td><td>spot; of a job, spot machines are allowed</td></tr>
 * <tr><td>{@code OneZone}, {@code Scatter}</td><td>all tasks in one zone, spread over zones</td></tr>
 * <tr><td>{@code GuessS}</td><td>estimate of a task's duration</td></tr>
 * <tr><td>{@code CairnEveryS}, {@code CairnS}</td><td>checkpoint interval and duration</td></tr>
 * <tr><td>{@code DueS}</td><td>deadline</td></tr>
 * <tr><td>{@code Tide}</td><td>state of a job, a task or a machine; {@code flushing} is saving</td></tr>
 * <tr><td>{@code Skerry}, {@code Skerries}</td><td>machine, machines</td></tr>
 * <tr><td>{@code Endpoint}</td><td>address</td></tr>
 * <tr><td>{@code Watch}, {@code Tally}</td><td>incarnation of a worker, sequence number</td></tr>
 * <tr><td>{@code Baton}</td><td>fencing token</td></tr>
 * <tr><td>{@code WarningS}</td><td>notice before a spot machine is taken away</td></tr>
 * <tr><td>{@code Piece}, {@code Try}</td><td>task, attempt</td></tr>
 * <tr><td>{@code Cause}, {@code Saved}</td><td>exit, whether a checkpoint was saved</td></tr>
 * <tr><td>{@code Verb}, {@code LeewayS}</td><td>kind of an order ({@code reap} is acknowledge), grace of a kill</td></tr>
 * <tr><td>{@code Harbour}</td><td>node to send heartbeats to</td></tr>
 * <tr><td>{@code K}, {@code Stamp}, {@code LedgerRev}</td><td>key, its version, revision of the store</td></tr>
 * <tr><td>{@code When}, {@code Writes}</td><td>conditions and writes of a compare-and-swap</td></tr>
 * <tr><td>{@code Put}, {@code Drop}, {@code Data}</td><td>key to write, key to delete, value</td></tr>
 * <tr><td>{@code Tenure}, {@code TtlMs}</td><td>lease, its time to live</td></tr>
 * <tr><td>{@code Entries}, {@code News}</td><td>items of a listing, changes of a watch</td></tr>
 * <tr><td>{@code Charter}, {@code HowMany}</td><td>rental request (idempotency key), count</td></tr>
 * <tr><td>{@code Label}, {@code Hourly}, {@code MarketPrice}</td><td>name of a type, price, spot price</td></tr>
 * <tr><td>{@code StartupS}</td><td>boot time</td></tr>
 * </table>
 */
package org.eiderstair.protocol;
