import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** HTTP/1.1 with MessagePack bodies, as server and as client, on loopback addresses. */
final class Net {
  static {
    // A connection stays open until one side sends "Connection: close".
    System.setProperty("sun.net.httpserver.idleInterval", "100000");
    System.setProperty("sun.net.httpserver.maxIdleConnections", "100000");
    System.setProperty("sun.net.httpserver.nodelay", "true");
  }

  private static final ExecutorService THREADS =
      Executors.newCachedThreadPool(
          work -> {
            Thread thread = new Thread(work);
            thread.setDaemon(true);
            return thread;
          });

  private Net() {}

  record Reply(int status, Map<String, Object> body) {}

  interface Handler {
    /** Returns the reply, or null to send none and close the connection. */
    Reply handle(String method, String path, Map<String, String> query, Map<String, Object> body)
        throws Exception;
  }

  static HttpServer serve(String host, int port, Handler handler) throws IOException {
    HttpServer server = HttpServer.create(new InetSocketAddress(host, port), 512);
    server.setExecutor(THREADS);
    server.createContext("/", exchange -> answer(exchange, handler));
    server.start();
    return server;
  }

  private static void answer(HttpExchange exchange, Handler handler) throws IOException {
    Reply reply;
    try {
      byte[] body = exchange.getRequestBody().readAllBytes();
      reply =
          handler.handle(
              exchange.getRequestMethod(),
              exchange.getRequestURI().getPath(),
              query(exchange.getRequestURI().getRawQuery()),
              Pack.read(body));
    } catch (IllegalArgumentException | ClassCastException | NullPointerException e) {
      reply = new Reply(400, Pack.map("error", String.valueOf(e)));
    } catch (Exception e) {
      reply = null;
    }
    if (reply == null) {
      exchange.close();
      return;
    }
    byte[] content = Pack.write(reply.body());
    exchange.getResponseHeaders().set("Content-Type", "application/msgpack");
    exchange.sendResponseHeaders(reply.status(), content.length);
    exchange.getResponseBody().write(content);
    exchange.close();
  }

  private static Map<String, String> query(String raw) {
    Map<String, String> query = new HashMap<>();
    if (raw != null) {
      for (String part : raw.split("&")) {
        int equals = part.indexOf('=');
        query.put(
            part.substring(0, equals),
            URLDecoder.decode(part.substring(equals + 1), StandardCharsets.UTF_8));
      }
    }
    return query;
  }

  /** Returns free ports of the loopback address, from below the range for outgoing connections. */
  static List<Integer> freePorts(int count) throws IOException {
    List<Integer> ports = new ArrayList<>();
    while (ports.size() < count) {
      int port = 10_000 + (int) (Math.random() * 20_000);
      try (ServerSocket socket = new ServerSocket()) {
        socket.bind(new InetSocketAddress("127.0.0.1", port), 1);
        if (!ports.contains(port)) {
          ports.add(port);
        }
      } catch (BindException e) {
        // The port is in use; another one is tried.
      }
    }
    return ports;
  }

  /** One connection to one address, opened when it is needed and kept open. */
  static final class Client {
    private final String host;
    private final int port;
    private Socket socket;
    private InputStream in;

    Client(String address) {
      int colon = address.lastIndexOf(':');
      host = address.substring(0, colon);
      port = Integer.parseInt(address.substring(colon + 1));
    }

    /** Sends a request; throws IOException if there is no response within the time. */
    Reply send(String method, String path, Map<String, Object> body, int timeoutMillis)
        throws IOException {
      try {
        return trySend(method, path, body, timeoutMillis);
      } catch (IOException | RuntimeException e) {
        close();
        throw new IOException(e.toString());
      }
    }

    private Reply trySend(String method, String path, Map<String, Object> body, int timeoutMillis)
        throws IOException {
      if (socket == null) {
        socket = new Socket();
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress(host, port), Math.min(timeoutMillis, 500));
        in = new BufferedInputStream(socket.getInputStream());
      }
      socket.setSoTimeout(timeoutMillis);
      byte[] content = body == null ? new byte[0] : Pack.write(body);
      String head =
          method + " " + path + " HTTP/1.1\r\nHost: " + host + ":" + port + "\r\n"
              + (body == null ? "" : "Content-Type: application/msgpack\r\n")
              + (method.equals("GET") ? "" : "Content-Length: " + content.length + "\r\n")
              + "\r\n";
      byte[] headBytes = head.getBytes(StandardCharsets.US_ASCII);
      byte[] all = new byte[headBytes.length + content.length];
      System.arraycopy(headBytes, 0, all, 0, headBytes.length);
      System.arraycopy(content, 0, all, headBytes.length, content.length);
      socket.getOutputStream().write(all);
      int status = Integer.parseInt(line().split(" ")[1]);
      int length = 0;
      boolean close = false;
      for (String header = line(); !header.isEmpty(); header = line()) {
        String lower = header.toLowerCase(Locale.ROOT);
        if (lower.startsWith("content-length:")) {
          length = Integer.parseInt(lower.substring(15).trim());
        } else if (lower.startsWith("connection:") && lower.contains("close")) {
          close = true;
        }
      }
      byte[] answer = in.readNBytes(length);
      if (answer.length < length) {
        throw new IOException("response cut short");
      }
      if (close) {
        close();
      }
      return new Reply(status, Pack.read(answer));
    }

    private String line() throws IOException {
      StringBuilder line = new StringBuilder();
      for (int c = in.read(); c != '\n'; c = in.read()) {
        if (c < 0) {
          throw new IOException("connection closed");
        }
        if (c != '\r') {
          line.append((char) c);
        }
      }
      return line.toString();
    }

    void close() {
      try {
        if (socket != null) {
          socket.close();
        }
      } catch (IOException e) {
        // It is closed either way.
      }
      socket = null;
    }
  }
}
