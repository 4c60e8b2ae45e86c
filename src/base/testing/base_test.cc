#include <catch2/catch.hpp>

#include "base/clock.h"
#include "base/failure.h"
#include "base/ids.h"
#include "base/resources.h"

namespace monsoonmux {

TEST_CASE("a task id round-trips through its text form") {
  const task_id id{job_id("a/b"), 12};
  CHECK(parse_task_id(id.text()) == id);
  CHECK(parse_task_id("x/1z").index == -1);
  CHECK(parse_task_id("x").index == -1);
}

TEST_CASE("resources fit only if every component fits") {
  const resources capacity{{1000}, {10}, {1}};
  CHECK(resources{{1000}, {10}, {1}}.fits(capacity));
  CHECK_FALSE(resources{{1001}, {0}, {0}}.fits(capacity));
  CHECK_FALSE(resources{{0}, {11}, {0}}.fits(capacity));
  CHECK_FALSE(resources{{0}, {0}, {2}}.fits(capacity));
  CHECK(dominant_share({{500}, {9}, {0}}, capacity) == Approx(0.9));
  CHECK(dominant_share({{500}, {9}, {0}}, {}) == 0.0);
}

TEST_CASE("each error code has a distinct description") {
  std::vector<std::string_view> texts;
  for (int code = 0; code <= static_cast<int>(error_code::shutting_down); ++code) {
    const auto text = to_string(static_cast<error_code>(code));
    CHECK(std::find(texts.begin(), texts.end(), text) == texts.end());
    texts.push_back(text);
  }
}

TEST_CASE("a result carries its failure") {
  const result<int> bad = not_run(error_code::refused, "full");
  REQUIRE(bad.has_error());
  CHECK(bad.error().effect == verdict::not_run);
  CHECK(to_string(bad.error().effect) == "not_run");
}

}  // namespace monsoonmux
