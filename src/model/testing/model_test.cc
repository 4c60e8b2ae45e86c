#include <catch2/catch.hpp>

#include "model/cell_config.h"
#include "model/cell_record.h"
#include "model/job_spec.h"

namespace monsoonmux::cell {
namespace {

job_spec two_steps() {
  job_spec spec;
  spec.steps.resize(2);
  spec.steps[0].count = 2;
  spec.steps[1].count = 1;
  spec.steps[1].depends_on = {0};
  return spec;
}

TEST_CASE("A step may depend on earlier steps only") {
  job_spec spec = two_steps();
  CHECK(validate(spec).has_value());
  spec.steps[1].depends_on = {1};
  CHECK(validate(spec).has_error());
  spec.steps[1].depends_on = {-1};
  CHECK(validate(spec).has_error());
}

TEST_CASE("Empty steps, negative amounts and huge jobs are refused") {
  job_spec spec = two_steps();
  spec.steps[0].count = 0;
  CHECK(validate(spec).has_error());
  spec = two_steps();
  spec.steps[0].need.memory = mebibytes{-1};
  CHECK(validate(spec).has_error());
  spec = two_steps();
  spec.steps[0].count = max_tasks_per_job;
  CHECK(validate(spec).has_error());
  CHECK(validate(job_spec{}).has_error());
}

TEST_CASE("Records round-trip through their encoding, and truncated or other bytes are refused") {
  job_submission submission;
  submission.job = job_id("5c0e7a21d94b36f8");
  submission.team = team_id("t");
  submission.spec = two_steps();
  const std::string bytes = encode(submission);
  const auto back = decode_submission(bytes);
  REQUIRE(back.has_value());
  CHECK(back->job == submission.job);
  CHECK(back->spec.steps[1].depends_on == submission.spec.steps[1].depends_on);
  for (std::size_t size = 0; size < bytes.size(); ++size) {
    CHECK_FALSE(decode_submission(bytes.substr(0, size)).has_value());
  }
  CHECK_FALSE(decode_submission("{\"Spec\":1}").has_value());
}

TEST_CASE("Keys consist of a record's kind and job") {
  const auto key = parse_key(key_of(record_kind::progress, job_id("ab")));
  REQUIRE(key.has_value());
  CHECK(key->kind == record_kind::progress);
  CHECK(key->job == job_id("ab"));
  CHECK_FALSE(parse_key("x1").has_value());
  CHECK_FALSE(parse_key("j").has_value());
}

TEST_CASE("The longest matching prefix of the host wins") {
  cell_config config;
  config.queues.resize(3);
  config.queues[0] = {.name = queue_id("a"), .host = "h", .path_prefix = "/x/"};
  config.queues[1] = {.name = queue_id("b"), .host = "h", .path_prefix = "/x/y/"};
  config.queues[2] = {.name = queue_id("c"), .host = "g", .path_prefix = "/"};
  CHECK(config.match("h", "/x/y/1")->name == queue_id("b"));
  CHECK(config.match("h", "/x/1")->name == queue_id("a"));
  CHECK(config.match("g", "/x/1")->name == queue_id("c"));
  CHECK(config.match("h", "/z") == nullptr);
}

}  // namespace
}  // namespace monsoonmux::cell
