package org.eiderstair.config;

import java.util.Map;
import org.eiderstair.core.settings.Settings;

/** Everything that a node is told when it starts. */
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
