/**
 * Encodes, decodes and checks the MessagePack messages exchanged with users, workers, the cloud and
 * the state service. Only this package uses the field names of these messages. {@code WireFields}
 * maps each name to the term that the code uses:
 *
 * <table>
 * <caption>Fields on the wire</caption>
 * <tr><th>wire</th><th>code</th></tr>
 * <tr><td>{@code Id}</td><td>id of a job; in the list of the cloud, id of a machine</td></tr>
 * <tr><td>{@code JobkindGroup}, {@code Crew}</td><td>job class, team</td></tr>
 * <tr><td>{@code Shape}</td><td>job array ({@code sweep}) or service ({@code standing})</td></tr>
 * <tr><td>{@code Urgency}</td><td>priority; {@code urgent} is high</td></tr>
 * <tr><td>{@code Pieces}</td><td>number of tasks; in a heartbeat, the list of tasks</td></tr>
 * <tr><td>{@code Cores}, {@code Bundle}, {@code ImageGb}</td><td>CPUs, image, size of the image</td></tr>
 * <tr><td>{@code Hull}, {@code Hulls}</td><td>machine type; allowed machine types of a job, or the catalog</td></tr>
 * <tr><td>{@code Fjord}, {@code Fjords}</td><td>zone, zones</td></tr>
 * <tr><td>{@code Driftwood}</td><td>whether a machine is a spot machine; of a job, whether it may run on spot machines</td></tr>
 * <tr><td>{@code OneZone}, {@code Scatter}</td><td>whether all tasks run in one zone, whether tasks are spread over zones</td></tr>
 * <tr><td>{@code GuessS}</td><td>estimated duration of a task</td></tr>
 * <tr><td>{@code CairnEveryS}, {@code CairnS}</td><td>checkpoint interval and duration</td></tr>
 * <tr><td>{@code DueS}</td><td>deadline</td></tr>
 * <tr><td>{@code Tide}</td><td>state of a job, a task or a machine; {@code flushing} is saving</td></tr>
 * <tr><td>{@code Skerry}, {@code Skerries}</td><td>machine, machines</td></tr>
 * <tr><td>{@code Endpoint}</td><td>address</td></tr>
 * <tr><td>{@code Watch}, {@code Tally}</td><td>incarnation of a worker, sequence number of a heartbeat</td></tr>
 * <tr><td>{@code Baton}</td><td>fencing token</td></tr>
 * <tr><td>{@code WarningS}</td><td>notice before a spot machine is taken away</td></tr>
 * <tr><td>{@code Piece}, {@code Try}</td><td>task, attempt</td></tr>
 * <tr><td>{@code Cause}, {@code Saved}</td><td>reason why a task ended, whether a checkpoint was saved</td></tr>
 * <tr><td>{@code Verb}, {@code LeewayS}</td><td>kind of an order ({@code reap} is acknowledge), grace period of a kill</td></tr>
 * <tr><td>{@code Harbour}</td><td>node to which a worker sends its heartbeats</td></tr>
 * <tr><td>{@code K}, {@code Stamp}, {@code LedgerRev}</td><td>key, version of the key, revision of the store</td></tr>
 * <tr><td>{@code When}, {@code Writes}</td><td>conditions and writes of a transaction</td></tr>
 * <tr><td>{@code Put}, {@code Drop}, {@code Data}</td><td>key to write, key to delete, value</td></tr>
 * <tr><td>{@code Tenure}, {@code TtlMs}</td><td>lease, time to live of the lease</td></tr>
 * <tr><td>{@code Entries}, {@code News}</td><td>items of a listing, changes of a watch</td></tr>
 * <tr><td>{@code Under}, {@code From}</td><td>prefix of the keys; revision or name after which the answer starts</td></tr>
 * <tr><td>{@code Page}, {@code HoldMs}</td><td>page size, longest wait of a watch</td></tr>
 * <tr><td>{@code Charter}, {@code HowMany}</td><td>rental request (idempotency key), number of machines</td></tr>
 * <tr><td>{@code Label}, {@code Hourly}, {@code MarketPrice}</td><td>name of a machine type, price per hour, spot price per hour</td></tr>
 * <tr><td>{@code LocalGb}, {@code PullGbPerS}</td><td>size of the image cache, rate of fetching images</td></tr>
 * <tr><td>{@code StartupS}</td><td>boot time</td></tr>
 * </table>
 */
package org.eiderstair.protocol;
