#pragma once

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "bamboodock/command/router/route_state.h"
#include "fakes/fake_clock.h"
#include "fakes/null_event_log.h"

namespace bamboodock {

/// Entries that plan requests for the same endpoints, on simulated time. Endpoints answer after a
/// fixed time and may name a rate limit; reports between entries may be late or lost.
class EntryFleet {
 public:
  struct Settings {
    std::size_t entries = 5;
    std::size_t endpoints = 12;
    /// Requests per second at all entries together.
    double request_rate = 40;
    std::chrono::milliseconds report_delay{5};
    double report_loss = 0;
    /// Time after which the others read the row of a new entry.
    std::chrono::milliseconds row_delay{1000};
  };

  explicit EntryFleet(const Settings& settings) : settings_(settings) {
    endpoints_.resize(settings.endpoints);
    for (std::size_t i = 0; i < settings.entries; ++i) AddEntry();
    for (auto& entry : entries_) entry->state->Apply(Rows());
  }

  /// Makes an endpoint name a rate limit from now on, or none.
  void SetLimit(std::size_t endpoint, std::optional<RequestRate> limit) {
    endpoints_.at(endpoint).limit = limit;
  }
  /// Adds an entry, which knows the others at once.
  void Join() {
    AddEntry();
    entries_.back()->state->Apply(Rows());
    At(settings_.row_delay, [this] {
      for (auto& entry : entries_) entry->state->Apply(Rows());
    });
  }
  /// The entry forgets everything but what the store holds.
  void Restart(std::size_t index) {
    Entry& entry = *entries_.at(index);
    entry.state = MakeState(entry.host);
    entry.told_at.clear();
    entry.state->Apply(Rows());
  }
  void Stop(std::size_t index) { entries_.at(index)->running = false; }

  void Run(std::chrono::milliseconds time) {
    for (MonotonicTime end = clock_.Now() + time; clock_.Now() < end; clock_.Advance(kStep)) {
      while (!actions_.empty() && actions_.begin()->first <= clock_.Now()) {
        const auto action = std::move(actions_.begin()->second);
        actions_.erase(actions_.begin());
        action();
      }
      if (clock_.Now() >= next_report_) ExchangeReports();
      const double step = std::chrono::duration<double>(kStep).count();
      for (due_requests_ += settings_.request_rate * step; due_requests_ >= 1; --due_requests_) {
        Send(*entries_.at(random_.Below(entries_.size())));
      }
    }
  }

  MonotonicTime now() const { return clock_.Now(); }
  /// Largest number of requests that the endpoint got in 4 s that began at `from` or later, from
  /// entries to which it had named its limit half a second before or earlier.
  std::size_t MaxArrivals(std::size_t endpoint, MonotonicTime from) const {
    std::deque<MonotonicTime> window;
    std::size_t most = 0;
    for (const Arrival& arrival : endpoints_.at(endpoint).arrivals) {
      if (arrival.at < from || !arrival.told) continue;
      window.push_back(arrival.at);
      while (arrival.at - window.front() >= std::chrono::seconds(4)) window.pop_front();
      most = std::max(most, window.size());
    }
    return most;
  }
  /// Requests per second that the endpoint has got since `from`.
  double ArrivalRate(std::size_t endpoint, MonotonicTime from) const {
    const auto& arrivals = endpoints_.at(endpoint).arrivals;
    const auto count = std::count_if(arrivals.begin(), arrivals.end(),
                                     [&](const Arrival& arrival) { return arrival.at >= from; });
    return static_cast<double>(count) / std::chrono::duration<double>(clock_.Now() - from).count();
  }
  std::size_t refused() const { return refused_; }
  /// Retry-After of the last refused request.
  Duration retry_after() const { return retry_after_; }

 private:
  static constexpr std::chrono::milliseconds kStep{10};
  static constexpr std::chrono::milliseconds kAnswerTime{50};
  static constexpr std::chrono::milliseconds kReportInterval{250};
  static constexpr std::chrono::milliseconds kToldDelay{500};
  static constexpr std::size_t kReceivers = 16;

  struct Arrival {
    MonotonicTime at;
    bool told = false;
  };
  struct Endpoint {
    std::optional<RequestRate> limit;
    std::vector<Arrival> arrivals;
  };
  struct Entry {
    HostId host;
    std::unique_ptr<RouteState> state;
    bool running = true;
    /// When the endpoints first named a limit to this entry.
    std::map<std::size_t, MonotonicTime> told_at;
    std::size_t next_receiver = 0;
  };

  void At(Duration delay, std::function<void()> action) {
    actions_.emplace(clock_.Now() + delay, std::move(action));
  }

  static EndpointId Id(std::size_t endpoint) { return EndpointId("e" + std::to_string(endpoint)); }

  void AddEntry() {
    auto entry = std::make_unique<Entry>();
    entry->host = HostId("h" + std::to_string(entries_.size()));
    entry->state = MakeState(entry->host);
    entry->next_receiver = entries_.size();
    entries_.push_back(std::move(entry));
  }

  std::unique_ptr<RouteState> MakeState(const HostId& host) {
    const IncarnationId incarnation(host.value() + "-" + std::to_string(++incarnations_));
    auto state =
        std::make_unique<RouteState>(RouterIdentity{host, incarnation, AvailabilityZoneId("z1")},
                                     RouterLimits(), clock_, Random(incarnations_), log_);
    state->Apply(Config());
    EndpointDelta delta;
    for (std::size_t i = 0; i < endpoints_.size(); ++i) {
      EndpointRecord record;
      record.id = Id(i);
      record.service = ServiceId("s1");
      record.address = {"10.0.0.1", static_cast<std::uint16_t>(1000 + i)};
      record.availability_zone = AvailabilityZoneId("z1");
      record.version = VersionId("v1");
      record.slots = Concurrency(64);
      record.started = StartTime(1);
      delta.changed.push_back(record);
    }
    state->Apply(delta);
    return state;
  }

  OperatorDelta Config() const {
    Route route;
    route.id = RouteId("r1");
    route.host = "h.example";
    route.prefix = "/a/";
    route.kind = RouteKind::kSafe;
    route.max_attempts = 3;
    route.services = {{ServiceId("s1"), 1}};
    RoutedService service;
    service.id = ServiceId("s1");
    RouteTableBuilder builder;
    builder.Version(ConfigVersion(1)).Add(route).Add(service);
    OperatorDelta delta;
    delta.rows.emplace_back();
    delta.rows.back().config = builder.Build();
    delta.covered_until = clock_.Now();
    delta.store_offset = Duration::zero();
    return delta;
  }

  RouterDelta Rows() const {
    RouterDelta delta;
    for (const auto& entry : entries_) delta.peers.push_back({entry->host, {"127.0.0.1", 9}});
    return delta;
  }

  void Send(Entry& entry) {
    if (!entry.running) return;
    auto request = MakeRef<CallerRequest>();
    request->host = "h.example";
    request->target = "/a/1";
    request->metadata.attempt = AttemptId("a" + std::to_string(++requests_));
    PlanQuery query;
    query.request = request;
    const PlanAnswer answer = entry.state->Plan(query);
    if (!answer.plan) {
      ++refused_;
      retry_after_ = answer.refusal.retry_after;
      return;
    }
    const auto index =
        static_cast<std::size_t>(std::stoul(answer.plan->endpoint.value().substr(1)));
    const auto told = entry.told_at.find(index);
    const bool counts = told != entry.told_at.end() && clock_.Now() - told->second >= kToldDelay;
    endpoints_.at(index).arrivals.push_back({clock_.Now(), counts});
    At(kAnswerTime, [this, &entry, plan = *answer.plan, index] { Answer(entry, plan, index); });
  }

  void Answer(Entry& entry, const AttemptPlan& plan, std::size_t index) {
    const std::optional<RequestRate> limit = endpoints_.at(index).limit;
    if (limit) entry.told_at.try_emplace(index, clock_.Now());
    HeadReport head;
    head.endpoint = plan.endpoint;
    head.started = plan.started;
    head.rate_limit = limit;
    head.success = true;
    head.sent_at = clock_.Now() - kAnswerTime;
    entry.state->Apply(head);
    AttemptReport report;
    report.endpoint = plan.endpoint;
    report.started = plan.started;
    report.service = ServiceId("s1");
    report.version = plan.version;
    report.head_latency = kAnswerTime;
    report.sent = true;
    entry.state->Apply(report);
  }

  void ExchangeReports() {
    next_report_ = clock_.Now() + kReportInterval;
    for (auto& entry : entries_) {
      if (!entry->running) continue;
      entry->state->Tick();
      Deliver(*entry, entry->state->MakeReport());
      if (const auto limits = entry->state->TakeRateLimits()) Deliver(*entry, *limits);
    }
  }

  template <class Report>
  void Deliver(Entry& sender, const Report& report) {
    const std::size_t receivers = std::min(kReceivers, entries_.size() - 1);
    for (std::size_t i = 0; i < receivers; ++i) {
      sender.next_receiver = (sender.next_receiver + 1) % entries_.size();
      Entry& receiver = *entries_.at(sender.next_receiver);
      if (&receiver == &sender || random_.Uniform() < settings_.report_loss) continue;
      At(settings_.report_delay, [&receiver, report] {
        if (receiver.running) receiver.state->Apply(report);
      });
    }
  }

  Settings settings_;
  FakeClock clock_;
  NullEventLog log_;
  Random random_{7};
  std::vector<Endpoint> endpoints_;
  std::vector<std::unique_ptr<Entry>> entries_;
  std::multimap<MonotonicTime, std::function<void()>> actions_;
  MonotonicTime next_report_{};
  double due_requests_ = 0;
  std::uint64_t incarnations_ = 0;
  std::uint64_t requests_ = 0;
  std::size_t refused_ = 0;
  Duration retry_after_{};
};

}  // namespace bamboodock
