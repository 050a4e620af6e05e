#include "bamboodock/core/result_code.h"

#include <array>

namespace bamboodock {
namespace {

struct Row {
  ResultCode code;
  std::string_view name;
  int http_status;
};

constexpr std::array kRows{
    Row{ResultCode::kOk, "ok", 200},
    Row{ResultCode::kBadRequest, "bad_request", 400},
    Row{ResultCode::kUnauthorized, "unauthorized", 401},
    Row{ResultCode::kUnknownModel, "unknown_model", 404},
    Row{ResultCode::kModelNotAllowed, "model_not_allowed", 403},
    Row{ResultCode::kBodyTooLarge, "body_too_large", 413},
    Row{ResultCode::kVersionWithdrawn, "version_withdrawn", 410},
    Row{ResultCode::kBadSession, "bad_session", 400},
    Row{ResultCode::kBadHandle, "bad_handle", 400},
    Row{ResultCode::kNotFound, "not_found", 404},
    Row{ResultCode::kIdempotencyKeyMissing, "idempotency_key_missing", 400},
    Row{ResultCode::kMethodNotAllowed, "method_not_allowed", 405},
    Row{ResultCode::kAccountRateLimit, "account_rate_limit", 429},
    Row{ResultCode::kAccountConcurrencyLimit, "account_concurrency_limit", 429},
    Row{ResultCode::kEndpointAtLimit, "endpoint_at_limit", 503},
    Row{ResultCode::kNoEndpoint, "no_endpoint", 503},
    Row{ResultCode::kRingFull, "ring_full", 503},
    Row{ResultCode::kRetryBudgetSpent, "retry_budget_spent", 503},
    Row{ResultCode::kDeadlineExceeded, "deadline_exceeded", 504},
    Row{ResultCode::kLedgerFull, "ledger_full", 503},
    Row{ResultCode::kOverloaded, "overloaded", 503},
    Row{ResultCode::kHeaderTooLarge, "header_too_large", 431},
    Row{ResultCode::kHeaderTimeout, "header_timeout", 408},
    Row{ResultCode::kPromptQuarantined, "prompt_quarantined", 503},
    Row{ResultCode::kStaleEpoch, "stale_epoch", 503},
    Row{ResultCode::kNotFresh, "not_fresh", 503},
    Row{ResultCode::kZoneDrained, "zone_drained", 503},
    Row{ResultCode::kEndpointLeaving, "endpoint_leaving", 503},
    Row{ResultCode::kVersionNotServed, "version_not_served", 503},
    Row{ResultCode::kPublishConflict, "publish_conflict", 409},
    Row{ResultCode::kWitnessesUnreachable, "witnesses_unreachable", 503},
    Row{ResultCode::kNoConfiguration, "no_configuration", 503},
    Row{ResultCode::kAttemptUnknown, "attempt_unknown", 502},
    Row{ResultCode::kAlreadyRunning, "already_running", 409},
    Row{ResultCode::kOutcomeUnknown, "outcome_unknown", 502},
    Row{ResultCode::kClaimUnavailable, "claim_unavailable", 503},
    Row{ResultCode::kKeyReused, "key_reused", 422},
    Row{ResultCode::kStoreUnavailable, "store_unavailable", 503},
    Row{ResultCode::kStoreConflict, "store_conflict", 409},
    Row{ResultCode::kStoreAnswerLost, "store_answer_lost", 502},
    Row{ResultCode::kConnectionFailed, "connection_failed", 502},
    Row{ResultCode::kConnectionSilent, "connection_silent", 504},
    Row{ResultCode::kEndpointFailed, "endpoint_failed", 502},
    Row{ResultCode::kBadMessage, "bad_message", 502},
    Row{ResultCode::kAnswerIncomplete, "answer_incomplete", 502},
    Row{ResultCode::kCancelled, "cancelled", 499},
    Row{ResultCode::kHistoryLost, "history_lost", 503},
    Row{ResultCode::kBadSetting, "bad_setting", 500},
    Row{ResultCode::kInternal, "internal", 500},
    Row{ResultCode::kStopping, "stopping", 503},
};

constexpr std::array<std::string_view, 3> kRunNames{"not_run", "ran", "unknown"};

}  // namespace

std::string_view Name(ResultCode code) {
  for (const Row& row : kRows) {
    if (row.code == code) return row.name;
  }
  return "internal";
}

int HttpStatus(ResultCode code) {
  for (const Row& row : kRows) {
    if (row.code == code) return row.http_status;
  }
  return 500;
}

std::string_view Name(RunState state) { return kRunNames.at(static_cast<std::size_t>(state)); }

ResultCode ResultCodeFromName(std::string_view name) {
  for (const Row& row : kRows) {
    if (row.name == name) return row.code;
  }
  return ResultCode::kInternal;
}

RunState RunStateFromName(std::string_view name) {
  if (name == kRunNames[0]) return RunState::kNotRun;
  if (name == kRunNames[1]) return RunState::kRan;
  return RunState::kUnknown;
}

}  // namespace bamboodock
