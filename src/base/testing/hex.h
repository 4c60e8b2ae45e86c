#pragma once

#include <string>

namespace monsoonmux {

// Lower-case hexadecimal digits of the bytes.
inline std::string to_hex(const std::string& bytes) {
  constexpr char digits[] = "0123456789abcdef";
  std::string out;
  for (const char c : bytes) {
    const auto byte = static_cast<unsigned char>(c);
    out += digits[byte >> 4];
    out += digits[byte & 15];
  }
  return out;
}

// Inverse of to_hex(); the text must have an even number of lower-case digits.
inline std::string from_hex(const std::string& text) {
  std::string out;
  for (std::size_t i = 0; i + 1 < text.size(); i += 2) {
    out += static_cast<char>(std::stoi(text.substr(i, 2), nullptr, 16));
  }
  return out;
}

}  // namespace monsoonmux
