#pragma once

#include <optional>
#include <string>
#include <vector>

#include "bamboodock/core/ids.h"
#include "bamboodock/core/slowdown.h"
#include "bamboodock/core/units.h"
#include "bamboodock/transport/http_types.h"

namespace bamboodock {

/// Load that an endpoint reports in the head of an answer, in requests.
struct ReportedLoad {
  Concurrency running;
  Concurrency waiting;
  Concurrency slots;
  /// How long work takes at the endpoint at this moment; empty when it does not say.
  std::optional<Slowdown> slowdown = std::nullopt;
};

/// Decoded status and headers of an endpoint's answer.
struct AnswerHead {
  int status = 0;
  /// Headers to forward to the caller.
  std::vector<HttpHeader> headers;
  /// Whether the endpoint states that it did not run the request. A refusal of another request
  /// states nothing about this one.
  bool not_run = false;
  /// Whether an endpoint other than the requested one answered.
  bool wrong_endpoint = false;
  /// Whether the answer carries the attempt id of the request.
  bool matches_request = false;
  /// Whether the answer carries the endpoint's digest; a success without it is not accepted.
  bool has_digest = false;
  /// Whether the body has a content encoding, which no caller requested.
  bool encoded = false;
  bool event_stream = false;
  /// Confidence that the model reports for its answer, 0 to 100.
  std::optional<std::uint32_t> confidence;
  std::optional<ReportedLoad> load;
  /// Whether the answer has a load report that cannot be read.
  bool unreadable_load = false;
  /// Whether the endpoint states that it drains.
  bool draining = false;
  /// Requests that the endpoint takes from all entries together, if it limits them.
  std::optional<RequestRate> rate_limit;
  /// How long the endpoint wants no further requests from this host.
  std::optional<Duration> retry_after;

  bool IsSuccess() const { return status >= 200 && status < 300; }
};

}  // namespace bamboodock
