#pragma once

#include <string>

#include "bamboodock/command/config/config_duty.h"
#include "bamboodock/command/sidecar/admission_duty.h"
#include "bamboodock/observe/timeline.h"
#include "bamboodock/transport/http_types.h"

namespace bamboodock {

/// Read-only HTTP routes of a sidecar.
class SidecarQueries {
 public:
  SidecarQueries(std::string process, const ConfigDuty& config, const AdmissionDuty& admission,
                 const TimelineDuty& timeline)
      : process_(std::move(process)), config_(config), admission_(admission), timeline_(timeline) {}

  /// Answers a query; status 404 when no route has the path of the request.
  HttpResponse Answer(const HttpRequest& request) const;

 private:
  HttpResponse Health(const HttpRequest& request) const;
  HttpResponse Ready(const HttpRequest& request) const;
  HttpResponse Metrics(const HttpRequest& request) const;
  HttpResponse Timeline(const HttpRequest& request) const;
  HttpResponse Status(const HttpRequest& request) const;

  std::string process_;
  const ConfigDuty& config_;
  const AdmissionDuty& admission_;
  const TimelineDuty& timeline_;
};

}  // namespace bamboodock
