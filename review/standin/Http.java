import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;

/** A small HTTP/1.1 server and client for loopback addresses, one thread for each connection. */
final class Http {
  private Http() {}

  record Request(String method, String path, Map<String, String> query, byte[] body) {}

  /** A response. The body is null if the connection is to be closed without an answer. */
  record Response(int status, byte[] body) {
    static Response of(int status, Object message) {
      return new Response(status, MsgPack.write(message));
    }

    Map<String, Object> map() {
      return MsgPack.readMap(body);
    }
  }

  interface Handler {
    Response handle(Request request) throws Exception;
  }

  /** Serves on a free port of 127.0.0.1. */
  static final class Server implements AutoCloseable {
    private final ServerSocket socket;

    Server(Handler handler) throws IOException {
      socket = new ServerSocket(0, 512, InetAddress.getByName("127.0.0.1"));
      daemon("accept", () -> accept(handler));
    }

    String address() {
      return "127.0.0.1:" + socket.getLocalPort();
    }

    private void accept(Handler handler) {
      try {
        while (true) {
          Socket connection = socket.accept();
          connection.setTcpNoDelay(true);
          daemon("serve", () -> serve(connection, handler));
        }
      } catch (IOException e) {
        // Closed.
      }
    }

    private static void serve(Socket connection, Handler handler) {
      try (connection) {
        InputStream in = new BufferedInputStream(connection.getInputStream(), 1 << 16);
        OutputStream out = connection.getOutputStream();
        while (true) {
          String line = readLine(in);
          if (line == null) {
            return;
          }
          String[] parts = line.split(" ");
          Map<String, String> headers = readHeaders(in);
          byte[] body = in.readNBytes(Integer.parseInt(headers.getOrDefault("content-length", "0")));
          int mark = parts[1].indexOf('?');
          Response response =
              handler.handle(
                  new Request(
                      parts[0],
                      mark < 0 ? parts[1] : parts[1].substring(0, mark),
                      query(mark < 0 ? "" : parts[1].substring(mark + 1)),
                      body));
          if (response.body() == null) {
            return;
          }
          out.write(
              head("HTTP/1.1 " + response.status() + " X", response.body().length, true));
          out.write(response.body());
          out.flush();
          if ("close".equals(headers.get("connection"))) {
            return;
          }
        }
      } catch (IOException e) {
        // The other side is gone.
      } catch (Exception e) {
        e.printStackTrace();
      }
    }

    @Override
    public void close() throws IOException {
      socket.close();
    }
  }

  private static Map<String, String> query(String text) {
    Map<String, String> query = new HashMap<>();
    for (String part : text.split("&")) {
      int equals = part.indexOf('=');
      if (equals > 0) {
        query.put(
            part.substring(0, equals),
            URLDecoder.decode(part.substring(equals + 1), StandardCharsets.UTF_8));
      }
    }
    return query;
  }

  /** Sends requests to one address over a connection that is kept open. */
  static final class Client implements AutoCloseable {
    private final String address;
    private Socket socket;
    private InputStream in;

    Client(String address) {
      this.address = address;
    }

    /** Returns the response, or throws if none comes within the time limit. */
    synchronized Response call(String method, String path, Object message, int timeoutMillis)
        throws IOException {
      try {
        if (socket == null) {
          int colon = address.indexOf(':');
          socket = new Socket();
          socket.setTcpNoDelay(true);
          socket.connect(
              new InetSocketAddress(
                  InetAddress.getByName(address.substring(0, colon)),
                  Integer.parseInt(address.substring(colon + 1))),
              Math.min(timeoutMillis, 500));
          in = new BufferedInputStream(socket.getInputStream(), 1 << 16);
        }
        socket.setSoTimeout(timeoutMillis);
        byte[] body = message == null ? new byte[0] : MsgPack.write(message);
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        bytes.write(
            head(method + " " + path + " HTTP/1.1\r\nHost: " + address, body.length, !method.equals("GET")));
        bytes.write(body);
        socket.getOutputStream().write(bytes.toByteArray());
        String line = readLine(in);
        if (line == null) {
          throw new IOException("connection closed");
        }
        Map<String, String> headers = readHeaders(in);
        byte[] content =
            in.readNBytes(Integer.parseInt(headers.getOrDefault("content-length", "0")));
        if ("close".equals(headers.get("connection"))) {
          close();
        }
        return new Response(Integer.parseInt(line.split(" ")[1]), content);
      } catch (IOException | RuntimeException e) {
        close();
        throw e instanceof IOException io ? io : new IOException(e);
      }
    }

    @Override
    public synchronized void close() {
      try {
        if (socket != null) {
          socket.close();
        }
      } catch (IOException e) {
        // Closed anyway.
      }
      socket = null;
    }
  }

  private static byte[] head(String first, int length, boolean hasBody) {
    return (first
            + (hasBody ? "\r\nContent-Type: application/msgpack\r\nContent-Length: " + length : "")
            + "\r\n\r\n")
        .getBytes(StandardCharsets.US_ASCII);
  }

  private static Map<String, String> readHeaders(InputStream in) throws IOException {
    Map<String, String> headers = new HashMap<>();
    for (String line = readLine(in); line != null && !line.isEmpty(); line = readLine(in)) {
      int colon = line.indexOf(':');
      headers.put(line.substring(0, colon).toLowerCase(), line.substring(colon + 1).trim());
    }
    return headers;
  }

  private static String readLine(InputStream in) throws IOException {
    StringBuilder line = new StringBuilder();
    for (int b = in.read(); b != '\n'; b = in.read()) {
      if (b < 0) {
        return null;
      }
      if (b != '\r') {
        line.append((char) b);
      }
    }
    return line.toString();
  }

  static Thread daemon(String name, Runnable work) {
    Thread thread = new Thread(null, work, name, 256 * 1024);
    thread.setDaemon(true);
    thread.start();
    return thread;
  }
}
