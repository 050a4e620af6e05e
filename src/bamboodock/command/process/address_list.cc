#include "bamboodock/command/process/address_list.h"

#include <sstream>

namespace bamboodock {

Result<Address> ReadAddress(const std::string& name, const std::string& value) {
  if (value.empty()) return Raise(ResultCode::kBadSetting, "--" + name + " is missing");
  return ParseAddress(value);
}

Result<std::vector<Address>> ReadAddressList(const std::string& name, const std::string& value) {
  std::vector<Address> addresses;
  std::istringstream parts(value);
  std::string part;
  while (std::getline(parts, part, ',')) {
    BOOST_LEAF_AUTO(address, ReadAddress(name, part));
    addresses.push_back(address);
  }
  if (addresses.empty()) return Raise(ResultCode::kBadSetting, "--" + name + " is missing");
  return addresses;
}

}  // namespace bamboodock
