#include "bamboodock/transport/http_types.h"

#include <civetweb.h>

namespace bamboodock {

std::string_view FindHeader(const std::vector<HttpHeader>& headers, std::string_view name) {
  for (const HttpHeader& header : headers) {
    if (header.name.size() != name.size()) continue;
    if (mg_strncasecmp(header.name.data(), name.data(), name.size()) == 0) return header.value;
  }
  return {};
}

std::string EncodeUrlComponent(const std::string& text) {
  // Each byte becomes at most "%xx"; the encoder also writes a terminating null character.
  std::string encoded((3 * text.size()) + 1, '\0');
  const int length = mg_url_encode(text.c_str(), encoded.data(), encoded.size());
  encoded.resize(length < 0 ? 0 : static_cast<std::size_t>(length));
  return encoded;
}

std::string_view HttpRequest::Header(std::string_view name) const {
  return FindHeader(headers, name);
}

std::string HttpRequest::QueryParameter(const std::string& name) const {
  std::string value(query.size() + 1, '\0');
  const int length =
      mg_get_var(query.data(), query.size(), name.c_str(), value.data(), value.size());
  if (length < 0) return {};
  value.resize(static_cast<std::size_t>(length));
  return value;
}

std::string_view HttpResponse::Header(std::string_view name) const {
  return FindHeader(headers, name);
}

}  // namespace bamboodock
