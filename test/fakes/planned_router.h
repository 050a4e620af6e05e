#pragma once

#include <atomic>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <deque>
#include <optional>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include "bamboodock/command/router/network_duty.h"
#include "bamboodock/core/boot_clock.h"
#include "fakes/null_event_log.h"
#include "fakes/scripted_server.h"
#include "platform/http_wire_protocol.h"

namespace bamboodock {

inline constexpr const char* kAnswerHeaders =
    "X-Bamboodock-Attempt-Id: a1\r\nX-Bamboodock-Response-Stamp: s\r\n";

inline std::string FullAnswer(const std::string& status, const std::string& headers,
                              const std::string& body) {
  return "HTTP/1.1 " + status + "\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline std::string Chunk(const std::string& text) {
  std::ostringstream chunk;
  chunk << std::hex << text.size() << "\r\n" << text << "\r\n";
  return chunk.str();
}

inline std::string StreamHead(int confidence) {
  return "HTTP/1.1 200 OK\r\n" + std::string(kAnswerHeaders) +
         "Content-Type: text/event-stream\r\nX-Bamboodock-Confidence: " +
         std::to_string(confidence) + "\r\nTransfer-Encoding: chunked\r\n\r\n";
}

inline std::string StreamEvent(int id) {
  return "id: " + std::to_string(id) + "\ndata: e" + std::to_string(id) + "\n\n";
}

/// Returns all bytes received until the peer closes the connection.
inline std::string ReadToEnd(boost::asio::ip::tcp::socket& socket) {
  boost::system::error_code error;
  std::string answer;
  boost::asio::read(socket, boost::asio::dynamic_buffer(answer), error);
  return answer;
}

/// Network duty whose plans use the endpoints set by the test, one after another.
class PlannedRouter {
 public:
  explicit PlannedRouter(Route route, HostCapacity capacity = {})
      : network_({"127.0.0.1", 0}, {"127.0.0.1", 0}, Services(capacity)) {
    route_ = std::move(route);
    service_.id = ServiceId("s1");
    network_.Start();
  }
  ~PlannedRouter() { network_.Stop(); }

  NetworkDuty& network() { return network_; }
  const RouterCounters& counters() const { return counters_; }
  /// Number of requests of sessions whose end was reported.
  int session_ends() const { return session_ends_; }
  void Plan(const Address& endpoint) { endpoints_.push_back(endpoint); }
  /// Plans an attempt that must not be sent any more.
  void PlanExpired(const Address& endpoint) {
    valid_until_ = clock_.Now();
    Plan(endpoint);
  }
  std::vector<PlanReason> reasons;

  /// Sends bytes on a new connection and returns all bytes received until it closes.
  std::string Exchange(const std::string& bytes) {
    boost::asio::ip::tcp::socket socket = Connect();
    boost::system::error_code error;
    boost::asio::write(socket, boost::asio::buffer(bytes), error);
    return ReadToEnd(socket);
  }

  /// @param receive_buffer Size of the caller's receive buffer in bytes; the default of the system
  /// when empty.
  boost::asio::ip::tcp::socket Connect(std::optional<int> receive_buffer = std::nullopt) {
    boost::asio::ip::tcp::socket socket(loop_, boost::asio::ip::tcp::v4());
    if (receive_buffer) {
      socket.set_option(boost::asio::socket_base::receive_buffer_size(*receive_buffer));
    }
    socket.connect({boost::asio::ip::make_address("127.0.0.1"), network_.caller_port()});
    return socket;
  }

 private:
  NetworkServices Services(HostCapacity capacity) {
    return {wire_,
            clock_,
            log_,
            counters_,
            ModelChoice({60}),
            AnswerLimits(),
            [this](RouteCommand command) { return Receive(std::move(command)); },
            [] { return Ref<const RouterStatus>(MakeRef<RouterStatus>()); },
            capacity};
  }

  bool Receive(RouteCommand command) {
    if (std::holds_alternative<SessionRequestEnd>(command)) ++session_ends_;
    auto* query = std::get_if<PlanQuery>(&command);
    if (query == nullptr) return true;
    reasons.push_back(query->reason);
    PlanAnswer answer;
    answer.refusal = {
        ResultCode::kNoEndpoint, "no endpoint set by the test", RunState::kNotRun, {}};
    if (!endpoints_.empty()) answer.plan = MakePlan(*query);
    return network_.Post({query->receiver, std::move(answer)});
  }

  AttemptPlan MakePlan(const PlanQuery& query) {
    AttemptPlan plan;
    plan.progress.route = &route_;
    plan.progress.service = &service_;
    plan.progress.account = ClientAccountId("acct");
    plan.endpoint = EndpointId("i-" + std::to_string(reasons.size()));
    plan.address = endpoints_.front();
    endpoints_.pop_front();
    if (!route_.models.empty()) {
      plan.model = query.model.empty() ? route_.models.front() : query.model;
      if (query.reason == PlanReason::kNextModel) plan.model = route_.models.back();
    }
    plan.progress.model = plan.model;
    plan.valid_until = valid_until_;
    return plan;
  }

  Route route_;
  RoutedService service_;
  std::deque<Address> endpoints_;
  MonotonicTime valid_until_ = MonotonicTime::max();
  platform::HttpWireProtocol wire_;
  BootClock clock_;
  NullEventLog log_;
  RouterCounters counters_;
  std::atomic<int> session_ends_{0};
  NetworkDuty network_;
  boost::asio::io_context loop_;
};

inline Route MakeRoute(RouteKind kind, bool resumable = false) {
  Route route;
  route.kind = kind;
  route.resumable = resumable;
  route.max_attempts = 3;
  route.timeout = std::chrono::seconds(5);
  route.latency_objective = std::chrono::seconds(2);
  route.interval_objective = std::chrono::seconds(2);
  return route;
}

inline std::string PostRequest(const std::string& extra = "") {
  return "POST /a/1?q=2 HTTP/1.1\r\nHost: h.example\r\nX-Bamboodock-Attempt-Id: a1\r\n"
         "X-Api-Key: secret\r\nX-Bamboodock-Tenant: forged\r\nConnection: close\r\n" +
         extra + "Content-Length: 4\r\n\r\nbody";
}

inline bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

}  // namespace bamboodock
