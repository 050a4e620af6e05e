#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "bamboodock/core/result.h"
#include "bamboodock/core/units.h"

namespace bamboodock {

/// Fields of a chat request that routing needs.
struct ChatRequest {
  std::string model;
  bool stream = false;
  bool logprobs = false;
  /// Kind of request, from `metadata.kind`; empty when the caller names none.
  std::string kind;
  /// Hash of the first messages, for prefix affinity.
  std::uint64_t prefix_hash = 0;
};

/// Reads a chat request; fails with `kBadRequest` and names the field at fault.
Result<ChatRequest> ParseChatRequest(const std::string& body);

/// Body for an engine: the version as model, streamed, with token probabilities and usage.
std::string EngineBody(const std::string& body, const std::string& version);

/// One server-sent event of an engine.
struct ChatEvent {
  std::string content;
  std::optional<double> logprob;
  std::optional<Tokens> prompt;
  std::optional<Tokens> completion;
  /// Event text for the caller.
  std::string text;
};

/// Reads an event; fails with `kBadMessage`.
///
/// @param keep_logprobs Whether the caller asked for token probabilities.
Result<ChatEvent> ParseChatEvent(std::string_view data, bool keep_logprobs);

/// Puts the events of a streamed answer together into one response body.
class ChatAnswerBuilder {
 public:
  void Add(std::string_view event);
  const std::string& content() const { return content_; }
  std::string Build(const std::string& request, const std::string& model, Tokens prompt,
                    Tokens completion) const;

 private:
  std::string content_;
  std::string finish_reason_ = "stop";
};

}  // namespace bamboodock
