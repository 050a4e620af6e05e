#pragma once

#include <string_view>
#include <vector>

#include "bamboodock/core/result.h"
#include "bamboodock/core/units.h"
#include "bamboodock/transport/address.h"
#include "bamboodock/transport/http_types.h"

namespace bamboodock {

/// Sends operator requests to an entry; tests replace it by a fake.
class EntryClient {
 public:
  virtual ~EntryClient() = default;
  /// Sends one request and reads the whole response.
  ///
  /// A failure with run state `kNotRun` means that nothing was sent.
  virtual Result<HttpResponse> Call(const Address& entry, const HttpRequest& request) = 0;
};

/// Calls the operator port of entries over HTTP.
class HttpEntryClient final : public EntryClient {
 public:
  explicit HttpEntryClient(Duration timeout) : timeout_(timeout) {}

  Result<HttpResponse> Call(const Address& entry, const HttpRequest& request) override;

 private:
  Duration timeout_;
};

/// Parses "IP:PORT[,IP:PORT...]"; fails with `kBadSetting` when empty or when a part is wrong.
Result<std::vector<Address>> ParseEntryList(std::string_view text);

/// Percent-encodes a value for use in a query string.
std::string EncodeQueryValue(std::string_view value);

}  // namespace bamboodock
