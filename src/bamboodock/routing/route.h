#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "bamboodock/core/ids.h"
#include "bamboodock/core/units.h"

namespace bamboodock {

/// Whether the requests of a route may be repeated.
enum class RouteKind : std::uint8_t { kSafe, kUnsafe, kStream };

/// Scheduling priority; 0 is the highest.
using Priority = Quantity<struct PriorityTag, std::uint32_t>;
/// Version of the operator's configuration; increases monotonically.
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
  /// Path prefix; begins and ends with a slash.
  std::string prefix;
  RouteKind kind = RouteKind::kUnsafe;
  /// Whether a stream may be resumed at another endpoint.
  bool resumable = false;
  /// Whether requests need no API key.
  bool allows_anonymous = false;
  /// Maximum time for which a caller is kept waiting.
  Duration timeout{};
  /// Target for the time to the answer, for streams to the first event; a later answer is worth
  /// less.
  Duration latency_objective{};
  /// Maximum interval between two events of a stream that is on time; zero when not stated.
  Duration interval_objective{};
  /// Maximum number of endpoints to which one request may be sent.
  std::uint32_t max_attempts = 1;
  Priority priority;
  std::vector<ServiceShare> services;
  /// Models among which the router selects, smallest first; empty when the caller names the model.
  std::vector<ModelId> models;

  /// Whether a request may run more than once.
  bool IsIdempotent() const {
    return kind == RouteKind::kSafe || (kind == RouteKind::kStream && resumable);
  }
};

/// Model of an engine with its price.
struct PricedModel {
  ModelId id;
  /// Price of 1,000 generated tokens; prompt tokens cost a quarter of it.
  double price = 0;
};

/// One service of the operator's configuration.
struct RoutedService {
  ServiceId id;
  /// How long an endpoint stays cold after it starts.
  Duration cold_time{};
  /// Requests per second that a cold endpoint tolerates; zero when it has no such limit.
  RequestRate cold_rate{0};
  std::vector<PricedModel> models;
};

/// Configuration of a client account.
struct RoutedAccount {
  ClientAccountId id;
  /// Takes precedence over the priority of the route.
  std::optional<Priority> priority;
};

/// Size limits and timeouts of one caller connection.
struct CallerLimits {
  Bytes header{16384};
  Bytes body{4194304};
  Duration header_timeout = std::chrono::seconds(3);
  Duration idle_timeout = std::chrono::seconds(15);
};

}  // namespace bamboodock
