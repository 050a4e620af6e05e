#pragma once

#include <string>
#include <utility>
#include <vector>

#include "bamboodock/config/exit_code.h"
#include "bamboodock/core/result.h"
#include "bamboodock/transport/entry_client.h"

namespace bamboodock {

/// Reads from the first entry that answers.
class QuerySender {
 public:
  /// `caller` must outlive the sender.
  QuerySender(EntryClient& caller, std::vector<Address> entries)
      : caller_(caller), entries_(std::move(entries)) {}

  /// Body of the answer to `GET path?query`. A query changes nothing, so every failure to get an
  /// answer leads to the next entry. A refusal keeps its result code; `kConnectionFailed` means
  /// that no entry answered.
  Result<std::string> Get(const std::string& path, const std::string& query = "");

 private:
  EntryClient& caller_;
  std::vector<Address> entries_;
};

/// Exit code for a failed query.
ExitCode QueryExitCode(ResultCode code);

}  // namespace bamboodock
