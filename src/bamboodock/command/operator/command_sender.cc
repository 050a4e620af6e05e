#include "bamboodock/command/operator/command_sender.h"

namespace bamboodock {
namespace {

constexpr int kHttpOk = 200;
constexpr int kHttpConflict = 409;

}  // namespace

ExitCode CommandExitCode(int status, const std::optional<OperatorError>& refusal,
                         bool has_lost_answer) {
  if (status == kHttpOk && !refusal) return ExitCode::kOk;
  // A refusal by one entry does not rule out that another entry still carries out the command.
  const bool is_outcome_unknown = !refusal || refusal->run == RunState::kUnknown;
  if (has_lost_answer || is_outcome_unknown) return ExitCode::kOutcomeUnknown;
  return status == kHttpConflict ? ExitCode::kConflict : ExitCode::kRefused;
}

CommandOutcome CommandSender::Send(const HttpRequest& request) {
  CommandOutcome outcome;
  for (const Address& entry : entries_) {
    outcome.response = HandleFailure(
        [&]() -> Result<std::optional<HttpResponse>> {
          BOOST_LEAF_AUTO(response, client_.Call(entry, request));
          return std::optional(std::move(response));
        },
        [&](const Failure& failure) {
          outcome.failure = failure;
          if (failure.run != RunState::kNotRun) outcome.lost_answers.push_back(failure);
          return std::optional<HttpResponse>();
        });
    if (outcome.response) break;
  }
  const bool has_lost_answer = !outcome.lost_answers.empty();
  if (!outcome.response) {
    outcome.exit_code = has_lost_answer ? ExitCode::kOutcomeUnknown : ExitCode::kUnreachable;
    return outcome;
  }
  const int status = outcome.response->status;
  // A server that is no entry may answer 200 to any request, so only a receipt means acceptance.
  if (status != kHttpOk || !IsReceipt(outcome.response->body)) {
    outcome.refusal = DecodeOperatorError(*outcome.response);
  }
  outcome.exit_code = CommandExitCode(status, outcome.refusal, has_lost_answer);
  return outcome;
}

}  // namespace bamboodock
