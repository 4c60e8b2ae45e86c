#include "async/deflate.h"

#include <zlib.h>

#include <array>
#include <stdexcept>

namespace monsoonmux::cell {
namespace {

// Raw deflate, without zlib's header and checksum: TCP has its own, and a truncated stream
// is detected by its missing end.
constexpr int raw_window_bits = -MAX_WBITS;
constexpr int memory_level = 8;  // zlib's default.

Bytef* input_of(std::string_view bytes) {
  // zlib does not change its input, but its interface lacks the const.
  return reinterpret_cast<Bytef*>(const_cast<char*>(bytes.data()));
}

}  // namespace

std::string deflate_bytes(std::string_view bytes) {
  z_stream stream{};
  if (deflateInit2(&stream, Z_BEST_SPEED, Z_DEFLATED, raw_window_bits, memory_level,
                   Z_DEFAULT_STRATEGY) != Z_OK) {
    throw std::runtime_error("zlib cannot start a deflate stream");
  }
  std::string out(deflateBound(&stream, bytes.size()), '\0');
  stream.next_in = input_of(bytes);
  stream.avail_in = static_cast<uInt>(bytes.size());
  stream.next_out = reinterpret_cast<Bytef*>(out.data());
  stream.avail_out = static_cast<uInt>(out.size());
  deflate(&stream, Z_FINISH);  // Ends the stream, since `out` has the size of the bound.
  out.resize(stream.total_out);
  deflateEnd(&stream);
  return out;
}

std::optional<std::string> inflate_bytes(std::string_view bytes, std::size_t max_size) {
  z_stream stream{};
  if (inflateInit2(&stream, raw_window_bits) != Z_OK) {
    throw std::runtime_error("zlib cannot start an inflate stream");
  }
  stream.next_in = input_of(bytes);
  stream.avail_in = static_cast<uInt>(bytes.size());
  std::string out;
  std::array<char, 16 * 1024> chunk{};
  int status = Z_OK;
  while (status == Z_OK && out.size() <= max_size) {
    stream.next_out = reinterpret_cast<Bytef*>(chunk.data());
    stream.avail_out = static_cast<uInt>(chunk.size());
    status = inflate(&stream, Z_NO_FLUSH);
    out.append(chunk.data(), chunk.size() - stream.avail_out);
  }
  const bool complete = status == Z_STREAM_END && stream.avail_in == 0 && out.size() <= max_size;
  inflateEnd(&stream);
  return complete ? std::optional<std::string>(std::move(out)) : std::nullopt;
}

}  // namespace monsoonmux::cell
