#include "bamboodock/command/process/address_flags.h"

#include <sstream>

namespace bamboodock {

Result<Address> ParseAddressFlag(const std::string& name, const std::string& value) {
  if (value.empty()) return Raise(ResultCode::kBadSetting, "--" + name + " is missing");
  return ParseAddress(value);
}

Result<std::vector<Address>> ParseAddressListFlag(const std::string& name,
                                                  const std::string& value) {
  std::vector<Address> addresses;
  std::istringstream parts(value);
  std::string part;
  while (std::getline(parts, part, ',')) {
    BOOST_LEAF_AUTO(address, ParseAddressFlag(name, part));
    addresses.push_back(address);
  }
  if (addresses.empty()) return Raise(ResultCode::kBadSetting, "--" + name + " is missing");
  return addresses;
}

}  // namespace bamboodock
