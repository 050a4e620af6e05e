#include "bamboodock/codec/digest.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <array>

namespace bamboodock {
namespace {

std::string Hex(const unsigned char* bytes, std::size_t size) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text;
  text.reserve(2 * size);
  for (std::size_t i = 0; i < size; ++i) {
    text.push_back(kDigits[bytes[i] >> 4U]);
    text.push_back(kDigits[bytes[i] & 0x0fU]);
  }
  return text;
}

}  // namespace

std::string Sha256Hex(std::string_view bytes) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int size = 0;
  EVP_Digest(bytes.data(), bytes.size(), digest.data(), &size, EVP_sha256(), nullptr);
  return Hex(digest.data(), size);
}

std::string HmacSha256Hex(std::string_view key, std::string_view bytes) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int size = 0;
  HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
       reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(), digest.data(), &size);
  return Hex(digest.data(), size);
}

bool EqualInConstantTime(std::string_view a, std::string_view b) {
  return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

}  // namespace bamboodock
