#include "base/compact_archive.h"

#include <catch2/catch.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>
#include <cstdint>
#include <limits>
#include <random>

#include "base/testing/hex.h"

namespace monsoonmux {
namespace {

enum class colour : std::uint8_t { red, green };

struct sample {
  std::int64_t large = 0;
  std::int32_t small = 0;
  std::uint16_t port = 0;
  bool flag = false;
  colour paint = colour::red;
  double ratio = 0;
  std::string text;
  std::optional<std::int64_t> maybe;
  std::vector<std::variant<std::int32_t, std::string>> items;

  bool operator==(const sample&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->large, this->small, this->port, this->flag, this->paint, this->ratio, this->text,
            this->maybe, this->items);
  }
};

sample random_sample(std::mt19937_64& random) {
  sample out;
  out.large = static_cast<std::int64_t>(random() >> (random() % 64));
  out.small = static_cast<std::int32_t>(random());
  out.port = static_cast<std::uint16_t>(random());
  out.flag = random() % 2 == 0;
  out.paint = random() % 2 == 0 ? colour::red : colour::green;
  out.ratio = static_cast<double>(random()) / 7;
  out.text = std::string(random() % 200, 't');
  if (random() % 2 == 0) {
    out.maybe = -static_cast<std::int64_t>(random() % 1'000);
  }
  while (random() % 4 != 0) {
    if (random() % 2 == 0) {
      out.items.emplace_back(static_cast<std::int32_t>(random() % 9));
    } else {
      out.items.emplace_back(std::string(random() % 5, 'i'));
    }
  }
  return out;
}

constexpr char version = 7;

TEST_CASE("Values round-trip through the compact archive") {
  std::mt19937_64 random(1);
  for (int i = 0; i < 5'000; ++i) {
    const sample value = random_sample(random);
    const auto back = decode_compact<sample>(version, encode_compact(version, value));
    REQUIRE(back);
    CHECK(*back == value);
  }
  sample extreme;
  for (const std::int64_t large :
       {std::numeric_limits<std::int64_t>::min(), std::numeric_limits<std::int64_t>::max()}) {
    extreme.large = large;
    CHECK(decode_compact<sample>(version, encode_compact(version, extreme)) == extreme);
  }
}

TEST_CASE("Small numbers and lengths take one byte each") {
  sample value;
  value.large = -3;
  value.small = 5;
  value.port = 80;
  value.text = "ab";
  CHECK(to_hex(encode_compact(version, value)) == "07050a50000000000000000000000261620100");
}

TEST_CASE("Truncated, changed and extended bytes are decoded or refused") {
  std::mt19937_64 random(2);
  for (int i = 0; i < 20'000; ++i) {
    const std::string bytes = encode_compact(version, random_sample(random));
    CHECK_FALSE(decode_compact<sample>(version, bytes.substr(0, random() % bytes.size())));
    CHECK_FALSE(decode_compact<sample>(version, bytes + '\0'));
    std::string changed = bytes;
    changed[random() % bytes.size()] = static_cast<char>(random());
    (void)decode_compact<sample>(version, changed);
  }
  CHECK_FALSE(decode_compact<sample>(version, ""));
}

TEST_CASE("A length beyond the end of the data is refused before anything is allocated") {
  std::string bytes(1, version);
  put_number(bytes, std::uint64_t{1} << 60U);
  CHECK_FALSE(decode_compact<std::string>(version, bytes));
  CHECK_FALSE(decode_compact<std::vector<std::string>>(version, bytes));
}

TEST_CASE("A number that does not fit the type is refused") {
  std::string bytes(1, version);
  put_number(bytes, 70'000);
  CHECK_FALSE(decode_compact<std::uint16_t>(version, bytes));
  CHECK(decode_compact<std::uint32_t>(version, bytes) == 70'000U);
}

}  // namespace
}  // namespace monsoonmux
