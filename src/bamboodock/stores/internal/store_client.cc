#include "bamboodock/stores/internal/store_client.h"

namespace bamboodock::internal {
namespace {

constexpr int kStatusServerError = 500;
constexpr int kStatusUnavailable = 503;

Failure UnavailableFailure(const HttpResponse& response) {
  return {ResultCode::kStoreUnavailable,
          "the platform service answered with status " + std::to_string(response.status),
          RunState::kNotRun,
          {}};
}

}  // namespace

Result<HttpResponse> StoreClient::Read(const std::string& path, const std::string& query) const {
  HttpRequest request;
  request.path = path;
  request.query = query;
  HttpResponse response;
  const Failure failure = Exchange(request, response);
  if (failure.code != ResultCode::kOk) {
    return Raise(ResultCode::kStoreUnavailable, failure.detail);
  }
  if (response.status >= kStatusServerError) return Raise(UnavailableFailure(response));
  return response;
}

Result<HttpResponse> StoreClient::Write(HttpRequest request) const {
  request.headers.push_back({"Content-Type", "application/json"});
  HttpResponse response;
  Failure failure = Exchange(request, response);
  if (failure.code == ResultCode::kOk) {
    if (response.status < kStatusServerError) return response;
    failure = UnavailableFailure(response);
    if (response.status != kStatusUnavailable) failure.run = RunState::kUnknown;
  }
  failure.code = failure.run == RunState::kNotRun ? ResultCode::kStoreUnavailable
                                                  : ResultCode::kStoreAnswerLost;
  return Raise(std::move(failure));
}

Failure StoreClient::Exchange(const HttpRequest& request, HttpResponse& response) const {
  return HandleFailure(
      [&]() -> Result<Failure> {
        BOOST_LEAF_ASSIGN(response, http_.Call(request, timeout_));
        return Failure{ResultCode::kOk, {}, RunState::kRan, {}};
      },
      [](const Failure& failure) { return failure; });
}

Result<std::string> StoreClient::Encode(const nlohmann::json& document) {
  try {
    return document.dump();
  } catch (const nlohmann::json::exception& error) {
    return Raise(ResultCode::kBadRequest, error.what());
  }
}

nlohmann::json StoreClient::Parse(const HttpResponse& response) {
  nlohmann::json document = nlohmann::json::parse(response.body, nullptr, false);
  if (document.is_discarded()) return nullptr;
  return document;
}

}  // namespace bamboodock::internal
