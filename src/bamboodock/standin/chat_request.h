#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "bamboodock/core/ids.h"
#include "bamboodock/core/units.h"
#include "bamboodock/standin/generation.h"

namespace bamboodock::standin {

/// Call of `/v1/chat/completions`, decoded.
struct ChatRequest {
  VersionId version;
  std::string prompt;
  std::vector<PromptPrefix> prefixes;
  Tokens max_tokens{32};
  bool stream = false;
  bool logprobs = false;
};

/// Empty when the body is not a chat request.
std::optional<ChatRequest> DecodeChatRequest(const nlohmann::json& body);

}  // namespace bamboodock::standin
