package org.eiderstair.config;

import java.util.Map;
import org.eiderstair.core.settings.Settings;

/**
 * The configuration of one node, read at startup.
 *
 * @param settings the settings of the core
 * @param bindHost the host on which users and workers are served
 * @param bindPort the port on which users and workers are served; 0 lets the system choose
 * @param peerHost the host on which other controllers are served
 * @param peerPort the port on which other controllers are served; 0 lets the system choose
 * @param stateAddress the state service's address, as {@code host:port}
 * @param cloudAddress the cloud API's address, as {@code host:port}
 * @param peerAddresses the other controllers' addresses by node name, as {@code host:port}
 * @param maxConnections the number of sockets that this node may use; 0 if the file gives none
 */
public record NodeConfig(
    Settings settings,
    String bindHost,
    int bindPort,
    String peerHost,
    int peerPort,
    String stateAddress,
    String cloudAddress,
    Map<String, String> peerAddresses,
    int maxConnections) {}
