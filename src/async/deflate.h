#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

// Compression of messages for narrow links, with zlib.
namespace monsoonmux::cell {

// Compresses `bytes` as a raw deflate stream, quickly rather than well.
std::string deflate_bytes(std::string_view bytes);

// Inverse of deflate_bytes(). Returns nullopt if the bytes are no deflate stream or expand to
// more than `max_size`.
std::optional<std::string> inflate_bytes(std::string_view bytes, std::size_t max_size);

}  // namespace monsoonmux::cell
