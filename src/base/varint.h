#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

// Variable-length integers, for records and messages that should take few bytes.
//
// A number is written seven bits per byte, the lowest first; the eighth bit is set if another
// byte follows. Signed numbers are zigzag encoded, so that small negative ones are short too.
namespace monsoonmux {

void put_number(std::string& out, std::uint64_t value);
void put_signed(std::string& out, std::int64_t value);
// Appends the length of `text`, then its bytes.
void put_text(std::string& out, std::string_view text);

// Reads what the functions above wrote. All functions throw std::runtime_error if the bytes
// end too early or hold a number that is out of range.
class byte_reader {
 public:
  // `bytes` must outlive the reader.
  explicit byte_reader(std::string_view bytes) : bytes(bytes) {}

  bool at_end() const { return this->at == this->bytes.size(); }
  std::size_t remaining() const { return this->bytes.size() - this->at; }
  unsigned byte();
  std::uint64_t number();
  std::int64_t signed_number();
  // A number that fits into 31 bits.
  std::int32_t count();
  std::string_view raw(std::size_t size);
  std::string text();

 private:
  std::string_view bytes;
  std::size_t at = 0;
};

}  // namespace monsoonmux
