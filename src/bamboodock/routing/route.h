#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "bamboodock/core/ids.h"
#include "bamboodock/core/units.h"

namespace bamboodock {

/// What a route's requests allow to be repeated.
enum class RouteKind : std::uint8_t { kSafe, kUnsafe, kStream };

/// Position in the order of urgency; 0 is the most urgent.
using Priority = Quantity<struct PriorityTag, std::uint32_t>;
/// Version of the operator's configuration; only rises.
using ConfigVersion = Quantity<struct ConfigVersionTag, std::uint64_t>;

/// Part of a route's traffic that goes to one service.
struct ServiceShare {
  ServiceId service;
  double weight = 1;
};

/// One route of the operator's configuration.
struct Route {
  RouteId id;
  std::string host;
  /// Begins and ends with a slash.
  std::string prefix;
  RouteKind kind = RouteKind::kUnsafe;
  /// Whether a stream may be continued at another endpoint.
  bool resumable = false;
  /// Whether requests need no API key.
  bool allows_anonymous = false;
  /// Longest time that a caller is kept waiting.
  Duration timeout{};
  /// Time to the answer, for streams to the first event, within which it has its full worth.
  Duration latency_objective{};
  /// Longest pause between two events of a stream that is on time; zero when none is stated.
  Duration event_interval_objective{};
  /// Most endpoints to which one request may be sent.
  std::uint32_t max_attempts = 1;
  Priority priority;
  std::vector<ServiceShare> services;
  /// Models among which the router chooses, smallest first; empty when the caller names the model.
  std::vector<ModelId> models;

  /// Whether a request may run more than once.
  bool Idempotent() const {
    return kind == RouteKind::kSafe || (kind == RouteKind::kStream && resumable);
  }
};

/// Model of an engine with its price.
struct PricedModel {
  ModelId id;
  /// Price of 1,000 generated tokens; tokens read cost a quarter.
  double price = 0;
};

/// One service of the operator's configuration.
struct RoutedService {
  ServiceId id;
  /// How long an endpoint stays cold after its start.
  Duration cold_time{};
  /// Requests per second that a cold endpoint tolerates; zero when it has no such limit.
  RequestRate cold_rate{0};
  std::vector<PricedModel> models;
};

/// Client account as the router needs it.
struct RoutedAccount {
  ClientAccountId id;
  /// Takes precedence over the urgency of the route.
  std::optional<Priority> priority;
};

/// Bounds on what one caller connection may send.
struct CallerLimits {
  Bytes header{16384};
  Bytes body{4194304};
  Duration header_timeout = std::chrono::seconds(3);
  Duration idle_timeout = std::chrono::seconds(15);
};

}  // namespace bamboodock
