#pragma once

#include <optional>
#include <string>
#include <vector>

#include "bamboodock/core/ids.h"
#include "bamboodock/core/units.h"
#include "bamboodock/transport/http_types.h"

namespace bamboodock {

/// Load that an endpoint reports with an answer.
struct ReportedLoad {
  Concurrency running;
  Concurrency waiting;
  Concurrency slots;
};

/// What the head of an endpoint's answer says.
struct AnswerHead {
  int status = 0;
  /// Headers to be passed to the caller.
  std::vector<HttpHeader> headers;
  /// Whether the endpoint states that it did not run the request.
  bool not_run = false;
  /// Whether another endpoint answered than the one that was asked for.
  bool wrong_endpoint = false;
  /// Whether the answer carries the id of the request.
  bool matches_request = false;
  /// Whether the answer carries the endpoint's digest, without which a success does not count.
  bool has_digest = false;
  /// Whether the body is encoded, which no caller asked for.
  bool encoded = false;
  bool event_stream = false;
  /// The model's own opinion of its answer, 0 to 100.
  std::optional<std::uint32_t> confidence;
  std::optional<ReportedLoad> load;

  bool Success() const { return status >= 200 && status < 300; }
};

}  // namespace bamboodock
