package org.eiderstair.http;

import org.eclipse.jetty.http.HttpURI;

/** Reads the target of a request, which has several forms for one path. */
final class RequestTarget {
  private RequestTarget() {}

  /**
   * Returns the path of a request target without its query. An absolute target has the path of its
   * URI, and percent-encoded characters are decoded. A target that cannot be read is returned as it
   * is, so that no path matches it.
   */
  static String path(String target) {
    if (target.startsWith("/") && target.indexOf('%') < 0) {
      int query = target.indexOf('?');
      return query < 0 ? target : target.substring(0, query);
    }
    try {
      String decoded = HttpURI.from(target).getDecodedPath();
      return decoded == null ? target : decoded;
    } catch (IllegalArgumentException e) {
      return target;
    }
  }
}
