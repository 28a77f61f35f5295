package org.eiderstair.cli;

import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.http.HttpMethod;
import org.eiderstair.protocol.MessagePackCodec;

/**
 * Runs the user commands: each sends one request and prints the status and body of the response.
 * The body is printed as JSON. Each command returns the exit code: 0 for a status below 300, else
 * 1.
 */
final class UserClient implements AutoCloseable {
  private static final long TIMEOUT_SECONDS = 5;
  private static final int FIRST_REDIRECT_STATUS = 300;

  private final HttpClient http = new HttpClient();
  private final String base;

  UserClient(String address) throws Exception {
    base = "http://" + address;
    http.start();
  }

  int submit(Path file) throws Exception {
    Map<String, Object> job =
        new ObjectMapper().readValue(Files.readString(file), new TypeReference<>() {});
    return send(
        http.newRequest(base + "/work")
            .method(HttpMethod.POST)
            .body(new BytesRequestContent("application/msgpack", MessagePackCodec.write(job))));
  }

  int show(String id) throws Exception {
    return send(http.newRequest(base + "/work/" + id));
  }

  int cancel(String id) throws Exception {
    return send(http.newRequest(base + "/work/" + id + "/cancel").method(HttpMethod.POST));
  }

  private int send(Request request) throws Exception {
    ContentResponse response = request.timeout(TIMEOUT_SECONDS, TimeUnit.SECONDS).send();
    System.out.println(
        response.getStatus()
            + " "
            + new ObjectMapper()
                .writeValueAsString(MessagePackCodec.readMap(response.getContent())));
    return response.getStatus() < FIRST_REDIRECT_STATUS ? 0 : 1;
  }

  @Override
  public void close() {
    try {
      http.stop();
    } catch (Exception e) {
      throw new IllegalStateException("cannot stop the HTTP client for " + base, e);
    }
  }
}
