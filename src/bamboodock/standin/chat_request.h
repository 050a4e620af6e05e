#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "bamboodock/core/ids.h"
#include "bamboodock/core/units.h"
#include "bamboodock/standin/generation.h"

namespace bamboodock::standin {

/// Decoded request body of `/v1/chat/completions`.
struct ChatRequest {
  VersionId version;
  std::string prompt;
  std::vector<PromptPrefix> prefixes;
  Tokens max_tokens{32};
  bool stream = false;
  bool logprobs = false;
};

/// Decodes a request body; empty when it is not a chat request with at least one message.
std::optional<ChatRequest> DecodeChatRequest(const nlohmann::json& body);

}  // namespace bamboodock::standin
