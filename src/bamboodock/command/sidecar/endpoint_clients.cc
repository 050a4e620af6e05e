#include <cmath>

#include "bamboodock/codec/chat_codec.h"
#include "bamboodock/command/sidecar/runner_pool.h"
#include "bamboodock/core/result.h"

namespace bamboodock {
namespace {

constexpr std::string_view kSseDataPrefix = "data: ";
constexpr std::string_view kStreamEndMarker = "[DONE]";
constexpr Bytes kMaxPlainBodyBytes{8U << 20U};
/// Size of the chunks in which the answer of a plain call is forwarded.
constexpr std::size_t kPlainChunkBytes = 65536;

Duration ElapsedSince(MonotonicTime begin) { return std::chrono::steady_clock::now() - begin; }

void AppendHead(const AdmittedAttempt& admitted, int status, std::vector<HttpHeader> headers) {
  admitted.log->Append(EncodeMessage(SidecarMessage(HeadMessage{status, std::move(headers)})));
}

void AppendChunk(const AdmittedAttempt& attempt, EndpointAnswer& reply, std::string data) {
  const ChunkMessage chunk{reply.chunks, std::move(data)};
  if (attempt.log->Append(EncodeMessage(SidecarMessage(chunk)))) reply.chunks = reply.chunks.Next();
}

Duration RemainingTime(const AdmittedAttempt& admitted) {
  return std::max<Duration>(admitted.start.deadline - std::chrono::steady_clock::now(),
                            std::chrono::milliseconds(1));
}

/// Forwards the events of one engine stream to the answer log and collects token counts, confidence
/// and the time to the first token.
class ChatStreamReader {
 public:
  ChatStreamReader(const AdmittedAttempt& admitted, EndpointAnswer& answer, MonotonicTime begin)
      : admitted_(admitted), answer_(answer), begin_(begin) {
    HandleFailure(
        [&]() -> Result<bool> {
          BOOST_LEAF_AUTO(request, ParseChatRequest(admitted.start.body));
          keep_logprobs_ = request.logprobs;
          return true;
        },
        [](const Failure& /*failure*/) { return false; });
  }

  /// Reads until the `[DONE]` event; false when the stream ended before it, an event was malformed
  /// or the attempt was cancelled.
  bool Read(HttpStream& stream) {
    std::string line;
    while (stream.ReadLine(line)) {
      if (admitted_.log->cancelled()) {
        answer_.cancelled = true;
        return false;
      }
      if (!line.empty() && line.back() == '\r') line.pop_back();
      if (line.rfind(kSseDataPrefix, 0) != 0) continue;
      const std::string_view data(line.data() + kSseDataPrefix.size(),
                                  line.size() - kSseDataPrefix.size());
      if (data == kStreamEndMarker) return true;
      if (!ProcessEvent(data)) return false;
    }
    return false;
  }

  void Summarize() {
    if (logprob_count_ > 0) {
      answer_.confidence = Ratio(std::exp(logprob_sum_ / static_cast<double>(logprob_count_)));
    }
    if (answer_.completion == Tokens(0)) answer_.completion = content_events_;
  }

 private:
  bool ProcessEvent(std::string_view data) {
    return HandleFailure(
        [&]() -> Result<bool> {
          BOOST_LEAF_AUTO(event, ParseChatEvent(data, keep_logprobs_));
          if (answer_.first_token == Duration::zero()) answer_.first_token = ElapsedSince(begin_);
          if (!event.content.empty()) content_events_ = content_events_.Next();
          if (event.logprob) {
            logprob_sum_ += *event.logprob;
            ++logprob_count_;
          }
          if (event.prompt) answer_.prompt = *event.prompt;
          if (event.completion) answer_.completion = *event.completion;
          AppendChunk(admitted_, answer_, std::move(event.text));
          return true;
        },
        [&](const Failure& failure) {
          answer_.failure = failure;
          return false;
        });
  }

  const AdmittedAttempt& admitted_;
  EndpointAnswer& answer_;
  MonotonicTime begin_;
  bool keep_logprobs_ = false;
  double logprob_sum_ = 0;
  std::size_t logprob_count_ = 0;
  Tokens content_events_;
};

HttpRequest ChatHttpRequest(const AdmittedAttempt& admitted) {
  HttpRequest request;
  request.method = "POST";
  request.path = "/v1/chat/completions";
  request.headers = admitted.start.headers;
  request.headers.push_back({"Content-Type", "application/json"});
  request.headers.push_back({"X-Priority", std::to_string(admitted.start.priority)});
  request.body = EncodeEngineRequest(admitted.start.body, admitted.start.version.value());
  return request;
}

}  // namespace

EndpointAnswer ChatEndpointClient::Call(const HttpClient& client,
                                        const AdmittedAttempt& admitted) const {
  EndpointAnswer answer;
  const auto begin = std::chrono::steady_clock::now();
  answer.failure = {ResultCode::kEndpointFailed, "the stream of the engine ended before [DONE]",
                    RunState::kRan};
  HandleFailure(
      [&]() -> Result<bool> {
        BOOST_LEAF_AUTO(stream, client.Open(ChatHttpRequest(admitted), RemainingTime(admitted)));
        answer.may_have_been_sent = true;
        answer.status = stream->status();
        if (answer.status != 200) {
          const std::string detail =
              "expected HTTP status 200 from the engine, got " + std::to_string(answer.status);
          answer.failure = {ResultCode::kEndpointFailed, detail, RunState::kNotRun};
          return false;
        }
        AppendHead(admitted, answer.status, {});
        ChatStreamReader reader(admitted, answer, begin);
        answer.ok = reader.Read(*stream);
        reader.Summarize();
        return answer.ok;
      },
      [&](const Failure& failure) {
        answer.failure = failure;
        answer.may_have_been_sent = failure.code != ResultCode::kConnectionFailed;
        return false;
      });
  return answer;
}

EndpointAnswer PlainEndpointClient::Call(const HttpClient& client,
                                         const AdmittedAttempt& admitted) const {
  EndpointAnswer answer;
  const auto begin = std::chrono::steady_clock::now();
  HandleFailure(
      [&]() -> Result<bool> {
        HttpRequest request;
        request.method = admitted.start.method;
        request.path = admitted.start.path;
        request.headers = admitted.start.headers;
        request.body = admitted.start.body;
        BOOST_LEAF_AUTO(stream, client.Open(request, RemainingTime(admitted)));
        answer.may_have_been_sent = true;
        BOOST_LEAF_AUTO(body, stream->ReadAll(kMaxPlainBodyBytes));
        answer.status = stream->status();
        answer.first_token = ElapsedSince(begin);
        const std::string type(FindHeader(stream->headers(), "Content-Type"));
        AppendHead(admitted, answer.status, {{"Content-Type", type}});
        for (std::size_t at = 0; at < body.size(); at += kPlainChunkBytes) {
          AppendChunk(admitted, answer, body.substr(at, kPlainChunkBytes));
        }
        answer.body = std::move(body);
        answer.ok = true;
        return true;
      },
      [&](const Failure& failure) {
        answer.failure = failure;
        answer.may_have_been_sent = failure.code != ResultCode::kConnectionFailed;
        return false;
      });
  return answer;
}

}  // namespace bamboodock
