#pragma once

#include <openssl/evp.h>

#include <string>

namespace bamboodock {

/// Encodes a text as the store holds its values.
inline std::string ToBase64(const std::string& text) {
  std::string encoded(4 * ((text.size() + 2) / 3) + 1, '\0');
  const int size = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(encoded.data()),
                                   reinterpret_cast<const unsigned char*>(text.data()),
                                   static_cast<int>(text.size()));
  encoded.resize(static_cast<std::size_t>(size));
  return encoded;
}

}  // namespace bamboodock
