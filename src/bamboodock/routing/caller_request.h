#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "bamboodock/core/ids.h"
#include "bamboodock/core/ref_counted.h"
#include "bamboodock/core/units.h"
#include "bamboodock/transport/http_types.h"

namespace bamboodock {

/// Part of a prompt that an engine may have cached.
struct PromptPart {
  PromptPartId id;
  Tokens tokens;
};

/// Routing information decoded from the head of a request.
struct RequestMetadata {
  AttemptId attempt;
  ApiKey key;
  SessionId session;
  /// How long the caller waits; empty when the request does not state it.
  std::optional<Duration> time_left;
  /// Model that the caller names; empty when `any_model` is set or none is named.
  ModelId model;
  /// Whether the caller lets the router select the model.
  bool any_model = false;
  Tokens prompt_tokens;
  Tokens max_output_tokens;
  /// Output tokens that the caller expects, often far off; empty when it does not say.
  std::optional<Tokens> expected_output_tokens;
  std::vector<PromptPart> prompt_parts;
  /// Event after which the caller resumes a stream; empty for a whole stream.
  std::optional<std::uint64_t> last_event;
};

/// One request of a caller with its complete body.
struct CallerRequest : RefCounted<CallerRequest> {
  std::string method;
  /// Path and query, as received.
  std::string target;
  std::string host;
  /// Headers to forward, without hop-by-hop headers and those that only the router sets.
  std::vector<HttpHeader> headers;
  std::string body;
  RequestMetadata metadata;
  /// Time at which the head was complete.
  MonotonicTime arrived;

  std::string_view Path() const {
    const std::string_view whole = target;
    return whole.substr(0, whole.find('?'));
  }
};

}  // namespace bamboodock
