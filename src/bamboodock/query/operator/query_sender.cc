#include "bamboodock/query/operator/query_sender.h"

#include <optional>

#include "bamboodock/codec/operator_codec.h"

namespace bamboodock {
namespace {

constexpr int kHttpOk = 200;

}  // namespace

ExitCode QueryExitCode(ResultCode code) {
  if (code == ResultCode::kConnectionFailed) return ExitCode::kUnreachable;
  if (code == ResultCode::kBadSetting) return ExitCode::kUsageError;
  return ExitCode::kRefused;
}

Result<std::string> QuerySender::Get(const std::string& path, const std::string& query) {
  if (entries_.empty()) {
    return Raise(ResultCode::kBadSetting,
                 "no entry given: set --entry=IP:PORT or BAMBOODOCK_ENTRY");
  }
  HttpRequest request;
  request.path = path;
  request.query = query;
  std::string last_failure;
  for (const Address& entry : entries_) {
    const auto response = HandleFailure(
        [&]() -> Result<std::optional<HttpResponse>> {
          BOOST_LEAF_AUTO(answer, client_.Call(entry, request));
          return std::optional(std::move(answer));
        },
        [&](const Failure& failure) {
          last_failure = failure.detail;
          return std::optional<HttpResponse>();
        });
    if (!response) continue;
    if (response->status == kHttpOk) return response->body;
    const OperatorError refusal = DecodeOperatorError(*response);
    // A refusal by an entry must not be taken for a failure of this program's own connection.
    const ResultCode code = ResultCodeFromName(refusal.type);
    return Raise(code == ResultCode::kConnectionFailed ? ResultCode::kEndpointFailed : code,
                 refusal.message + (refusal.type.empty() ? "" : " (" + refusal.type + ")"));
  }
  return Raise(ResultCode::kConnectionFailed, last_failure);
}

}  // namespace bamboodock
