#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <mutex>
#include <string>
#include <utility>

#include "bamboodock/command/router/network_duty.h"
#include "bamboodock/command/router/planning_duty.h"
#include "bamboodock/core/boot_clock.h"
#include "fakes/shared_event_log.h"
#include "platform/http_wire_protocol.h"

namespace bamboodock {

/// Network and planning duties of a router on loopback. Callers and endpoints use real sockets; the
/// test plays the store, which is silent unless the test registers something.
class LoopbackRouter {
 public:
  /// @param route Its host is h.example, its prefix /a/, and its service s1.
  explicit LoopbackRouter(Route route)
      : planning_(
            RouteState({HostId("h1"), IncarnationId("i1"), AvailabilityZoneId("z1")},
                       RouterLimits(), clock_, Random(1), log_),
            {[this](PlannedAttempt planned) { return network_.Post(std::move(planned)); },
             [](const RolloutProgress&) { return true; }, [](const PeerReport&) { return true; },
             [](const PromptEvidenceReport&) { return true; },
             [](const RateLimitReport&) { return true; },
             [](MonotonicTime, StoreEra) { return true; }},
            log_),
        network_({"127.0.0.1", 0}, {"127.0.0.1", 0},
                 {wire_, clock_, log_, counters_, ModelChoice({60}), AnswerLimits(),
                  [this](RouteCommand command) { return planning_.Post(std::move(command)); },
                  [this] { return planning_.status(); }}) {
    planning_.Start();
    network_.Start();
    Install(std::move(route));
  }
  ~LoopbackRouter() {
    network_.Stop();
    planning_.Stop();
  }

  void Register(const std::string& id, const Address& address, StartTime started = StartTime(1)) {
    EndpointRecord record;
    record.id = EndpointId(id);
    record.service = ServiceId("s1");
    record.address = address;
    record.availability_zone = AvailabilityZoneId("z1");
    record.version = VersionId("v1");
    record.slots = Concurrency(8);
    record.started = started;
    Apply(EndpointDelta{{record}, {}});
  }
  void Unregister(const std::string& id) { Apply(EndpointDelta{{}, {EndpointId(id)}}); }
  void Apply(RouteCommand command) { planning_.Post(std::move(command)); }

  /// Sends a request on a new connection and returns all bytes of its answer.
  /// @param headers Further header lines, each with its line end.
  std::string Request(const std::string& attempt, const std::string& headers = "") {
    boost::asio::ip::tcp::socket socket(loop_);
    socket.connect({boost::asio::ip::make_address("127.0.0.1"), network_.caller_port()});
    const std::string bytes =
        "POST /a/1 HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\nX-Bamboodock-Attempt-Id: " +
        attempt + "\r\n" + headers + "Content-Length: 4\r\n\r\nbody";
    boost::system::error_code error;
    boost::asio::write(socket, boost::asio::buffer(bytes), error);
    std::string answer;
    boost::asio::read(socket, boost::asio::dynamic_buffer(answer), error);
    return answer;
  }

  const SharedEventLog& log() const { return log_; }
  const RouterCounters& counters() const { return counters_; }

 private:
  void Install(Route route) {
    route.id = RouteId("r1");
    route.host = "h.example";
    route.prefix = "/a/";
    route.services = {{ServiceId("s1"), 1}};
    RoutedService service;
    service.id = ServiceId("s1");
    RouteTableBuilder builder;
    builder.Version(ConfigVersion(1)).Add(route).Add(service);
    OperatorDelta delta;
    delta.rows.emplace_back();
    delta.rows.back().config = builder.Build();
    delta.covered_until = clock_.Now();
    Apply(delta);
    Apply(RouterDelta{});
  }

  platform::HttpWireProtocol wire_;
  BootClock clock_;
  SharedEventLog log_;
  RouterCounters counters_;
  boost::asio::io_context loop_;
  PlanningDuty planning_;
  NetworkDuty network_;
};

}  // namespace bamboodock
