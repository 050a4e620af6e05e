#include "bamboodock/stores/internal/store_call.h"

namespace bamboodock::internal {
namespace {

constexpr int kServerError = 500;
constexpr int kUnavailable = 503;

Failure Unavailable(const HttpResponse& response) {
  return {ResultCode::kStoreUnavailable,
          "the platform answered with status " + std::to_string(response.status),
          RunState::kNotRun,
          {}};
}

}  // namespace

Result<HttpResponse> StoreCall::Read(const std::string& path, const std::string& query) const {
  HttpRequest request;
  request.path = path;
  request.query = query;
  HttpResponse response;
  const Failure failure = Exchange(request, response);
  if (failure.code != ResultCode::kOk) {
    return Raise(ResultCode::kStoreUnavailable, failure.detail);
  }
  if (response.status >= kServerError) return Raise(Unavailable(response));
  return response;
}

Result<HttpResponse> StoreCall::Write(HttpRequest request) const {
  request.headers.push_back({"Content-Type", "application/json"});
  HttpResponse response;
  Failure failure = Exchange(request, response);
  if (failure.code == ResultCode::kOk) {
    if (response.status < kServerError) return response;
    failure = Unavailable(response);
    if (response.status != kUnavailable) failure.run = RunState::kUnknown;
  }
  failure.code = failure.run == RunState::kNotRun ? ResultCode::kStoreUnavailable
                                                  : ResultCode::kStoreAnswerLost;
  return Raise(std::move(failure));
}

Failure StoreCall::Exchange(const HttpRequest& request, HttpResponse& response) const {
  return HandleFailure(
      [&]() -> Result<Failure> {
        BOOST_LEAF_ASSIGN(response, http_.Call(request, timeout_));
        return Failure{ResultCode::kOk, {}, RunState::kRan, {}};
      },
      [](const Failure& failure) { return failure; });
}

Result<std::string> StoreCall::Encode(const nlohmann::json& document) {
  try {
    return document.dump();
  } catch (const nlohmann::json::exception& error) {
    return Raise(ResultCode::kBadRequest, error.what());
  }
}

nlohmann::json StoreCall::Parse(const HttpResponse& response) {
  nlohmann::json document = nlohmann::json::parse(response.body, nullptr, false);
  if (document.is_discarded()) return nullptr;
  return document;
}

}  // namespace bamboodock::internal
