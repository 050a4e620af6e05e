#include "bamboodock/command/entry/call_command.h"

#include <algorithm>
#include <array>
#include <utility>

#include "bamboodock/codec/error_codec.h"
#include "bamboodock/command/entry/answer_sinks.h"

namespace bamboodock {
namespace {

constexpr std::size_t kMaxIdempotencyKeyBytes = 256;

constexpr std::array<std::string_view, 3> kRepeatableMethods{"GET", "HEAD", "OPTIONS"};

/// Headers that apply only between the caller and the entry and are not forwarded.
constexpr std::array<std::string_view, 9> kHopByHopHeaders{
    "authorization", "connection",        "content-length",          "expect", "host", "keep-alive",
    "upgrade",       "transfer-encoding", "x-bamboodock-deadline-ms"};

bool IsHopByHopHeader(const std::string& name) {
  std::string lower = name;
  std::transform(lower.begin(), lower.end(), lower.begin(),
                 [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  return std::find(kHopByHopHeaders.begin(), kHopByHopHeaders.end(), lower) !=
         kHopByHopHeaders.end();
}

/// Buffers the answer of a plain call; a retry starts with an empty buffer.
class CallObserver final : public StepObserver {
 public:
  AnswerSink& OnPlanned(const Plan& /*plan*/, const AttemptId& /*attempt*/) override {
    buffer_ = BufferSink();
    return buffer_;
  }
  const BufferSink& buffer() const { return buffer_; }

 private:
  BufferSink buffer_;
};

}  // namespace

void CallCommand::Handle(const HttpRequest& request, ResponseWriter& writer) {
  RunOrSendFailure(context_.timeline, writer,
                   [&]() -> Result<bool> { return Run(request, writer); });
}

Result<bool> CallCommand::Run(const HttpRequest& request, ResponseWriter& writer) {
  BOOST_LEAF_AUTO(config, FreshConfig(context_.config));
  BOOST_LEAF_AUTO(account, Authenticate(*config, request));
  BOOST_LEAF_AUTO(input, StepInputFor(request, account));
  BOOST_LEAF_AUTO(deadline, ParseDeadline(request));
  BOOST_LEAF_AUTO(run, RequestRun::Admit(context_, config, account, deadline));

  CallObserver observer;
  const StepResult step = run->RunStep(input, {}, observer);
  if (!step.result.end) {
    writer.Send(FailureResponse(step.result.failure));
    run->Fail(step.result.failure);
    return true;
  }
  run->AddCost(*step.plan, *step.result.end);
  HttpResponse response;
  response.status = observer.buffer().status();
  response.headers = observer.buffer().headers();
  const RequestHandle handle{run->id(), account, step.attempt, step.plan->endpoint};
  response.headers.push_back({"X-Bamboodock-Request", context_.signer.Sign(handle)});
  response.headers.push_back({"X-Bamboodock-Run", "ran"});
  for (const std::string& chunk : observer.buffer().chunks()) response.body += chunk;
  writer.Send(response);
  run->MarkFirstByte();
  run->Succeed();
  return true;
}

Result<StepInput> CallCommand::StepInputFor(const HttpRequest& request,
                                            const ClientAccountId& account) const {
  const std::string_view path = request.path;
  const std::string_view rest = path.substr(kServicesPrefix.size());
  const std::size_t slash = rest.find('/');
  StepInput input;
  input.kind = AttemptKind::kCall;
  input.criteria.account = account;
  input.criteria.service = ServiceId(std::string(rest.substr(0, slash)));
  input.path = slash == std::string_view::npos ? "/" : std::string(rest.substr(slash));
  if (!request.query.empty()) input.path += "?" + request.query;
  input.method = request.method;
  input.body = request.body;
  for (const HttpHeader& header : request.headers) {
    if (!IsHopByHopHeader(header.name)) input.headers.push_back(header);
  }
  input.repeatable = std::find(kRepeatableMethods.begin(), kRepeatableMethods.end(),
                               request.method) != kRepeatableMethods.end();
  if (input.repeatable) return input;
  const std::string key(request.Header("Idempotency-Key"));
  if (key.empty() || key.size() > kMaxIdempotencyKeyBytes) {
    return Raise(
        ResultCode::kIdempotencyKeyMissing,
        "methods other than GET, HEAD and OPTIONS need an Idempotency-Key of 1 to 256 bytes");
  }
  input.idempotency_key = IdempotencyKey(key);
  return input;
}

}  // namespace bamboodock
