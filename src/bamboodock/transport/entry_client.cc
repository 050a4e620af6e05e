#include "bamboodock/transport/entry_client.h"

#include "bamboodock/transport/http_client.h"

namespace bamboodock {

Result<HttpResponse> HttpEntryClient::Call(const Address& entry, const HttpRequest& request) {
  return HttpClient(entry).Call(request, timeout_);
}

Result<std::vector<Address>> ParseEntryList(std::string_view text) {
  std::vector<Address> entries;
  if (text.empty()) {
    return Raise(ResultCode::kBadSetting,
                 "no entry given: set --entry=IP:PORT or BAMBOODOCK_ENTRY");
  }
  while (true) {
    const std::size_t comma = text.find(',');
    BOOST_LEAF_AUTO(entry, ParseAddress(text.substr(0, comma)));
    entries.push_back(std::move(entry));
    if (comma == std::string_view::npos) return entries;
    text.remove_prefix(comma + 1);
  }
}

std::string EncodeQueryValue(std::string_view value) {
  constexpr std::string_view kUnreserved =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~";
  constexpr std::string_view kHex = "0123456789ABCDEF";
  std::string encoded;
  for (const char c : value) {
    const auto byte = static_cast<unsigned char>(c);
    if (kUnreserved.find(c) != std::string_view::npos) {
      encoded.push_back(c);
    } else {
      encoded += {'%', kHex[byte >> 4U], kHex[byte & 0xFU]};
    }
  }
  return encoded;
}

}  // namespace bamboodock
