#include "bamboodock/transport/response_rule.h"

#include <algorithm>
#include <boost/algorithm/string/predicate.hpp>
#include <boost/asio/error.hpp>
#include <boost/beast/http/error.hpp>
#include <string_view>

namespace bamboodock {
namespace {

namespace http = boost::beast::http;
using boost::algorithm::iequals;

constexpr unsigned kHttp10 = 10;
constexpr unsigned kNextMajorVersion = 20;

constexpr int kFirstStatus = 100;
constexpr int kSwitchingProtocols = 101;
constexpr int kFirstFinalStatus = 200;
constexpr int kNoContent = 204;
constexpr int kPastLastStatus = 600;

bool IsValidVersion(unsigned version) { return version >= kHttp10 && version < kNextMajorVersion; }

bool IsValidStatus(int status) {
  return status >= kFirstStatus && status < kPastLastStatus && status != kSwitchingProtocols;
}

bool IsForbiddenInValue(char c) {
  constexpr unsigned char kSpace = 0x20;
  constexpr unsigned char kDelete = 0x7f;
  const auto byte = static_cast<unsigned char>(c);
  return (byte < kSpace && c != '\t') || byte == kDelete;
}

bool HasForbiddenValue(const std::vector<HttpHeader>& headers) {
  return std::any_of(headers.begin(), headers.end(), [](const HttpHeader& header) {
    return std::any_of(header.value.begin(), header.value.end(), IsForbiddenInValue);
  });
}

std::vector<std::string_view> ValuesOf(const std::vector<HttpHeader>& headers,
                                       std::string_view name) {
  std::vector<std::string_view> values;
  for (const HttpHeader& header : headers) {
    if (iequals(header.name, name)) values.emplace_back(header.value);
  }
  return values;
}

}  // namespace

bool IsInterim(int status) {
  return status >= kFirstStatus && status < kFirstFinalStatus && status != kSwitchingProtocols;
}

SocketError CheckResponseHead(const ResponseHead& head) {
  if (!IsValidVersion(head.version)) return http::error::bad_version;
  if (!IsValidStatus(head.status)) return http::error::bad_status;
  if (HasForbiddenValue(head.headers)) return http::error::bad_value;
  const auto codings = ValuesOf(head.headers, "Transfer-Encoding");
  const auto lengths = ValuesOf(head.headers, "Content-Length");
  if (!codings.empty()) {
    const bool only_chunked = codings.size() == 1 && iequals(codings.front(), "chunked");
    const bool allowed = head.version > kHttp10 && !IsInterim(head.status) &&
                         head.status != kNoContent && lengths.empty();
    if (!only_chunked || !allowed) return http::error::bad_transfer_encoding;
  }
  if (IsInterim(head.status) && !lengths.empty()) return http::error::bad_content_length;
  const bool announces_content = std::any_of(lengths.begin(), lengths.end(),
                                             [](std::string_view value) { return value != "0"; });
  if (head.status == kNoContent && announces_content) return http::error::bad_content_length;
  return {};
}

bool IsOrderlyEnd(const SocketError& send_error) {
  return !send_error || send_error == boost::asio::error::broken_pipe;
}

}  // namespace bamboodock
