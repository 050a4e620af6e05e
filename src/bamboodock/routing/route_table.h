#pragma once

#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "bamboodock/core/ref_counted.h"
#include "bamboodock/routing/route.h"

namespace bamboodock {

/// Immutable configuration of one version: routes, services, client accounts and caller limits.
class RouteTable : public RefCounted<RouteTable> {
 public:
  ConfigVersion version() const { return version_; }
  const CallerLimits& limits() const { return limits_; }
  /// Whether requests need an API key, except on routes that allow anonymous access.
  bool RequiresKey() const { return requires_key_; }

  /// Route of `host` with the longest prefix that matches `path`; null when there is none.
  const Route* FindRoute(std::string_view host, std::string_view path) const;
  /// Account with the API key `key`; null when there is none.
  const RoutedAccount* FindAccount(const ApiKey& key) const;
  /// Null when the service is not configured.
  const RoutedService* FindService(const ServiceId& id) const;
  /// Maximum `cold_time` over all services.
  Duration LongestColdTime() const;
  std::size_t route_count() const { return routes_.size(); }

 private:
  friend class RouteTableBuilder;

  ConfigVersion version_;
  CallerLimits limits_;
  bool requires_key_ = false;
  std::vector<Route> routes_;
  /// Indexes into `routes_` by host, longest prefix first.
  std::map<std::string, std::vector<std::size_t>, std::less<>> routes_by_host_;
  std::unordered_map<ServiceId, RoutedService> services_;
  std::unordered_map<ApiKey, RoutedAccount> accounts_;
};

/// Builds an immutable `RouteTable`.
class RouteTableBuilder {
 public:
  RouteTableBuilder& Version(ConfigVersion version);
  RouteTableBuilder& Limits(const CallerLimits& limits);
  RouteTableBuilder& RequireKeys();
  RouteTableBuilder& Add(Route route);
  RouteTableBuilder& Add(RoutedService service);
  RouteTableBuilder& Add(const ApiKey& key, RoutedAccount account);
  /// Returns the table and resets the builder to an empty one.
  Ref<const RouteTable> Build();

 private:
  Ref<RouteTable> table_ = MakeRef<RouteTable>();
};

}  // namespace bamboodock
