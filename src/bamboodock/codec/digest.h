#pragma once

#include <string>
#include <string_view>

namespace bamboodock {

/// SHA-256 in lower-case hexadecimal.
std::string Sha256Hex(std::string_view bytes);

/// HMAC-SHA-256 in lower-case hexadecimal.
std::string HmacSha256Hex(std::string_view key, std::string_view bytes);

/// Whether the texts are equal; the time does not depend on where they differ, so that it does not
/// reveal a secret.
bool EqualInConstantTime(std::string_view a, std::string_view b);

}  // namespace bamboodock
