#include "process/support/http.h"

#include <sstream>
#include <utility>

namespace bamboodock::process_test {
namespace {

constexpr std::chrono::milliseconds kPollInterval{20};

}  // namespace

std::string Reply::Header(std::string_view name) const {
  return std::string(FindHeader(headers, name));
}

nlohmann::json Reply::Json() const { return nlohmann::json::parse(body, nullptr, false); }

std::string Reply::ErrorType() const {
  const nlohmann::json json = Json();
  if (!json.is_object() || !json.contains("error")) return "";
  return json["error"].value("type", "");
}

Reply Send(const Address& peer, HttpRequest request) {
  return HandleFailure(
      [&]() -> Result<Reply> {
        BOOST_LEAF_AUTO(response, HttpClient(peer).Call(request, kWaitTimeout));
        return Reply{response.status, response.headers, response.body};
      },
      [](const Failure& /*failure*/) { return Reply{}; });
}

Reply Get(const Address& peer, const std::string& path, const std::string& query) {
  HttpRequest request;
  request.path = path;
  request.query = query;
  return Send(peer, std::move(request));
}

Reply Post(const Address& peer, const std::string& path, const nlohmann::json& body,
           std::vector<HttpHeader> headers) {
  HttpRequest request;
  request.method = "POST";
  request.path = path;
  request.headers = std::move(headers);
  request.headers.push_back({"Content-Type", "application/json"});
  request.body = body.dump();
  return Send(peer, std::move(request));
}

bool WaitFor(const std::function<bool()>& condition, Duration timeout) {
  const auto deadline = std::chrono::steady_clock::now() + timeout;
  while (!condition()) {
    if (std::chrono::steady_clock::now() >= deadline) return false;
    std::this_thread::sleep_for(kPollInterval);
  }
  return true;
}

nlohmann::json ChatBody(const std::string& model, const std::string& prompt, Tokens length,
                        bool stream) {
  return {{"model", model},
          {"stream", stream},
          {"max_tokens", length.value()},
          {"messages", {{{"role", "user"}, {"content", prompt}}}}};
}

StreamedAnswer ReadStream(const std::string& body) {
  constexpr std::string_view kPrefix = "data: ";
  StreamedAnswer answer;
  std::istringstream lines(body);
  std::string line;
  while (std::getline(lines, line)) {
    if (!line.starts_with(kPrefix)) continue;
    const std::string data = line.substr(kPrefix.size());
    if (data == "[DONE]") {
      answer.done = true;
      continue;
    }
    const nlohmann::json event = nlohmann::json::parse(data, nullptr, false);
    if (!event.is_object()) continue;
    if (event.contains("error")) answer.error = event["error"].value("type", "");
    if (!event.contains("choices") || event["choices"].empty()) continue;
    const nlohmann::json& delta = event["choices"][0]["delta"];
    if (!delta.contains("content")) continue;
    answer.text += delta["content"].get<std::string>();
    ++answer.chunks;
  }
  return answer;
}

OpenRequest::OpenRequest(const Address& peer, HttpRequest request)
    : thread_([this, peer, request = std::move(request)] { reply_ = Send(peer, request); }) {}

const Reply& OpenRequest::reply() {
  if (thread_.joinable()) thread_.join();
  return reply_;
}

OpenRequest::~OpenRequest() { reply(); }

}  // namespace bamboodock::process_test
