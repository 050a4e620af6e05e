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
  /// Kind of request, from `metadata.kind`; empty when the caller does not state one.
  std::string kind;
  /// Hash of the first messages, for prefix affinity; zero when they have no text.
  std::uint64_t prefix_hash = 0;
};

/// Parses a chat request; fails with `kBadRequest` and a detail that names the invalid field.
Result<ChatRequest> ParseChatRequest(const std::string& body);

/// Request body for an engine: names the version as model, asks for a stream with token
/// probabilities and usage, and leaves out `metadata`.
std::string EncodeEngineRequest(const std::string& body, const std::string& version);

/// One server-sent event of an engine.
struct ChatEvent {
  std::string content;
  std::optional<double> logprob;
  std::optional<Tokens> prompt;
  std::optional<Tokens> completion;
  /// JSON text of the event that is passed on to the caller.
  std::string text;
};

/// Parses the data of an event; fails with `kBadMessage`.
///
/// @param keep_logprobs Whether `text` keeps the token probabilities, as the caller asked for them.
Result<ChatEvent> ParseChatEvent(std::string_view data, bool keep_logprobs);

/// Assembles the events of a streamed answer into one response body.
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
