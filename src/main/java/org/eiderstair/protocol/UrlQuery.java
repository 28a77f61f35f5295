package org.eiderstair.protocol;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;

/** Parts of URL queries that the messages of several services use. */
final class UrlQuery {
  private UrlQuery() {}

  /** Escapes a text for use in a query. */
  static String encode(String text) {
    return URLEncoder.encode(text, StandardCharsets.UTF_8);
  }

  /**
   * Adds the start of the page to the path of the first page.
   *
   * @param after the name after which the page starts; null for the first page
   */
  static String withAfter(String firstPage, String after) {
    return after == null
        ? firstPage
        : firstPage + "&" + WireFields.QUERY_AFTER + "=" + encode(after);
  }
}
