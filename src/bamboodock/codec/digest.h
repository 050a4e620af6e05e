#pragma once

#include <string>
#include <string_view>

namespace bamboodock {

/// SHA-256 in lower-case hexadecimal.
std::string Sha256Hex(std::string_view bytes);

/// HMAC-SHA-256 in lower-case hexadecimal.
std::string HmacSha256Hex(std::string_view key, std::string_view bytes);

/// Comparison whose time does not depend on where the texts differ.
bool EqualInConstantTime(std::string_view a, std::string_view b);

}  // namespace bamboodock
