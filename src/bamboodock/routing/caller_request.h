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

/// What a request says about itself, decoded from its head.
struct RequestMetadata {
  AttemptId attempt;
  ApiKey key;
  SessionId session;
  /// How long the caller waits; empty when it does not say.
  std::optional<Duration> time_left;
  /// Model that the caller names; empty when the router is to choose.
  ModelId model;
  bool router_selects_model = false;
  Tokens prompt_tokens;
  Tokens max_output_tokens;
  std::vector<PromptPart> prompt_parts;
  /// Event after which the caller continues a stream; empty for a whole stream.
  std::optional<std::uint64_t> last_event;
};

/// One request of a caller, complete with its body.
struct CallerRequest : RefCounted<CallerRequest> {
  std::string method;
  /// Path and query, as received.
  std::string target;
  std::string host;
  /// Headers to be passed on; those of the connection and of the router are left out.
  std::vector<HttpHeader> headers;
  std::string body;
  RequestMetadata metadata;
  /// When the head was complete.
  MonotonicTime arrived;

  std::string_view Path() const {
    const std::string_view whole = target;
    return whole.substr(0, whole.find('?'));
  }
};

}  // namespace bamboodock
