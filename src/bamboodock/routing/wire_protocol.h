#pragma once

#include <string>

#include "bamboodock/core/result.h"
#include "bamboodock/routing/answer_head.h"
#include "bamboodock/routing/caller_request.h"
#include "bamboodock/routing/endpoint_record.h"
#include "bamboodock/routing/route.h"

namespace bamboodock {

/// What the router adds to a request on its way to an endpoint.
struct ForwardMetadata {
  EndpointId endpoint;
  ClientAccountId account;
  /// Model chosen by the router; empty when the caller named it.
  ModelId model;
  Duration time_left{};
  /// Priority at the engine, 0 to 9; 0 is first.
  std::uint32_t engine_priority = 5;
  /// Last event that the caller has; empty for a whole stream.
  std::optional<std::uint64_t> last_event;
};

/// Names and formats that callers and endpoints use; implemented by an adapter.
///
/// Implementations are stateless and may be called from any thread.
class WireProtocol {
 public:
  virtual ~WireProtocol() = default;

  /// Fills traits and the headers to be passed on from the headers received.
  /// Fails with `kBadRequest` when a header cannot be read.
  virtual Result<void> ReadRequest(const std::vector<HttpHeader>& received,
                                   CallerRequest& request) const = 0;
  /// Headers that the router adds for one attempt.
  virtual std::vector<HttpHeader> AttemptHeaders(const CallerRequest& request,
                                                 const ForwardMetadata& forward) const = 0;
  virtual AnswerHead ReadAnswer(int status, const std::vector<HttpHeader>& received,
                                const AttemptId& attempt) const = 0;
  /// Path that asks whether this process takes new connections.
  virtual std::string ReadyPath() const = 0;
};

}  // namespace bamboodock
