#include "bamboodock/codec/chat_codec.h"

#include <xxhash.h>

#include <algorithm>
#include <nlohmann/json.hpp>

namespace bamboodock {
namespace {

using Json = nlohmann::json;

/// Number of messages that form the prefix: the system message and the first message of the
/// conversation.
constexpr std::size_t kPrefixMessages = 2;
/// Leading bytes of a message that are hashed, so that long documents with a common beginning share
/// a prefix.
constexpr std::size_t kPrefixBytes = 1024;

std::uint64_t PrefixHash(const Json& messages) {
  std::string prefix;
  for (std::size_t i = 0; i < std::min(kPrefixMessages, messages.size()); ++i) {
    const auto content = messages[i].find("content");
    if (content == messages[i].end() || !content->is_string()) continue;
    prefix += content->get_ref<const std::string&>().substr(0, kPrefixBytes);
    prefix.push_back('\n');
  }
  return prefix.empty() ? 0 : XXH3_64bits(prefix.data(), prefix.size());
}

template <class T>
Result<T> Field(const Json& json, const char* name, T fallback, bool (Json::*is_type)() const) {
  const auto found = json.find(name);
  if (found == json.end() || found->is_null()) return fallback;
  if (!((*found).*is_type)()) {
    return Raise(ResultCode::kBadRequest,
                 std::string("field '") + name + "' has the wrong JSON type");
  }
  return found->get<T>();
}

}  // namespace

Result<ChatRequest> ParseChatRequest(const std::string& body) {
  const Json json = Json::parse(body, nullptr, false);
  if (json.is_discarded()) return Raise(ResultCode::kBadRequest, "the body is not valid JSON");
  if (!json.is_object()) return Raise(ResultCode::kBadRequest, "the body is not a JSON object");
  ChatRequest request;
  BOOST_LEAF_ASSIGN(request.model, Field<std::string>(json, "model", "", &Json::is_string));
  if (request.model.empty()) return Raise(ResultCode::kBadRequest, "field 'model' is missing");
  BOOST_LEAF_ASSIGN(request.stream, Field<bool>(json, "stream", false, &Json::is_boolean));
  BOOST_LEAF_ASSIGN(request.logprobs, Field<bool>(json, "logprobs", false, &Json::is_boolean));
  const auto messages = json.find("messages");
  if (messages == json.end() || !messages->is_array() || messages->empty()) {
    return Raise(ResultCode::kBadRequest, "field 'messages' must be a non-empty array");
  }
  for (const Json& message : *messages) {
    if (!message.is_object()) {
      return Raise(ResultCode::kBadRequest, "an entry of 'messages' is not an object");
    }
  }
  const auto metadata = json.find("metadata");
  if (metadata != json.end() && metadata->is_object()) {
    BOOST_LEAF_ASSIGN(request.kind, Field<std::string>(*metadata, "kind", "", &Json::is_string));
  }
  request.prefix_hash = PrefixHash(*messages);
  return request;
}

std::string EncodeEngineRequest(const std::string& body, const std::string& version) {
  Json json = Json::parse(body, nullptr, false);
  if (!json.is_object()) json = Json::object();
  json["model"] = version;
  json["stream"] = true;
  json["stream_options"] = {{"include_usage", true}};
  json["logprobs"] = true;
  json.erase("metadata");
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Result<ChatEvent> ParseChatEvent(std::string_view data, bool keep_logprobs) {
  Json json = Json::parse(data, nullptr, false);
  if (!json.is_object()) return Raise(ResultCode::kBadMessage, "engine event is not a JSON object");
  ChatEvent event;
  try {
    const auto usage = json.find("usage");
    if (usage != json.end() && usage->is_object()) {
      event.prompt = Tokens(usage->value("prompt_tokens", std::uint64_t{0}));
      event.completion = Tokens(usage->value("completion_tokens", std::uint64_t{0}));
    }
    const auto choices = json.find("choices");
    if (choices != json.end() && !choices->empty()) {
      Json& choice = choices->at(0);
      const Json delta = choice.value("delta", Json::object());
      if (delta.contains("content") && delta.at("content").is_string()) {
        event.content = delta.at("content").get<std::string>();
      }
      const auto logprobs = choice.find("logprobs");
      if (logprobs != choice.end() && logprobs->is_object() && !logprobs->at("content").empty()) {
        event.logprob = logprobs->at("content").at(0).at("logprob").get<double>();
      }
      if (!keep_logprobs) choice.erase("logprobs");
    }
  } catch (const Json::exception& error) {
    return Raise(ResultCode::kBadMessage, error.what());
  }
  event.text = json.dump(-1, ' ', false, Json::error_handler_t::replace);
  return event;
}

void ChatAnswerBuilder::Add(std::string_view event) {
  const Json json = Json::parse(event, nullptr, false);
  if (!json.is_object()) return;
  const auto choices = json.find("choices");
  if (choices == json.end() || !choices->is_array() || choices->empty()) return;
  const Json& choice = choices->at(0);
  const Json delta = choice.value("delta", Json::object());
  if (delta.contains("content") && delta.at("content").is_string()) {
    content_ += delta.at("content").get<std::string>();
  }
  const auto reason = choice.find("finish_reason");
  if (reason != choice.end() && reason->is_string()) finish_reason_ = reason->get<std::string>();
}

std::string ChatAnswerBuilder::Build(const std::string& request, const std::string& model,
                                     Tokens prompt, Tokens completion) const {
  const Json message{{"role", "assistant"}, {"content", content_}};
  const Json choice{{"index", 0}, {"message", message}, {"finish_reason", finish_reason_}};
  const Json usage{{"prompt_tokens", prompt.value()},
                   {"completion_tokens", completion.value()},
                   {"total_tokens", prompt.value() + completion.value()}};
  return Json{{"id", request},
              {"object", "chat.completion"},
              {"model", model},
              {"choices", Json::array({choice})},
              {"usage", usage}}
      .dump(-1, ' ', false, Json::error_handler_t::replace);
}

}  // namespace bamboodock
