#pragma once

#include <string>

#include "bamboodock/core/result.h"
#include "bamboodock/routing/answer_head.h"
#include "bamboodock/routing/caller_request.h"
#include "bamboodock/routing/endpoint_record.h"
#include "bamboodock/routing/route.h"

namespace bamboodock {

/// Information that the router adds to a request when it forwards it to an endpoint.
struct ForwardMetadata {
  EndpointId endpoint;
  ClientAccountId account;
  /// Model selected by the router; empty when the caller named it.
  ModelId model;
  Duration time_left{};
  /// Scheduling priority at the engine, 0 to 9; 0 is the highest.
  std::uint32_t engine_priority = 5;
  /// Last event that the caller has received; empty for a whole stream.
  std::optional<std::uint64_t> last_event;
};

/// Header names and formats used by callers and endpoints; implemented by an adapter.
///
/// Implementations are stateless and may be called from any thread.
class WireProtocol {
 public:
  virtual ~WireProtocol() = default;

  /// Decodes the received headers into `request.metadata` and appends those to forward to
  /// `request.headers`. Fails with `kBadRequest` when a header is missing or malformed.
  virtual Result<void> DecodeRequest(const std::vector<HttpHeader>& received,
                                     CallerRequest& request) const = 0;
  /// Headers that the router adds for one attempt.
  virtual std::vector<HttpHeader> AttemptHeaders(const CallerRequest& request,
                                                 const ForwardMetadata& forward) const = 0;
  /// Decodes the head of the answer to the attempt with id `attempt`.
  virtual AnswerHead DecodeAnswer(int status, const std::vector<HttpHeader>& received,
                                  const AttemptId& attempt) const = 0;
  /// Path of the readiness check, which tells whether this process accepts new connections.
  virtual std::string ReadyPath() const = 0;
};

}  // namespace bamboodock
