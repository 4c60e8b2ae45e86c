#include "async/deflate.h"

#include <catch2/catch.hpp>
#include <random>

namespace monsoonmux::cell {
namespace {

constexpr std::size_t max_size = 1 << 20;

// Text of 16 different letters, as in a payload of hexadecimal digits.
std::string random_text(std::mt19937& random, std::size_t size) {
  std::string out(size, ' ');
  for (char& c : out) {
    c = static_cast<char>('a' + random() % 16);
  }
  return out;
}

TEST_CASE("Bytes round-trip through deflate") {
  std::mt19937 random(1);
  for (int i = 0; i < 300; ++i) {
    std::string bytes = random_text(random, random() % 60'000);
    CHECK(inflate_bytes(deflate_bytes(bytes), max_size) == bytes);
    for (char& c : bytes) {
      c = static_cast<char>(random());
    }
    CHECK(inflate_bytes(deflate_bytes(bytes), max_size) == bytes);
  }
}

TEST_CASE("Text of few different letters takes less than two thirds of its size") {
  std::mt19937 random(2);
  const std::string text = random_text(random, 600);
  CHECK(deflate_bytes(text).size() < text.size() * 2 / 3);
}

TEST_CASE("Truncated, extended and changed streams and too large results are refused") {
  std::mt19937 random(3);
  const std::string text = random_text(random, 5'000);
  const std::string bytes = deflate_bytes(text);
  CHECK_FALSE(inflate_bytes(bytes.substr(0, bytes.size() - 1), max_size));
  CHECK_FALSE(inflate_bytes(bytes + 'x', max_size));
  CHECK_FALSE(inflate_bytes(bytes, text.size() - 1));
  CHECK(inflate_bytes(bytes, text.size()));
  CHECK_FALSE(inflate_bytes("", max_size));
  for (int i = 0; i < 5'000; ++i) {
    std::string changed = bytes;
    changed[random() % changed.size()] = static_cast<char>(random());
    (void)inflate_bytes(changed, max_size);
  }
}

}  // namespace
}  // namespace monsoonmux::cell
