package org.eiderstair.protocol;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;

/** Parts of a query that several services share. */
final class UrlQuery {
  private UrlQuery() {}

  static String encode(String text) {
    return URLEncoder.encode(text, StandardCharsets.UTF_8);
  }

  /** Adds where the page starts; null stands for the first page. */
  static String withAfter(String firstPage, String after) {
    return after == null
        ? firstPage
        : firstPage + "&" + WireFields.QUERY_AFTER + "=" + encode(after);
  }
}
