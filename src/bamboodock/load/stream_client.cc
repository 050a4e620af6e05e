#include "bamboodock/load/stream_client.h"

#include <nlohmann/json.hpp>

#include "bamboodock/transport/http_client.h"

namespace bamboodock::load {
namespace {

constexpr std::chrono::seconds kTimeout{60};
constexpr std::string_view kDataPrefix = "data: ";
constexpr std::string_view kDoneMarker = "data: [DONE]";

HttpRequest MakeRequest(const StreamSettings& settings, std::uint64_t ordinal) {
  using Json = nlohmann::json;
  const std::string prompt =
      "lot " + std::to_string(settings.first_prompt + ordinal) + " of the morning auction";
  HttpRequest request;
  request.method = "POST";
  request.path = "/v1/chat/completions";
  request.headers = {{"Content-Type", "application/json"},
                     {"Authorization", "Bearer " + settings.api_key}};
  request.body = Json{{"model", settings.model},
                      {"stream", true},
                      {"max_tokens", settings.tokens},
                      {"messages", Json::array({{{"role", "user"}, {"content", prompt}}})}}
                     .dump();
  return request;
}

}  // namespace

StreamSample RunStream(const StreamSettings& settings, std::uint64_t ordinal) {
  const auto begin = std::chrono::steady_clock::now();
  const auto elapsed = [&] { return std::chrono::steady_clock::now() - begin; };
  return HandleFailure(
      [&]() -> Result<StreamSample> {
        StreamSample sample;
        BOOST_LEAF_AUTO(stream,
                        HttpClient(settings.target).Open(MakeRequest(settings, ordinal), kTimeout));
        std::string line;
        while (stream->status() == 200 && !sample.complete && stream->ReadLine(line)) {
          if (line.rfind(kDataPrefix, 0) != 0) continue;
          if (sample.events == 0) sample.first_event = elapsed();
          ++sample.events;
          sample.complete = line.rfind(kDoneMarker, 0) == 0;
        }
        sample.total = elapsed();
        return sample;
      },
      [](const Failure& /*failure*/) { return StreamSample{}; });
}

}  // namespace bamboodock::load
