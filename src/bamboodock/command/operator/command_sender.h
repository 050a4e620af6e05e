#pragma once

#include <optional>
#include <vector>

#include "bamboodock/codec/operator_codec.h"
#include "bamboodock/config/exit_code.h"
#include "bamboodock/core/failure.h"
#include "bamboodock/transport/entry_client.h"

namespace bamboodock {

/// Outcome of a command, over all entries that were tried.
struct CommandOutcome {
  ExitCode exit_code = ExitCode::kUnreachable;
  /// Last answer; empty when no entry answered.
  std::optional<HttpResponse> response;
  /// Refusal read from `response`; empty after an acceptance.
  std::optional<OperatorError> refusal;
  /// Last failure to get an answer from an entry.
  Failure failure;
  /// Failures of entries that may have received the request but did not answer.
  std::vector<Failure> lost_answers;
};

/// Sends a command to the entries in their order until one answers.
class CommandSender {
 public:
  /// `client` must outlive the sender.
  CommandSender(EntryClient& client, std::vector<Address> entries)
      : client_(client), entries_(std::move(entries)) {}

  /// Blocks until an entry answers or all have failed. The request must carry a publication id,
  /// which makes it idempotent: after a lost answer it is sent to the next entry.
  CommandOutcome Send(const HttpRequest& request);

 private:
  EntryClient& client_;
  std::vector<Address> entries_;
};

/// Exit code for an answer; `has_lost_answer` means that an earlier entry may still carry out the
/// command.
ExitCode CommandExitCode(int status, const std::optional<OperatorError>& refusal,
                         bool has_lost_answer);

}  // namespace bamboodock
