#pragma once

#include "bamboodock/command/entry/request_context.h"
#include "bamboodock/transport/http_server.h"

namespace bamboodock {

/// Handles `GET /v1/requests/<handle>`: attaches the caller to an answer that any entry has
/// started.
class ReattachQuery {
 public:
  explicit ReattachQuery(RequestContext& context) : context_(context) {}

  void Handle(const HttpRequest& request, ResponseWriter& writer);

 private:
  Result<bool> Run(const HttpRequest& request, ResponseWriter& writer);
  void StreamAnswer(const RequestHandle& handle, const Address& peer, ResponseWriter& writer);
  void SendWholeAnswer(const RequestHandle& handle, const Address& peer, ResponseWriter& writer);

  RequestContext& context_;
};

inline constexpr std::string_view kRequestsPrefix = "/v1/requests/";

}  // namespace bamboodock
