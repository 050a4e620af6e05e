#include "bamboodock/standin/command/engine_commands.h"

#include <charconv>

#include "bamboodock/standin/inject_fault.h"
#include "bamboodock/standin/routes.h"

namespace bamboodock::standin {
namespace {

using nlohmann::json;

constexpr std::size_t kBytesPerToken = 4;
/// Maximum wait for room in the duty's command ring; a longer wait means that the engine is stuck.
constexpr std::chrono::seconds kCommandTimeout{5};

/// Whether the fault freezes or cuts an answer after `chunks` chunks.
bool InterruptsAnswer(const Fault& fault, std::uint64_t chunks) {
  const bool interrupts = fault.mode == FaultMode::kFreeze || fault.mode == FaultMode::kCut;
  return interrupts && chunks >= fault.after_chunks;
}

/// Sends the error response for a generation that the engine refused; false when it was not
/// refused.
bool SendRefusal(GenerationEvent event, ResponseWriter& writer) {
  switch (event) {
    case GenerationEvent::kColdOverload:
      SendError(writer, 503, "cold engine's stream limit exceeded");
      return true;
    case GenerationEvent::kQueueFull:
      SendError(writer, 503, "the engine's generation queue is full");
      return true;
    case GenerationEvent::kNotLoaded:
      SendError(writer, 404, "the requested version is not loaded");
      return true;
    default:
      return false;
  }
}

json Logprob(const AnswerToken& token) {
  return {{"token", token.text}, {"logprob", token.logprob}};
}

json Usage(const ChatRequest& chat) {
  const std::size_t prompt = (chat.prompt.size() / kBytesPerToken) + 1;
  return {{"prompt_tokens", prompt},
          {"completion_tokens", chat.max_tokens.value()},
          {"total_tokens", prompt + chat.max_tokens.value()}};
}

json CompletionObject(const ChatRequest& chat, const char* object, json choice) {
  choice["index"] = 0;
  return {{"id", "chatcmpl-standin"},
          {"object", object},
          {"model", chat.version.value()},
          {"choices", json::array({std::move(choice)})}};
}

std::string ServerSentEvent(const json& data) { return "data: " + data.dump() + "\n\n"; }

std::string TokenChunk(const ChatRequest& chat, const AnswerToken& token) {
  json choice{{"delta", {{"role", "assistant"}, {"content", token.text}}},
              {"finish_reason", nullptr}};
  if (chat.logprobs) choice["logprobs"] = {{"content", json::array({Logprob(token)})}};
  return ServerSentEvent(CompletionObject(chat, "chat.completion.chunk", std::move(choice)));
}

std::string LastChunk(const ChatRequest& chat) {
  json completion = CompletionObject(chat, "chat.completion.chunk",
                                     {{"delta", json::object()}, {"finish_reason", "length"}});
  completion["usage"] = Usage(chat);
  return ServerSentEvent(completion) + "data: [DONE]\n\n";
}

json CompletionBody(const ChatRequest& chat, const Answer& answer) {
  std::string text;
  json logprobs = json::array();
  for (const AnswerToken& token : answer.tokens) {
    text += token.text;
    if (chat.logprobs) logprobs.push_back(Logprob(token));
  }
  json choice{{"message", {{"role", "assistant"}, {"content", text}}}, {"finish_reason", "length"}};
  if (chat.logprobs) choice["logprobs"] = {{"content", std::move(logprobs)}};
  json completion = CompletionObject(chat, "chat.completion", std::move(choice));
  completion["usage"] = Usage(chat);
  return completion;
}

int ParsePriority(const HttpRequest& request) {
  const std::string_view text = request.Header("X-Priority");
  int priority = 1;
  std::from_chars(text.data(), text.data() + text.size(), priority);
  return priority;
}

}  // namespace

bool EngineCommands::Handle(const HttpRequest& request, ResponseWriter& writer) {
  using Method = void (EngineCommands::*)(const HttpRequest&, ResponseWriter&);
  static constexpr std::array kRoutes{
      Route<Method>{"POST", "/v1/chat/completions", &EngineCommands::Chat},
      Route<Method>{"POST", "/orders", &EngineCommands::Order},
      Route<Method>{"POST", "/faults", &EngineCommands::SetFault},
  };
  return Dispatch(*this, kRoutes, request, writer);
}

void EngineCommands::Chat(const HttpRequest& request, ResponseWriter& writer) {
  const auto chat = DecodeChatRequest(ParseBody(request));
  if (!chat) return SendError(writer, 400, "expected a chat request with a model and messages");
  const Fault fault = faults_.TakeForWrite();
  const bool during_answer = fault.mode == FaultMode::kFreeze || fault.mode == FaultMode::kCut;
  if (!during_answer && !InjectFault(fault, faults_, writer)) return;

  const Ref<Generation> generation = MakeRef<Generation>();
  generation->version = chat->version;
  generation->priority = ParsePriority(request);
  generation->length = chat->max_tokens;
  generation->prefixes = chat->prefixes;
  if (!duty_.Post(StartGeneration{generation})) return SendError(writer, 503, "command ring full");
  if (chat->stream) {
    StreamCompletion(*chat, fault, generation, writer);
  } else {
    SendCompletion(*chat, fault, generation, writer);
  }
}

Answer EngineCommands::GenerateAnswer(const ChatRequest& chat) const {
  const ServedVersion* version = duty_.settings().Find(chat.version);
  const Ratio quality = version != nullptr ? version->quality : Ratio(1.0);
  return MakeAnswer({chat.prompt, chat.version, quality, chat.max_tokens, faults_.WrongRatio()},
                    seed_);
}

void EngineCommands::StreamCompletion(const ChatRequest& chat, const Fault& fault,
                                      const Ref<Generation>& generation, ResponseWriter& writer) {
  const Answer answer = GenerateAnswer(chat);
  std::size_t sent = 0;
  while (true) {
    const auto event = generation->events.Pop();
    // The ring is closed before the final event only when the process stops.
    if (!event) return writer.Close();
    if (SendRefusal(*event, writer)) return;
    if (InterruptsAnswer(fault, sent)) return InterruptAnswer(fault, generation, writer);
    bool writable = writer.begun() || writer.Begin(200, {{"Content-Type", "text/event-stream"}});
    if (*event == GenerationEvent::kDone) {
      if (writable && writer.Write(LastChunk(chat))) return writer.End();
      return writer.Close();
    }
    writable = writable && writer.Write(TokenChunk(chat, answer.tokens.at(sent++)));
    if (!writable) {
      Cancel(generation);
      return writer.Close();
    }
  }
}

void EngineCommands::SendCompletion(const ChatRequest& chat, const Fault& fault,
                                    const Ref<Generation>& generation, ResponseWriter& writer) {
  std::uint64_t generated = 0;
  while (true) {
    const auto event = generation->events.Pop();
    if (!event) return writer.Close();
    if (SendRefusal(*event, writer)) return;
    if (InterruptsAnswer(fault, generated++)) return InterruptAnswer(fault, generation, writer);
    if (*event == GenerationEvent::kDone) break;
  }
  SendJson(writer, 200, CompletionBody(chat, GenerateAnswer(chat)));
}

void EngineCommands::InterruptAnswer(const Fault& fault, const Ref<Generation>& generation,
                                     ResponseWriter& writer) {
  Cancel(generation);
  if (fault.mode == FaultMode::kFreeze) faults_.HoldConnection();
  writer.Close();
}

void EngineCommands::Cancel(const Ref<Generation>& generation) {
  generation->events.Close();
  duty_.PostUntil(CancelGeneration{generation}, std::chrono::steady_clock::now() + kCommandTimeout);
}

void EngineCommands::Order(const HttpRequest& request, ResponseWriter& writer) {
  ApplyOrder command;
  try {
    const json body = ParseBody(request);
    command.order.fencing = FencingToken(body.at("fencing").get<FencingToken::rep>());
    command.order.action = body.at("action").get<std::string>();
    command.order.version = VersionId(body.value("version", ""));
  } catch (const json::exception& error) {
    return SendError(writer, 400, error.what());
  }
  const Fault fault = faults_.TakeForWrite("orders");
  if (!InjectFault(fault, faults_, writer)) return;
  command.reply = std::make_shared<BoundedRing<OrderOutcome>>(1);
  const auto reply = command.reply;
  if (!duty_.Post(std::move(command))) return SendError(writer, 503, "command ring full");
  const auto outcome = reply->Pop();
  if (!outcome || fault.mode == FaultMode::kLoseAnswer) return writer.Close();
  SendJson(writer, outcome->applied ? 200 : 409, {{"highest", outcome->highest.value()}});
}

void EngineCommands::SetFault(const HttpRequest& request, ResponseWriter& writer) {
  const json body = ParseBody(request);
  if (!faults_.Set(body)) return SendError(writer, 400, "expected a fault mode");
  if (body.value("mode", "") == "cold") duty_.Post(TurnCold{});
  SendJson(writer, 200, json::object());
}

}  // namespace bamboodock::standin
