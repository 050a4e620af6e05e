#include "bamboodock/command/entry/chat_command.h"

#include <memory>
#include <utility>

#include "bamboodock/codec/error_codec.h"
#include "bamboodock/command/entry/answer_sinks.h"
#include "bamboodock/policy/answer_check.h"

namespace bamboodock {
namespace {

constexpr const char* kHandleHeader = "X-Bamboodock-Request";
constexpr const char* kSessionHeader = "X-Bamboodock-Session";
constexpr const char* kVersionHeader = "X-Bamboodock-Version";
constexpr const char* kCostHeader = "X-Bamboodock-Cost-Micros";

}  // namespace

/// State of one chat request, across the steps of its cascade.
struct ChatCommand::ChatState final : public StepObserver {
  ChatState(RequestContext& request_context, ResponseWriter& response_writer)
      : context(request_context), writer(response_writer) {}

  AnswerSink& OnPlanned(const Plan& plan, const AttemptId& attempt) override {
    headers = HeadersFor(plan, attempt);
    const bool stream_directly = request.stream && !plan.may_escalate;
    if (!stream_directly) {
      stream.reset();
      buffer = std::make_unique<BufferSink>();
      return *buffer;
    }
    buffer.reset();
    stream = std::make_unique<EventStreamSink>(writer, headers, [this] { run->MarkFirstByte(); });
    return *stream;
  }

  std::vector<HttpHeader> HeadersFor(const Plan& plan, const AttemptId& attempt) const {
    const RequestHandle handle{run->id(), criteria.account, attempt, plan.endpoint};
    const SessionPin pin{session, criteria.account, plan.model, plan.version};
    return {{kHandleHeader, context.signer.Sign(handle)},
            {kSessionHeader, context.signer.Sign(pin)},
            {kVersionHeader, plan.model.value() + "@" + plan.version.value()}};
  }

  RequestContext& context;
  ResponseWriter& writer;
  ChatRequest request;
  RoutingCriteria criteria;
  SessionId session;
  std::unique_ptr<RequestRun> run;
  std::unique_ptr<BufferSink> buffer;
  std::unique_ptr<EventStreamSink> stream;
  std::vector<HttpHeader> headers;
  std::vector<CascadeStep> rejected;
  CostMicros cost;
  Tokens prompt;
  Tokens completion;
};

void ChatCommand::Handle(const HttpRequest& request, ResponseWriter& writer) {
  RunOrSendFailure(context_.timeline, writer,
                   [&]() -> Result<bool> { return Run(request, writer); });
}

Result<bool> ChatCommand::Run(const HttpRequest& request, ResponseWriter& writer) {
  BOOST_LEAF_AUTO(config, FreshConfig(context_.config));
  BOOST_LEAF_AUTO(account, Authenticate(*config, request));
  ChatState chat(context_, writer);
  BOOST_LEAF_ASSIGN(chat.request, ParseChatRequest(request.body));
  BOOST_LEAF_ASSIGN(chat.criteria, CriteriaFor(request, chat.request, account));
  BOOST_LEAF_AUTO(deadline, ParseDeadline(request));
  BOOST_LEAF_ASSIGN(chat.run, RequestRun::Admit(context_, config, account, deadline));
  chat.session = SessionId(context_.ids.Next("s-"));

  StepInput input;
  input.criteria = chat.criteria;
  input.body = request.body;
  const std::string_view trace = request.Header("traceparent");
  if (!trace.empty()) input.headers.push_back({"traceparent", std::string(trace)});

  StepResult accepted;
  while (true) {
    StepResult step = chat.run->RunStep(input, chat.rejected, chat);
    if (!step.result.end) {
      // A rejected answer of an earlier step is still returned when no later step gives one.
      if (!accepted.plan) accepted = std::move(step);
      break;
    }
    chat.run->AddCost(*step.plan, *step.result.end);
    chat.cost += step.result.end->cost;
    accepted = std::move(step);
    if (!ShouldEscalate(chat, accepted)) break;
  }
  Finish(chat, accepted, writer);
  return true;
}

Result<RoutingCriteria> ChatCommand::CriteriaFor(const HttpRequest& request,
                                                 const ChatRequest& chat,
                                                 const ClientAccountId& account) const {
  RoutingCriteria criteria;
  criteria.account = account;
  criteria.target = chat.model;
  criteria.kind = RequestKind(chat.kind);
  criteria.affinity = chat.prefix_hash;
  const std::string_view token = request.Header(kSessionHeader);
  if (token.empty()) return criteria;
  BOOST_LEAF_AUTO(pin, context_.signer.VerifyPin(token));
  if (pin.account != account) {
    return Raise(ResultCode::kBadSession, "the session token was issued to another client account");
  }
  criteria.pinned = CascadeStep{pin.model, pin.version};
  return criteria;
}

bool ChatCommand::ShouldEscalate(ChatState& chat, const StepResult& step) {
  if (!step.plan->may_escalate) return false;
  AnswerStatistics statistics;
  statistics.completion = step.result.end->completion;
  const Ratio confidence = step.result.end->confidence;
  if (confidence.value() >= 0) statistics.mean_token_probability = confidence;
  const bool escalate =
      AnswerCheck(step.plan->accept_confidence).Check(statistics) == AnswerVerdict::kEscalate;
  context_.timeline.Record(Event::kAnswerChecked, chat.run->id(),
                           step.plan->version.value() + (escalate ? " rejected" : " accepted"));
  context_.routes.Post(AnswerCheckedCommand{step.plan->version, chat.criteria.kind,
                                            !chat.rejected.empty(), !escalate});
  if (escalate) chat.rejected.push_back({step.plan->model, step.plan->version});
  return escalate;
}

void ChatCommand::Finish(ChatState& chat, const StepResult& step, ResponseWriter& writer) {
  if (!step.result.end) {
    const Failure& failure = step.result.failure;
    if (step.result.caller_left) context_.timeline.Record(Event::kCallerLeft, chat.run->id(), "");
    if (!writer.begun()) {
      writer.Send(FailureResponse(failure));
    } else if (chat.stream && !step.result.caller_left) {
      chat.stream->Abort(FailureBody(failure));
    }
    chat.run->Fail(failure);
    return;
  }
  if (chat.stream) {
    chat.stream->Done();
    chat.run->Succeed();
    return;
  }
  chat.headers = chat.HeadersFor(*step.plan, step.attempt);
  chat.headers.push_back({kCostHeader, std::to_string(chat.cost.value())});
  if (chat.request.stream) {
    EventStreamSink sink(writer, chat.headers, [&chat] { chat.run->MarkFirstByte(); });
    bool connected = sink.OnHead(200, {});
    for (const std::string& chunk : chat.buffer->chunks()) {
      if (connected) connected = sink.OnChunk(chunk);
    }
    sink.Done();
  } else {
    ChatAnswerBuilder builder;
    for (const std::string& chunk : chat.buffer->chunks()) builder.Add(chunk);
    chat.headers.push_back({"Content-Type", "application/json"});
    const std::string model = step.plan->model.value() + "@" + step.plan->version.value();
    const EndMessage& end = *step.result.end;
    writer.Send({200, chat.headers,
                 builder.Build(chat.run->id().value(), model, end.prompt, end.completion)});
    chat.run->MarkFirstByte();
  }
  chat.run->Succeed();
}

}  // namespace bamboodock
