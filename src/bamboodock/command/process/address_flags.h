#pragma once

#include <string>
#include <vector>

#include "bamboodock/transport/address.h"

namespace bamboodock {

/// Parses the address of flag `name`; fails with `kBadSetting` and names the flag.
Result<Address> ParseAddressFlag(const std::string& name, const std::string& value);

/// Parses the comma-separated addresses of flag `name`; at least one is required.
Result<std::vector<Address>> ParseAddressListFlag(const std::string& name,
                                                  const std::string& value);

}  // namespace bamboodock
