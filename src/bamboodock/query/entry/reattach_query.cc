#include "bamboodock/query/entry/reattach_query.h"

#include "bamboodock/codec/error_codec.h"
#include "bamboodock/command/entry/answer_sinks.h"

namespace bamboodock {

void ReattachQuery::Handle(const HttpRequest& request, ResponseWriter& writer) {
  RunOrSendFailure(context_.timeline, writer,
                   [&]() -> Result<bool> { return Run(request, writer); });
}

Result<bool> ReattachQuery::Run(const HttpRequest& request, ResponseWriter& writer) {
  const Ref<const ConfigSnapshot> config = context_.config.snapshot();
  BOOST_LEAF_AUTO(account, Authenticate(*config, request));
  BOOST_LEAF_AUTO(handle, context_.signer.VerifyHandle(
                              std::string_view(request.path).substr(kRequestsPrefix.size())));
  if (handle.account != account) {
    return Raise(ResultCode::kBadHandle, "the request handle was issued to another client account");
  }
  const Endpoint* endpoint = config->set()->Find(handle.endpoint);
  if (endpoint == nullptr) {
    return Raise(ResultCode::kAttemptUnknown,
                 "the endpoint of the attempt is not in the object set in force",
                 RunState::kUnknown);
  }
  BOOST_LEAF_AUTO(peer, ParseAddress(endpoint->address));
  context_.timeline.Record(Event::kReattached, handle.request, handle.attempt.value());
  if (endpoint->kind == EndpointKind::kEngine) {
    StreamAnswer(handle, peer, writer);
  } else {
    SendWholeAnswer(handle, peer, writer);
  }
  return true;
}

void ReattachQuery::StreamAnswer(const RequestHandle& handle, const Address& peer,
                                 ResponseWriter& writer) {
  const auto deadline = std::chrono::steady_clock::now() + config::kDefaultDeadline;
  EventStreamSink sink(writer, {}, [] {});
  const AttemptResult result =
      context_.attempts.Attach(peer, handle.attempt, handle.request, deadline, sink);
  if (result.end) return sink.Done();
  if (!writer.begun()) return writer.Send(FailureResponse(result.failure));
  sink.Abort(FailureBody(result.failure));
}

void ReattachQuery::SendWholeAnswer(const RequestHandle& handle, const Address& peer,
                                    ResponseWriter& writer) {
  const auto deadline = std::chrono::steady_clock::now() + config::kDefaultDeadline;
  BufferSink sink;
  const AttemptResult result =
      context_.attempts.Attach(peer, handle.attempt, handle.request, deadline, sink);
  if (!result.end) return writer.Send(FailureResponse(result.failure));
  HttpResponse response{sink.status(), sink.headers(), {}};
  for (const std::string& chunk : sink.chunks()) response.body += chunk;
  writer.Send(response);
}

}  // namespace bamboodock
