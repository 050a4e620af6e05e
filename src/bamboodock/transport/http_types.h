#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace bamboodock {

struct HttpHeader {
  std::string name;
  std::string value;
};

/// Request as received by a server or sent by a client.
struct HttpRequest {
  std::string method = "GET";
  std::string path = "/";
  std::string query;
  std::vector<HttpHeader> headers;
  std::string body;

  /// Value of a header, by case-insensitive name; empty when absent.
  std::string_view Header(std::string_view name) const;
  /// Percent-decoded value of a query parameter; empty when absent.
  std::string QueryParameter(const std::string& name) const;
};

/// HTTP response with its whole body.
struct HttpResponse {
  int status = 200;
  std::vector<HttpHeader> headers;
  std::string body;

  /// Value of a header, by case-insensitive name; empty when absent.
  std::string_view Header(std::string_view name) const;
};

/// Value of a header, by case-insensitive name; empty when absent.
std::string_view FindHeader(const std::vector<HttpHeader>& headers, std::string_view name);

/// Percent-encodes the value of a query parameter or a segment of a path.
std::string EncodeUrlComponent(const std::string& text);

}  // namespace bamboodock
