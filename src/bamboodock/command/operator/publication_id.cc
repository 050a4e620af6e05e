#include "bamboodock/command/operator/publication_id.h"

#include <openssl/rand.h>

#include <array>
#include <string_view>

namespace bamboodock {

Result<PublicationId> MakePublicationId() {
  constexpr std::size_t kIdBytes = 16;
  constexpr std::string_view kHex = "0123456789abcdef";
  std::array<unsigned char, kIdBytes> bytes{};
  if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1) {
    return Raise(ResultCode::kInternal, "RAND_bytes gave no random bytes for a publication id");
  }
  std::string id;
  for (const unsigned char byte : bytes) id += {kHex[byte >> 4U], kHex[byte & 0xFU]};
  return PublicationId(id);
}

}  // namespace bamboodock
