#pragma once

#include <cstdint>
#include <string_view>

namespace bamboodock {

/// Numbered outcomes; docs/result-codes.md lists them with their HTTP statuses.
enum class ResultCode : std::uint16_t {
  kOk = 0,
  // 1xx: the request is at fault.
  kBadRequest = 100,
  kUnauthorized = 101,
  kUnknownModel = 102,
  kModelNotAllowed = 103,
  kBodyTooLarge = 104,
  kVersionWithdrawn = 105,
  kBadSession = 106,
  kBadHandle = 107,
  kNotFound = 108,
  kIdempotencyKeyMissing = 109,
  kMethodNotAllowed = 110,
  // 2xx: limits and load.
  kAccountRateLimit = 200,
  kAccountConcurrencyLimit = 201,
  kEndpointAtLimit = 202,
  kNoEndpoint = 203,
  kRingFull = 204,
  kRetryBudgetSpent = 205,
  kDeadlineExceeded = 206,
  kLedgerFull = 207,
  kOverloaded = 208,
  kHeaderTooLarge = 209,
  kHeaderTimeout = 210,
  kPromptQuarantined = 211,
  // 3xx: configuration and freshness.
  kStaleEpoch = 300,
  kNotFresh = 301,
  kZoneDrained = 302,
  kEndpointLeaving = 303,
  kVersionNotServed = 304,
  kPublishConflict = 305,
  kWitnessesUnreachable = 307,
  kNoConfiguration = 308,
  // 4xx: at-most-once execution.
  kAttemptUnknown = 400,
  kAlreadyRunning = 402,
  kOutcomeUnknown = 403,
  kClaimUnavailable = 404,
  kKeyReused = 405,
  // 5xx: components outside the process.
  kStoreUnavailable = 500,
  kStoreConflict = 501,
  kStoreAnswerLost = 502,
  kConnectionFailed = 503,
  kConnectionSilent = 504,
  kEndpointFailed = 505,
  kBadMessage = 506,
  kAnswerIncomplete = 507,
  kCancelled = 508,
  kHistoryLost = 509,
  // 6xx: settings and the program itself.
  kBadSetting = 600,
  kInternal = 601,
  kStopping = 602,
};

/// Whether the work of a refused or failed request ran.
enum class RunState : std::uint8_t { kNotRun, kRan, kUnknown };

/// Stable lower-case name of a code, for example "stale_epoch".
std::string_view Name(ResultCode code);

/// HTTP status that reports a code to a caller.
int HttpStatus(ResultCode code);

/// "not_run", "ran" or "unknown".
std::string_view Name(RunState state);

/// Inverse of Name(ResultCode); kInternal when the name is not known.
ResultCode ResultCodeFromName(std::string_view name);

/// Inverse of Name(RunState); kUnknown when the name is not known.
RunState RunStateFromName(std::string_view name);

}  // namespace bamboodock
