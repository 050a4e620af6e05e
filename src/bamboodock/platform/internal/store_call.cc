#include "bamboodock/platform/internal/store_call.h"

namespace bamboodock::internal {
namespace {

boost::leaf::error_id Unavailable(const HttpResponse& response) {
  return Raise(ResultCode::kStoreUnavailable,
               "the platform answered with status " + std::to_string(response.status));
}

}  // namespace

Result<HttpResponse> StoreCall::Read(const std::string& path, const std::string& query) const {
  HttpRequest request;
  request.path = path;
  request.query = query;
  return boost::leaf::try_handle_some(
      [&]() -> Result<HttpResponse> {
        BOOST_LEAF_AUTO(response, http_.Call(request, timeout_));
        if (response.status >= 500) return Unavailable(response);
        return response;
      },
      [](const Failure& failure) -> Result<HttpResponse> {
        return Raise(ResultCode::kStoreUnavailable, failure.detail);
      });
}

Result<HttpResponse> StoreCall::Write(HttpRequest request) const {
  request.headers.push_back({"Content-Type", "application/json"});
  return boost::leaf::try_handle_some(
      [&]() -> Result<HttpResponse> {
        BOOST_LEAF_AUTO(response, http_.Call(request, timeout_));
        if (response.status == 503) return Unavailable(response);
        if (response.status >= 500) {
          return Raise(ResultCode::kStoreAnswerLost,
                       "the platform answered with status " + std::to_string(response.status),
                       RunState::kUnknown);
        }
        return response;
      },
      [](const Failure& failure) -> Result<HttpResponse> {
        if (failure.run == RunState::kNotRun) {
          return Raise(ResultCode::kStoreUnavailable, failure.detail);
        }
        return Raise(ResultCode::kStoreAnswerLost, failure.detail, RunState::kUnknown);
      });
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
