#pragma once

#include <optional>
#include <vector>

#include "bamboodock/codec/operator_codec.h"
#include "bamboodock/config/exit_code.h"
#include "bamboodock/core/failure.h"
#include "bamboodock/transport/entry_client.h"

namespace bamboodock {

/// Outcome of a command over all entries tried.
struct CommandOutcome {
  ExitCode exit_code = ExitCode::kUnreachable;
  /// Last answer; empty when no entry answered.
  std::optional<HttpResponse> response;
  /// Refusal read from `response`; empty after an acceptance.
  std::optional<OperatorError> refusal;
  /// Last failure to get an answer.
  Failure failure;
  /// Failures of entries that may have got the request and did not answer it.
  std::vector<Failure> lost_answers;
};

/// Sends a command to the first entry that answers.
class CommandSender {
 public:
  /// `caller` must outlive the sender.
  CommandSender(EntryClient& caller, std::vector<Address> entries)
      : caller_(caller), entries_(std::move(entries)) {}

  /// The request must carry a publication id, which makes it harmless to send it to a further entry
  /// when an answer was lost.
  CommandOutcome Send(const HttpRequest& request);

 private:
  EntryClient& caller_;
  std::vector<Address> entries_;
};

/// Exit code for an answer; `has_lost_answer` tells whether an earlier entry may still act.
ExitCode JudgeAnswer(int status, const std::optional<OperatorError>& refusal, bool has_lost_answer);

}  // namespace bamboodock
