package org.eiderstair.cli;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import org.eiderstair.config.OperatorFile;
import org.eiderstair.config.PlatformFile;
import org.eiderstair.node.Node;

/**
 * A start that ends by itself, so that the build can record the classes that one loads. The node is its own
 * cloud and state service: they answer 404, but requests go out and come in, which is what has to be recorded.
 */
final class Rehearsal {
  private static final long LENGTH_MS = 1200;
  private static final String SETTINGS = """
      node = "rehearsal"
      bind = "127.0.0.1:%1$d"
      peer_bind = "127.0.0.1:%2$d"
      [[others]]
      node = "other"
      address = "127.0.0.1:%2$d"
      [endpoints]
      cloud = "127.0.0.1:%1$d"
      state = "127.0.0.1:%1$d"
      [settings]
      zones = ["z"]
      [[settings.teams]]
      name = "t"
      cpus = 1.0
      [[settings.objectives]]
      kind = "wait"
      class = "c"
      within_s = 5.0
      share = 0.9
      [settings.workers]
      report_s = 3.0
      lease_s = 20.0
      cancel_s = 40.0
      [settings.state]
      rps = 100.0
      write_rps = 50.0
      value_kb = 32.0
      txn_ops = 16
      [settings.cloud]
      rps = 5.0
      list_lag_s = 5.0
      """;

  private Rehearsal() {}

  static void run() throws Exception {
    Path file = Files.createTempFile("eiderstair", ".toml");
    try {
      int port = freePort();
      Files.writeString(file, String.format(SETTINGS, port, freePort()));
      try (Node node = new Node(PlatformFile.read(file, OperatorFile.DEFAULTS));
          UserClient user = new UserClient("127.0.0.1:" + port)) {
        user.show("job-000001");
        user.cancel("job-000001");
        Thread.sleep(LENGTH_MS);
      }
    } finally {
      Files.delete(file);
    }
  }

  private static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return socket.getLocalPort();
    }
  }
}
