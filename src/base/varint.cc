#include "base/varint.h"

#include <stdexcept>

namespace monsoonmux {
namespace {

constexpr unsigned bits_per_byte = 7;
constexpr unsigned continuation_bit = 128;

}  // namespace

void put_number(std::string& out, std::uint64_t value) {
  while (value >= continuation_bit) {
    out.push_back(static_cast<char>((value & (continuation_bit - 1)) | continuation_bit));
    value >>= bits_per_byte;
  }
  out.push_back(static_cast<char>(value));
}

void put_signed(std::string& out, std::int64_t value) {
  const auto bits = static_cast<std::uint64_t>(value);
  put_number(out, (bits << 1U) ^ (value < 0 ? ~std::uint64_t{0} : 0));
}

void put_text(std::string& out, std::string_view text) {
  put_number(out, text.size());
  out += text;
}

unsigned byte_reader::byte() {
  if (this->at_end()) {
    throw std::runtime_error("the data ends too early");
  }
  return static_cast<unsigned char>(this->bytes[this->at++]);
}

std::uint64_t byte_reader::number() {
  constexpr unsigned longest_shift = 63;
  std::uint64_t value = 0;
  for (unsigned shift = 0; shift <= longest_shift; shift += bits_per_byte) {
    const unsigned next = this->byte();
    value |= static_cast<std::uint64_t>(next & (continuation_bit - 1)) << shift;
    if (next < continuation_bit) {
      return value;
    }
  }
  throw std::runtime_error("a number is longer than 64 bits");
}

std::int64_t byte_reader::signed_number() {
  const std::uint64_t value = this->number();
  const std::uint64_t sign = (value & 1U) != 0 ? ~std::uint64_t{0} : 0;
  return static_cast<std::int64_t>((value >> 1U) ^ sign);
}

std::int32_t byte_reader::count() {
  const std::uint64_t value = this->number();
  if (value > INT32_MAX) {
    throw std::runtime_error("a count is out of range");
  }
  return static_cast<std::int32_t>(value);
}

std::string_view byte_reader::raw(std::size_t size) {
  if (size > this->remaining()) {
    throw std::runtime_error("a text extends beyond the end of the data");
  }
  const std::string_view out = this->bytes.substr(this->at, size);
  this->at += size;
  return out;
}

std::string byte_reader::text() {
  return std::string(this->raw(this->number()));
}

}  // namespace monsoonmux
