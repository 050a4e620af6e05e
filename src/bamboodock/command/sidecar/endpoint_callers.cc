#include <cmath>

#include "bamboodock/codec/chat_codec.h"
#include "bamboodock/command/sidecar/runner_pool.h"
#include "bamboodock/core/result.h"

namespace bamboodock {
namespace {

constexpr std::string_view kDataPrefix = "data: ";
constexpr std::string_view kDoneMark = "[DONE]";
constexpr Bytes kMaxCallBody{8U << 20U};
/// Chunk size in which a plain answer is passed on.
constexpr std::size_t kPlainChunk = 65536;

Duration Since(MonotonicTime begin) { return std::chrono::steady_clock::now() - begin; }

void AppendHead(const Work& work, int status, std::vector<HttpHeader> headers) {
  work.log->Append(EncodeMessage(SidecarMessage(HeadMessage{status, std::move(headers)})));
}

void AppendChunk(const Work& work, EndpointAnswer& answer, std::string data) {
  const ChunkMessage chunk{answer.chunks, std::move(data)};
  if (work.log->Append(EncodeMessage(SidecarMessage(chunk)))) answer.chunks = answer.chunks.Next();
}

Duration Budget(const Work& work) {
  return std::max<Duration>(work.start.deadline - std::chrono::steady_clock::now(),
                            std::chrono::milliseconds(1));
}

/// Collects the events of one engine stream.
class ChatStreamReader {
 public:
  ChatStreamReader(const Work& work, EndpointAnswer& answer, MonotonicTime begin)
      : work_(work), answer_(answer), begin_(begin) {
    HandleFailure(
        [&]() -> Result<bool> {
          BOOST_LEAF_AUTO(request, ParseChatRequest(work.start.body));
          keep_logprobs_ = request.logprobs;
          return true;
        },
        [](const Failure& /*failure*/) { return false; });
  }

  /// Reads until the end mark; false when the stream ended before it.
  bool Read(HttpStream& stream) {
    std::string line;
    while (stream.ReadLine(line)) {
      if (work_.log->cancelled()) {
        answer_.cancelled = true;
        return false;
      }
      if (!line.empty() && line.back() == '\r') line.pop_back();
      if (line.rfind(kDataPrefix, 0) != 0) continue;
      const std::string_view data(line.data() + kDataPrefix.size(),
                                  line.size() - kDataPrefix.size());
      if (data == kDoneMark) return true;
      if (!Take(data)) return false;
    }
    return false;
  }

  void Summarize() {
    if (probabilities_ > 0) {
      answer_.confidence = Ratio(std::exp(logprob_sum_ / static_cast<double>(probabilities_)));
    }
    if (answer_.completion == Tokens(0)) answer_.completion = contents_;
  }

 private:
  bool Take(std::string_view data) {
    return HandleFailure(
        [&]() -> Result<bool> {
          BOOST_LEAF_AUTO(event, ParseChatEvent(data, keep_logprobs_));
          if (answer_.first_token == Duration::zero()) answer_.first_token = Since(begin_);
          if (!event.content.empty()) contents_ = contents_.Next();
          if (event.logprob) {
            logprob_sum_ += *event.logprob;
            ++probabilities_;
          }
          if (event.prompt) answer_.prompt = *event.prompt;
          if (event.completion) answer_.completion = *event.completion;
          AppendChunk(work_, answer_, std::move(event.text));
          return true;
        },
        [&](const Failure& failure) {
          answer_.failure = failure;
          return false;
        });
  }

  const Work& work_;
  EndpointAnswer& answer_;
  MonotonicTime begin_;
  bool keep_logprobs_ = false;
  double logprob_sum_ = 0;
  std::size_t probabilities_ = 0;
  Tokens contents_;
};

HttpRequest ChatHttpRequest(const Work& work) {
  HttpRequest request;
  request.method = "POST";
  request.path = "/v1/chat/completions";
  request.headers = work.start.headers;
  request.headers.push_back({"Content-Type", "application/json"});
  request.headers.push_back({"X-Priority", std::to_string(work.start.priority)});
  request.body = EngineBody(work.start.body, work.start.version.value());
  return request;
}

}  // namespace

EndpointAnswer ChatCaller::Call(const HttpClient& client, const Work& work) const {
  EndpointAnswer answer;
  const auto begin = std::chrono::steady_clock::now();
  answer.failure = {ResultCode::kEndpointFailed, "the engine ended the answer early",
                    RunState::kRan};
  HandleFailure(
      [&]() -> Result<bool> {
        BOOST_LEAF_AUTO(stream, client.Open(ChatHttpRequest(work), Budget(work)));
        answer.sent = true;
        answer.status = stream->status();
        if (answer.status != 200) {
          const std::string detail = "the engine answered " + std::to_string(answer.status);
          answer.failure = {ResultCode::kEndpointFailed, detail, RunState::kNotRun};
          return false;
        }
        AppendHead(work, answer.status, {});
        ChatStreamReader reader(work, answer, begin);
        answer.ok = reader.Read(*stream);
        reader.Summarize();
        return answer.ok;
      },
      [&](const Failure& failure) {
        answer.failure = failure;
        answer.sent = failure.code != ResultCode::kConnectionFailed;
        return false;
      });
  return answer;
}

EndpointAnswer PlainCaller::Call(const HttpClient& client, const Work& work) const {
  EndpointAnswer answer;
  const auto begin = std::chrono::steady_clock::now();
  HandleFailure(
      [&]() -> Result<bool> {
        HttpRequest request;
        request.method = work.start.method;
        request.path = work.start.path;
        request.headers = work.start.headers;
        request.body = work.start.body;
        BOOST_LEAF_AUTO(stream, client.Open(request, Budget(work)));
        answer.sent = true;
        BOOST_LEAF_AUTO(body, stream->ReadAll(kMaxCallBody));
        answer.status = stream->status();
        answer.first_token = Since(begin);
        const std::string type(FindHeader(stream->headers(), "Content-Type"));
        AppendHead(work, answer.status, {{"Content-Type", type}});
        for (std::size_t at = 0; at < body.size(); at += kPlainChunk) {
          AppendChunk(work, answer, body.substr(at, kPlainChunk));
        }
        answer.body = std::move(body);
        answer.ok = true;
        return true;
      },
      [&](const Failure& failure) {
        answer.failure = failure;
        answer.sent = failure.code != ResultCode::kConnectionFailed;
        return false;
      });
  return answer;
}

}  // namespace bamboodock
