#include "bamboodock/transport/address.h"

#include <arpa/inet.h>

#include <charconv>

namespace bamboodock {

std::string Address::ToString() const { return ip + ":" + std::to_string(port); }

Result<Address> ParseAddress(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  const std::string detail = "address '" + std::string(text) +
                             "' is not IP:PORT with an IPv4 address and a port from 1 to 65535";
  if (colon == std::string_view::npos) return Raise(ResultCode::kBadSetting, detail);
  Address address;
  address.ip = std::string(text.substr(0, colon));
  in_addr parsed{};
  if (inet_pton(AF_INET, address.ip.c_str(), &parsed) != 1) {
    return Raise(ResultCode::kBadSetting, detail);
  }
  const std::string_view port = text.substr(colon + 1);
  const auto [end, error] = std::from_chars(port.data(), port.data() + port.size(), address.port);
  if (error != std::errc{} || end != port.data() + port.size() || address.port == 0) {
    return Raise(ResultCode::kBadSetting, detail);
  }
  return address;
}

}  // namespace bamboodock
