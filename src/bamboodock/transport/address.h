#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "bamboodock/core/result.h"

namespace bamboodock {

/// IPv4 address and TCP port.
struct Address {
  std::string ip;
  std::uint16_t port = 0;

  std::string ToString() const;
  friend auto operator<=>(const Address&,
                          const Address&) = default;  // NOLINT(modernize-use-nullptr)
};

/// Parses "127.0.0.1:8080"; fails with `kBadSetting` unless it is an IPv4 address and a port
/// from 1 to 65535.
Result<Address> ParseAddress(std::string_view text);

}  // namespace bamboodock
