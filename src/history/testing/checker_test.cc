// Starts from a history that satisfies all guarantees and adds, for each guarantee, events that the
// checker has to report as a violation of exactly that guarantee.

#include "history/checker.h"

#include <catch2/catch.hpp>

namespace monsoonmux {
namespace {

using kind = history_kind;

history_event event_at(std::int64_t ms, kind k) {
  history_event e;
  e.at_ms = ms;
  e.kind = k;
  return e;
}

history_event started(std::int64_t ms, const std::string& worker, const std::string& task) {
  history_event e = event_at(ms, kind::task_started);
  e.subject = worker;
  e.task = task;
  e.team = "a";
  e.amount = {{1'000}, {0}, {0}};
  return e;
}

history_event stopped(std::int64_t ms, const std::string& worker, const std::string& task,
                      const std::string& phase = "succeeded") {
  history_event e = event_at(ms, kind::task_stopped);
  e.subject = worker;
  e.task = task;
  e.phase = phase;
  return e;
}

history_event call(std::int64_t ms, kind k, const std::string& id, const std::string& phase = "",
                   const std::string& text = "") {
  history_event e = event_at(ms, k);
  e.task = id;
  e.phase = phase;
  e.text = text;
  e.subject = "r1";
  return e;
}

history_event numbered(std::int64_t ms, kind k, std::int64_t number) {
  history_event e = event_at(ms, k);
  e.number = number;
  e.subject = "d1";
  return e;
}

// A history that violates no guarantee.
history valid_history() {
  history h;
  history_event size = event_at(0, kind::worker_size);
  size.subject = "w1";
  size.amount = {{2'000}, {0}, {0}};
  h.push_back(size);
  size.subject = "w2";
  h.push_back(size);
  history_event limit = event_at(0, kind::limit_in_force);
  limit.team = "a";
  limit.amount = {{3'000}, {0}, {0}};
  h.push_back(limit);
  history_event job = event_at(1, kind::job_accepted);
  job.task = "j";
  job.number = 1;
  h.push_back(job);
  h.push_back(started(10, "w1", "j/0"));
  h.push_back(stopped(20, "w1", "j/0"));
  history_event recorded = event_at(21, kind::task_recorded);
  recorded.task = "j/0";
  recorded.phase = "succeeded";
  h.push_back(recorded);
  h.push_back(call(30, kind::call_sent, "c1"));
  h.push_back(call(31, kind::call_ran, "c1"));
  h.push_back(call(32, kind::call_answered, "c1", "answered", "c1"));
  h.push_back(numbered(40, kind::config_accepted, 1));
  h.push_back(numbered(41, kind::config_seen, 1));
  return h;
}

std::vector<guarantee> violated(const history& h) {
  std::vector<guarantee> out;
  for (const violation& v : check_history(h, {})) {
    out.push_back(v.violated);
  }
  return out;
}

// Checks that valid_history() extended by `more` violates exactly the `expected` guarantee.
void expect_violation(guarantee expected, const std::vector<history_event>& more) {
  history h = valid_history();
  h.insert(h.end(), more.begin(), more.end());
  INFO(to_string(expected));
  CHECK(violated(h) == std::vector{expected});
}

}  // namespace

TEST_CASE("a valid history passes, and JSON lines preserve it") {
  CHECK(violated(valid_history()).empty());
  const auto back = read_history(write_history(valid_history()));
  REQUIRE(back.has_value());
  CHECK(write_history(back.value()) == write_history(valid_history()));
  CHECK(read_history("{\"kind\":\"x\"}\n").has_error());
  CHECK(read_history("nonsense\n").has_error());
}

TEST_CASE("the violation of every guarantee is reported") {
  expect_violation(guarantee::no_overcommit,
                   {started(50, "w1", "k/0"), started(51, "w1", "k/1"), started(52, "w1", "k/2")});
  expect_violation(guarantee::one_place, {started(50, "w1", "k/0"), started(51, "w2", "k/0")});
  expect_violation(guarantee::upper_limit, {started(50, "w1", "k/0"), started(51, "w1", "k/1"),
                                            started(52, "w2", "k/2"), started(53, "w2", "k/3")});
  history_event withdrawn = event_at(50, kind::key_withdrawn);
  withdrawn.text = "key";
  history_event used = event_at(3'051, kind::key_used);
  used.text = "key";
  used.flag = true;
  expect_violation(guarantee::withdrawn_key, {withdrawn, used});
  expect_violation(guarantee::own_answer, {call(50, kind::call_answered, "c2", "answered", "c1")});
  expect_violation(guarantee::not_run_is_true, {call(50, kind::call_ran, "c2"),
                                                call(51, kind::call_answered, "c2", "not_run")});
  expect_violation(guarantee::at_most_once,
                   {call(50, kind::call_sent, "c2"), call(51, kind::call_ran, "c2"),
                    call(52, kind::call_ran, "c2")});
  expect_violation(guarantee::leaving_runner,
                   {call(50, kind::runner_left, ""), call(3'051, kind::call_ran, "c2")});
  expect_violation(guarantee::no_request_cut,
                   {numbered(50, kind::stop_planned, 0), numbered(51, kind::request_cut, 0)});
  expect_violation(guarantee::config_monotonic, {numbered(50, kind::config_seen, 0)});
  expect_violation(guarantee::config_in_force, {numbered(50, kind::config_accepted, 2),
                                                numbered(16'051, kind::config_seen, 1)});
  history_event job = event_at(50, kind::job_accepted);
  job.task = "k";
  job.number = 1;
  expect_violation(guarantee::nothing_lost, {job});
  expect_violation(guarantee::finished_once, {started(50, "w1", "j/0")});
}

TEST_CASE("events of one millisecond keep the order of each worker") {
  history h = valid_history();
  h.push_back(started(50, "w1", "k/0"));
  h.push_back(stopped(50, "w1", "k/0", "stopped"));
  h.push_back(started(50, "w2", "k/0"));
  CHECK(violated(h).empty());
  h.push_back(started(50, "w1", "k/0"));
  CHECK(violated(h) == std::vector{guarantee::one_place});
}

TEST_CASE("nothing is reported until a bound has passed") {
  history h = valid_history();
  history_event lowered = event_at(50, kind::limit_in_force);
  lowered.team = "a";
  lowered.amount = {};
  h.push_back(lowered);
  h.push_back(started(16'050, "w1", "k/0"));
  CHECK(violated(h).empty());
  h.back().at_ms = 16'051;
  CHECK(violated(h) == std::vector{guarantee::upper_limit});
}

}  // namespace monsoonmux
