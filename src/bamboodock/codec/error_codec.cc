#include "bamboodock/codec/error_codec.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>

namespace bamboodock {
namespace {

constexpr std::array kStatusesWithRetry{429, 503};

}  // namespace

std::string FailureBody(const Failure& failure) {
  using Json = nlohmann::json;
  return Json{{"error",
               {{"message", failure.detail},
                {"type", Name(failure.code)},
                {"code", static_cast<int>(failure.code)},
                {"run", Name(failure.run)}}}}
      .dump(-1, ' ', false, Json::error_handler_t::replace);
}

HttpResponse FailureResponse(const Failure& failure) {
  HttpResponse response;
  response.status = HttpStatus(failure.code);
  response.headers = {{"Content-Type", "application/json"},
                      {"X-Bamboodock-Run", std::string(Name(failure.run))}};
  const bool retry = std::find(kStatusesWithRetry.begin(), kStatusesWithRetry.end(),
                               response.status) != kStatusesWithRetry.end();
  if (retry) {
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(failure.retry_after);
    response.headers.push_back(
        {"Retry-After", std::to_string(std::max<std::int64_t>(1, seconds.count()))});
  }
  response.body = FailureBody(failure);
  return response;
}

}  // namespace bamboodock
