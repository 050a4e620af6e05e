#pragma once

#include "bamboodock/command/entry/request_run.h"
#include "bamboodock/transport/http_server.h"

namespace bamboodock {

/// Forwards calls of plain services: `/services/<service>/<path>`.
class CallCommand {
 public:
  explicit CallCommand(RequestContext& context) : context_(context) {}

  void Handle(const HttpRequest& request, ResponseWriter& writer);

 private:
  Result<bool> Run(const HttpRequest& request, ResponseWriter& writer);
  Result<StepInput> StepInputFor(const HttpRequest& request, const ClientAccountId& account) const;

  RequestContext& context_;
};

/// Path prefix of calls of plain services.
inline constexpr std::string_view kServicesPrefix = "/services/";

}  // namespace bamboodock
