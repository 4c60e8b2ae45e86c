#include "config/document.h"

#include <catch2/catch.hpp>

#include "config/key_ring.h"

namespace monsoonmux {
namespace {

std::string refusal(const std::string& text) {
  const auto parsed = document::parse(text);
  return parsed.has_error() ? parsed.error().detail : "accepted";
}

}  // namespace

TEST_CASE("each error in a document is reported with its JSON pointer") {
  CHECK(refusal(R"({"teams":{"a":{"shore":1}}})") == "/teams/a/shore: unknown member");
  CHECK(refusal(R"({"teams":{"a":{"share":0}}})").find("/teams/a/share: expected an integer") == 0);
  CHECK(refusal(R"({"teams":{"a b":{}}})").find("/teams/a b: a name has") == 0);
  CHECK(refusal(R"({"keys":{"k":{"team":"a","hash":"zz"}}})").find("/keys/k/hash") == 0);
  CHECK(refusal(R"({"queues":{"q":{"kind":"x"}}})").find("/queues/q/kind") == 0);
  CHECK(refusal(R"({"domains":{"d":{"electors":["a","b"]}}})").find("/domains/d/electors") == 0);
  CHECK(refusal(R"({"domains":{"d":{"electors":["a","b","a"]}}})").find("/domains/d/electors") ==
        0);
  CHECK(refusal(R"({"queues":{"q":{"kind":"jobs","pool":"p","teams":["t"]}}})")
            .find("no such team") != std::string::npos);
  CHECK(refusal("[1") != "accepted");
}

TEST_CASE("a key of an undefined team is refused") {
  const std::string hash = hash_key("secret");
  CHECK(refusal(R"({"keys":{"k":{"team":"a","hash":")" + hash + "\"}}}").find("no such team") !=
        std::string::npos);
}

TEST_CASE("a merge patch adds, changes and removes") {
  auto one = patch_document("{}", R"({"teams":{"a":{"share":2},"b":{}}})");
  REQUIRE(one.has_value());
  auto two = patch_document(one.value(), R"({"teams":{"b":null}})");
  REQUIRE(two.has_value());
  const auto doc = document::parse(two.value()).value();
  CHECK(doc.teams.size() == 1);
  CHECK(doc.teams.at(team_id("a")).share == 2);
  CHECK(patch_document("{}", "[]").has_error());
  CHECK(patch_document("{}", R"({"nope":1})").has_error());
}

TEST_CASE("a key is found until it expires or is withdrawn") {
  const std::string key = make_key();
  CHECK(key.size() == 64);
  document doc;
  doc.teams[team_id("a")] = {};
  doc.keys[key_id("k")] = {team_id("a"), hash_key(key), 100};
  const key_ring ring(doc);
  CHECK(ring.find(key, 99) == team_id("a"));
  CHECK_FALSE(ring.find(key, 100).has_value());
  CHECK_FALSE(ring.find(key + "x", 0).has_value());
  doc.keys.clear();
  CHECK_FALSE(key_ring(doc).find(key, 0).has_value());
}

}  // namespace monsoonmux
