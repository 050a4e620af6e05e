#pragma once

#include <atomic>
#include <string>
#include <vector>

#include "bamboodock/command/config/config_duty.h"
#include "bamboodock/command/entry/route_duty.h"
#include "bamboodock/command/ledger/ledger_duty.h"
#include "bamboodock/observe/timeline.h"
#include "bamboodock/transport/http_types.h"

namespace bamboodock {

/// Read-only HTTP routes of an entry.
class EntryQueries {
 public:
  struct Parts {
    std::string process;
    const ConfigDuty& config;
    const RouteDuty& routes;
    const LedgerDuty& ledger;
    const TimelineDuty& timeline;
    /// Addresses of the operator ports of the other entries; used for the merged timeline.
    std::vector<Address> peers;
  };

  explicit EntryQueries(Parts parts) : parts_(std::move(parts)) {}

  /// Answers a query of a caller or an operator; responds 404 to an unknown path.
  HttpResponse Answer(const HttpRequest& request) const;

  /// Makes `/readyz` fail from now on, so that the load balancer sends no new callers.
  void SetStopping() { stopping_ = true; }
  bool stopping() const { return stopping_; }

 private:
  HttpResponse Health(const HttpRequest& request) const;
  HttpResponse Ready(const HttpRequest& request) const;
  HttpResponse Metrics(const HttpRequest& request) const;
  HttpResponse Status(const HttpRequest& request) const;
  HttpResponse Set(const HttpRequest& request) const;
  HttpResponse LocalTimeline(const HttpRequest& request) const;
  HttpResponse MergedTimeline(const HttpRequest& request) const;
  HttpResponse Models(const HttpRequest& request) const;

  Parts parts_;
  std::atomic<bool> stopping_{false};
};

}  // namespace bamboodock
