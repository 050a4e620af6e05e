#include "bamboodock/stores/http_host_list.h"

namespace bamboodock {

Result<std::vector<HostRecord>> HttpHostList::Hosts() {
  BOOST_LEAF_AUTO(response, client_.Read("/hosts", ""));
  const nlohmann::json answer = internal::StoreClient::Parse(response);
  std::vector<HostRecord> hosts;
  try {
    for (const nlohmann::json& item : answer.at("hosts")) {
      HostRecord host;
      host.id = HostId(item.at("id").get<std::string>());
      host.address = item.at("address").get<std::string>();
      host.availability_zone = AvailabilityZoneId(item.at("availability_zone").get<std::string>());
      host.leaving = item.at("leaving").get<bool>();
      hosts.push_back(std::move(host));
    }
  } catch (const nlohmann::json::exception& error) {
    return Raise(ResultCode::kStoreUnavailable, error.what());
  }
  return hosts;
}

}  // namespace bamboodock
