#include "state/record.h"

#include <catch2/catch.hpp>
#include <random>

namespace monsoonmux {
namespace {

envelope sample() {
  job j;
  j.spec.id = job_id("j");
  j.spec.tasks = 2;
  j.tasks.resize(2);
  j.parts = {{domain_id("d"), 0, 2}};
  return {daemon_id("w"), 7, 3, {config_patch{{4}, "{}", "op", 9}, job_record{j}}};
}

}  // namespace

TEST_CASE("a decoded envelope equals the encoded one") {
  const auto back = decode_envelope(encode(sample()));
  REQUIRE(back.has_value());
  CHECK(back.value().sequence == 3);
  REQUIRE(back.value().records.size() == 2);
  CHECK(std::get<config_patch>(back.value().records[0]).author == "op");
  CHECK(std::get<job_record>(back.value().records[1]).value.tasks.size() == 2);
}

TEST_CASE("entries with a damaged byte and truncated entries are rejected") {
  const std::string bytes = encode(sample());
  for (std::size_t i = 0; i < bytes.size(); ++i) {
    std::string damaged = bytes;
    damaged[i] = static_cast<char>(damaged[i] ^ 0x40);
    CHECK(decode_envelope(damaged).has_error());
    CHECK(decode_envelope(bytes.substr(0, i)).has_error());
  }
}

}  // namespace monsoonmux
