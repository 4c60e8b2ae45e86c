// For each promise: a history that keeps it, and a mutation that the checker has
// to flag with exactly that promise.

#include "history/checker.h"

#include <catch2/catch.hpp>

namespace monsoonmux {
namespace {

using kind = history_kind;

history_event at(std::int64_t ms, kind k) {
  history_event e;
  e.at_ms = ms;
  e.kind = k;
  return e;
}

history_event started(std::int64_t ms, const std::string& worker, const std::string& task) {
  history_event e = at(ms, kind::task_started);
  e.subject = worker;
  e.task = task;
  e.team = "a";
  e.amount = {{1'000}, {0}, {0}};
  return e;
}

history_event stopped(std::int64_t ms, const std::string& worker, const std::string& task,
                      const std::string& phase = "succeeded") {
  history_event e = at(ms, kind::task_stopped);
  e.subject = worker;
  e.task = task;
  e.phase = phase;
  return e;
}

history_event call(std::int64_t ms, kind k, const std::string& id, const std::string& phase = "",
                   const std::string& text = "") {
  history_event e = at(ms, k);
  e.task = id;
  e.phase = phase;
  e.text = text;
  e.subject = "r1";
  return e;
}

history_event numbered(std::int64_t ms, kind k, std::int64_t number) {
  history_event e = at(ms, k);
  e.number = number;
  e.subject = "d1";
  return e;
}

// A run in which every promise is kept.
history good() {
  history h;
  history_event size = at(0, kind::worker_size);
  size.subject = "w1";
  size.amount = {{2'000}, {0}, {0}};
  h.push_back(size);
  size.subject = "w2";
  h.push_back(size);
  history_event limit = at(0, kind::limit_in_force);
  limit.team = "a";
  limit.amount = {{3'000}, {0}, {0}};
  h.push_back(limit);
  history_event job = at(1, kind::job_accepted);
  job.task = "j";
  job.number = 1;
  h.push_back(job);
  h.push_back(started(10, "w1", "j/0"));
  h.push_back(stopped(20, "w1", "j/0"));
  history_event recorded = at(21, kind::task_recorded);
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

std::vector<promise> broken(const history& h) {
  std::vector<promise> out;
  for (const violation& v : check_history(h, {})) {
    out.push_back(v.broken);
  }
  return out;
}

// The good history with more events breaks just this promise.
void must_flag(promise expected, const std::vector<history_event>& more) {
  history h = good();
  h.insert(h.end(), more.begin(), more.end());
  INFO(to_string(expected));
  CHECK(broken(h) == std::vector{expected});
}

}  // namespace

TEST_CASE("a good history passes, also after a trip through JSON lines") {
  CHECK(broken(good()).empty());
  const auto back = read_history(write_history(good()));
  REQUIRE(back.has_value());
  CHECK(write_history(back.value()) == write_history(good()));
  CHECK(read_history("{\"kind\":\"x\"}\n").has_error());
  CHECK(read_history("nonsense\n").has_error());
}

TEST_CASE("every promise is flagged when it is broken") {
  must_flag(promise::no_overcommit,
            {started(50, "w1", "k/0"), started(51, "w1", "k/1"), started(52, "w1", "k/2")});
  must_flag(promise::one_place, {started(50, "w1", "k/0"), started(51, "w2", "k/0")});
  must_flag(promise::upper_limit, {started(50, "w1", "k/0"), started(51, "w1", "k/1"),
                                   started(52, "w2", "k/2"), started(53, "w2", "k/3")});
  history_event withdrawn = at(50, kind::key_withdrawn);
  withdrawn.text = "key";
  history_event used = at(3'051, kind::key_used);
  used.text = "key";
  used.flag = true;
  must_flag(promise::withdrawn_key, {withdrawn, used});
  must_flag(promise::own_answer, {call(50, kind::call_answered, "c2", "answered", "c1")});
  must_flag(promise::not_run_is_true,
            {call(50, kind::call_ran, "c2"), call(51, kind::call_answered, "c2", "not_run")});
  must_flag(promise::at_most_once, {call(50, kind::call_sent, "c2"), call(51, kind::call_ran, "c2"),
                                    call(52, kind::call_ran, "c2")});
  must_flag(promise::leaving_runner,
            {call(50, kind::runner_left, ""), call(3'051, kind::call_ran, "c2")});
  must_flag(promise::no_request_cut,
            {numbered(50, kind::stop_planned, 0), numbered(51, kind::request_cut, 0)});
  must_flag(promise::config_monotonic, {numbered(50, kind::config_seen, 0)});
  must_flag(promise::config_in_force,
            {numbered(50, kind::config_accepted, 2), numbered(16'051, kind::config_seen, 1)});
  history_event job = at(50, kind::job_accepted);
  job.task = "k";
  job.number = 1;
  must_flag(promise::nothing_lost, {job});
  must_flag(promise::finished_once, {started(50, "w1", "j/0")});
}

TEST_CASE("events of one millisecond keep each worker's own order") {
  history h = good();
  h.push_back(started(50, "w1", "k/0"));
  h.push_back(stopped(50, "w1", "k/0", "stopped"));
  h.push_back(started(50, "w2", "k/0"));
  CHECK(broken(h).empty());
  h.push_back(started(50, "w1", "k/0"));
  CHECK(broken(h) == std::vector{promise::one_place});
}

TEST_CASE("within its bound nothing is flagged") {
  history h = good();
  history_event lowered = at(50, kind::limit_in_force);
  lowered.team = "a";
  lowered.amount = {};
  h.push_back(lowered);
  h.push_back(started(16'050, "w1", "k/0"));
  CHECK(broken(h).empty());
  h.back().at_ms = 16'051;
  CHECK(broken(h) == std::vector{promise::upper_limit});
}

}  // namespace monsoonmux
