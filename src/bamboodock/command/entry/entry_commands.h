#pragma once

#include "bamboodock/command/entry/publisher.h"
#include "bamboodock/command/entry/route_duty.h"
#include "bamboodock/transport/http_types.h"

namespace bamboodock {

/// HTTP commands of operators: `POST /commands/<name>`.
class EntryCommands {
 public:
  EntryCommands(Publisher& publisher, const RouteDuty& routes)
      : publisher_(publisher), routes_(routes) {}

  /// Executes a command; responds 404 to an unknown path and 405 to a method other than POST.
  HttpResponse Answer(const HttpRequest& request);

 private:
  Result<HttpResponse> Publish(const HttpRequest& request);
  Result<HttpResponse> Drain(const HttpRequest& request);
  Result<HttpResponse> Restore(const HttpRequest& request);
  Result<HttpResponse> Withdraw(const HttpRequest& request);

  Result<HttpResponse> SetDrained(const HttpRequest& request, bool drained);
  HttpResponse Report(const PublicationId& publication, PublishOutcome outcome) const;
  /// Waits up to 3 s until all sidecars that have reported are at the epoch, then adds the last
  /// epoch of each.
  void AddSidecarEpochs(PublishOutcome& outcome) const;

  Publisher& publisher_;
  const RouteDuty& routes_;
};

}  // namespace bamboodock
