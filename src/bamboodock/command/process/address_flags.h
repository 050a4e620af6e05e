#pragma once

#include <string>
#include <vector>

#include "bamboodock/transport/address.h"

namespace bamboodock {

/// Parses `value`, the IP:PORT of flag `name`.
///
/// Fails with `kBadSetting`; the message names the flag when the value is empty, else the value.
Result<Address> ParseAddressFlag(const std::string& name, const std::string& value);

/// Parses `value`, the comma-separated addresses of flag `name`; at least one is required.
///
/// Fails with `kBadSetting` like `ParseAddressFlag`.
Result<std::vector<Address>> ParseAddressListFlag(const std::string& name,
                                                  const std::string& value);

}  // namespace bamboodock
