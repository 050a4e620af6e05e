#pragma once

#include <string>
#include <utility>
#include <vector>

#include "bamboodock/config/exit_code.h"
#include "bamboodock/core/result.h"
#include "bamboodock/transport/entry_client.h"

namespace bamboodock {

/// Sends a query to the entries in their order until one answers.
class QuerySender {
 public:
  /// `client` must outlive the sender.
  QuerySender(EntryClient& client, std::vector<Address> entries)
      : client_(client), entries_(std::move(entries)) {}

  /// Body of the answer to `GET path?query`. Queries are read-only, so after any failure to get an
  /// answer the next entry is tried. A refusal keeps its result code, except that
  /// `kConnectionFailed` becomes `kEndpointFailed`; `kConnectionFailed` means that no entry
  /// answered, `kBadSetting` that there are no entries.
  Result<std::string> Get(const std::string& path, const std::string& query = "");

 private:
  EntryClient& client_;
  std::vector<Address> entries_;
};

/// Exit code for a failed query.
ExitCode QueryExitCode(ResultCode code);

}  // namespace bamboodock
