#include "bamboodock/routing/route_table.h"

#include <algorithm>

namespace bamboodock {

const Route* RouteTable::FindRoute(std::string_view host, std::string_view path) const {
  const auto found = routes_by_host_.find(host);
  if (found == routes_by_host_.end()) return nullptr;
  for (const std::size_t index : found->second) {
    if (path.starts_with(routes_[index].prefix)) return &routes_[index];
  }
  return nullptr;
}

const RoutedAccount* RouteTable::FindAccount(const ApiKey& key) const {
  const auto found = accounts_.find(key);
  return found == accounts_.end() ? nullptr : &found->second;
}

const RoutedService* RouteTable::FindService(const ServiceId& id) const {
  const auto found = services_.find(id);
  return found == services_.end() ? nullptr : &found->second;
}

Duration RouteTable::LongestColdTime() const {
  Duration longest{};
  for (const auto& [id, service] : services_) longest = std::max(longest, service.cold_time);
  return longest;
}

RouteTableBuilder& RouteTableBuilder::Version(ConfigVersion version) {
  table_->version_ = version;
  return *this;
}

RouteTableBuilder& RouteTableBuilder::Limits(const CallerLimits& limits) {
  table_->limits_ = limits;
  return *this;
}

RouteTableBuilder& RouteTableBuilder::RequireKeys() {
  table_->requires_key_ = true;
  return *this;
}

RouteTableBuilder& RouteTableBuilder::Add(Route route) {
  table_->routes_.push_back(std::move(route));
  return *this;
}

RouteTableBuilder& RouteTableBuilder::Add(RoutedService service) {
  ServiceId id = service.id;
  table_->services_.insert_or_assign(std::move(id), std::move(service));
  return *this;
}

RouteTableBuilder& RouteTableBuilder::Add(const ApiKey& key, RoutedAccount account) {
  table_->accounts_.insert_or_assign(key, std::move(account));
  return *this;
}

Ref<const RouteTable> RouteTableBuilder::Build() {
  const std::vector<Route>& routes = table_->routes_;
  for (std::size_t i = 0; i < routes.size(); ++i) {
    table_->routes_by_host_[routes[i].host].push_back(i);
  }
  for (auto& [host, indexes] : table_->routes_by_host_) {
    std::stable_sort(indexes.begin(), indexes.end(), [&](std::size_t a, std::size_t b) {
      return routes[a].prefix.size() > routes[b].prefix.size();
    });
  }
  return std::exchange(table_, MakeRef<RouteTable>());
}

}  // namespace bamboodock
