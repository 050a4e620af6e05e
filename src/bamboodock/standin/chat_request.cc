#include "bamboodock/standin/chat_request.h"

#include <functional>
#include <string_view>

namespace bamboodock::standin {
namespace {

using nlohmann::json;

constexpr Tokens kMaxTokens{100000};

/// Returns the text of a message whose `content` is a string or a list of parts.
std::string MessageText(const json& message) {
  const json& content = message.at("content");
  if (content.is_string()) return content.get<std::string>();
  std::string text;
  for (const json& part : content) text += part.value("text", "");
  return text;
}

}  // namespace

std::optional<ChatRequest> DecodeChatRequest(const json& body) {
  ChatRequest request;
  try {
    request.version = VersionId(body.at("model").get<std::string>());
    std::vector<std::size_t> message_ends;
    for (const json& message : body.at("messages")) {
      request.prompt += message.value("role", "user") + ":" + MessageText(message) + "\n";
      message_ends.push_back(request.prompt.size());
    }
    const std::string_view prompt = request.prompt;
    for (const std::size_t end : message_ends) {
      const std::string_view prefix = prompt.substr(0, end);
      request.prefixes.push_back(
          {PrefixHash(std::hash<std::string_view>{}(prefix)),
           Ratio(static_cast<double>(end) / static_cast<double>(prompt.size()))});
    }
    request.max_tokens =
        std::min(kMaxTokens, Tokens(body.value("max_tokens", request.max_tokens.value())));
    request.stream = body.value("stream", false);
    request.logprobs = body.value("logprobs", false);
  } catch (const json::exception&) {
    return {};
  }
  if (request.prefixes.empty()) return {};
  return request;
}

}  // namespace bamboodock::standin
