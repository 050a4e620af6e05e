#pragma once

#include <string_view>
#include <vector>

#include "bamboodock/core/result.h"
#include "bamboodock/core/units.h"
#include "bamboodock/transport/address.h"
#include "bamboodock/transport/http_types.h"

namespace bamboodock {

/// Client of the operator port of entries; an interface so that tests can use a fake.
class EntryClient {
 public:
  virtual ~EntryClient() = default;
  /// Sends one request and reads the whole response.
  ///
  /// A failure with run state `kNotRun` means that nothing was sent.
  virtual Result<HttpResponse> Call(const Address& entry, const HttpRequest& request) = 0;
};

/// `EntryClient` over HTTP; `timeout` limits the wait for each response.
class HttpEntryClient final : public EntryClient {
 public:
  explicit HttpEntryClient(Duration timeout) : timeout_(timeout) {}

  Result<HttpResponse> Call(const Address& entry, const HttpRequest& request) override;

 private:
  Duration timeout_;
};

/// Parses "IP:PORT[,IP:PORT...]"; fails with `kBadSetting` when it is empty or an address is
/// invalid.
Result<std::vector<Address>> ParseEntryList(std::string_view text);

/// Percent-encodes a query parameter's value; only RFC 3986 unreserved characters stay as they are.
std::string EncodeQueryValue(std::string_view value);

}  // namespace bamboodock
