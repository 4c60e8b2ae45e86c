#include "call/call_lane.h"

#include <catch2/catch.hpp>
#include <deque>

namespace monsoonmux {
namespace {

constexpr instant start{1'000'000};

// Answers calls from a script; each entry is used once, then all succeed.
class scripted_runners final : public runner_port {
 public:
  result<runner_answer> call(const runner_id& runner, const runner_request& request) override {
    this->seen.push_back(runner.text + ":" + request.call_id);
    if (!this->script.empty()) {
      const failure f = this->script.front();
      this->script.pop_front();
      return f;
    }
    return runner_answer{200, request.call_id, "text/plain", request.body};
  }
  std::deque<failure> script;
  std::vector<std::string> seen;
};

struct rig {
  rig() : book(time, 1) {
    lane = std::make_shared<call_lane>(
        pool_id("p"), time, book, runners, events,
        [this](std::function<void()> f) { this->work.push_back(std::move(f)); }, lane_options{});
    std::vector<runner_host> hosts;
    slot_grant grant;
    grant.receiver = 1;
    grant.placer = {1};
    grant.number = 1;
    grant.valid_until = time.now().value + 60'000;
    for (const char* name : {"r1", "r2"}) {
      runner_host host;
      host.runner = runner_id(name);
      host.pool = pool_id("p");
      hosts.push_back(host);
      grant.slots.push_back({name, 2});
    }
    grant.slots.push_back({"team:capped", 1});
    lane->set_runners(hosts);
    book.adopt(grant);
  }

  void submit(const std::string& id, const std::string& team, bool idempotent,
              std::int64_t waiting = 8) {
    call_request call;
    call.id = id;
    call.team = team_id(team);
    call.idempotent = idempotent;
    call.deadline = time.now() + millis{1'000};
    lane->submit(call, waiting, [this, id](const result<call_answer>& r) {
      this->answers[id].push_back(r.has_value() ? verdict::answered : r.error().effect);
    });
  }

  void run() {
    while (!this->work.empty()) {
      const auto f = std::move(this->work.front());
      this->work.pop_front();
      f();
    }
  }

  fake_clock time;
  null_event_sink events;
  slot_book book;
  scripted_runners runners;
  std::deque<std::function<void()>> work;
  std::shared_ptr<call_lane> lane;
  std::map<std::string, std::vector<verdict>> answers;
};

const failure lost = may_have_run(error_code::connection_lost, "x");
const failure refused = not_run(error_code::connection_failed, "x");

}  // namespace

TEST_CASE("a call that may run once is not sent again after it may have run") {
  rig r;
  r.runners.script = {lost};
  r.submit("a", "t", false);
  r.run();
  CHECK(r.runners.seen.size() == 1);
  CHECK(r.answers["a"] == std::vector{verdict::may_have_run});
}

TEST_CASE("a call that was not run is tried on another runner") {
  rig r;
  r.runners.script = {refused};
  r.submit("a", "t", false);
  r.run();
  CHECK(r.runners.seen == std::vector<std::string>{"r1:a", "r2:a"});
  CHECK(r.answers["a"] == std::vector{verdict::answered});
}

TEST_CASE("an idempotent call is tried again, and its verdict covers all tries") {
  rig r;
  r.runners.script = {lost};
  r.submit("a", "t", true);
  r.run();
  CHECK(r.answers["a"] == std::vector{verdict::answered});
  r.runners.script = std::deque<failure>(40, refused);
  r.runners.script[0] = lost;
  r.submit("b", "t", true);
  r.run();
  CHECK(r.answers["b"] == std::vector{verdict::may_have_run});
}

TEST_CASE("the slot of a call that was given up stays taken until its runner has ended it") {
  rig r;
  r.runners.script = std::deque<failure>(4, lost);
  for (int i = 0; i < 4; ++i) {
    r.submit("a" + std::to_string(i), "t", false);
  }
  r.run();
  r.submit("b", "t", false);
  CHECK(r.work.empty());
  r.time.advance({999});
  r.lane->pump();
  CHECK(r.work.empty());
  r.time.advance(call_abandoned_hold);
  r.lane->pump();
  CHECK(r.answers["b"] == std::vector{verdict::not_run});
  r.submit("c", "t", false);
  r.run();
  CHECK(r.answers["c"] == std::vector{verdict::answered});
}

TEST_CASE("retries are bounded by the budget") {
  rig r;
  r.runners.script = std::deque<failure>(1'000, refused);
  for (int i = 0; i < 20; ++i) {
    r.submit("c" + std::to_string(i), "t", true);
    r.run();
  }
  CHECK(r.runners.seen.size() <= 20 + 10 + 2);
}

TEST_CASE("slots bound what is sent, teams take turns, and the rest waits or is refused") {
  rig r;
  for (int i = 0; i < 20; ++i) {
    r.submit("l" + std::to_string(i), "loud", true, 10);
  }
  r.submit("q", "quiet", true);
  CHECK(r.work.size() == 4);
  CHECK(r.lane->counts().refused == 6);
  r.work.front()();
  r.work.pop_front();
  CHECK(r.work.size() == 4);
  r.work.back()();
  CHECK(r.answers["q"] == std::vector{verdict::answered});
}

TEST_CASE("a team's upper limit on calls holds") {
  rig r;
  r.lane->set_share(team_id("capped"), 1, true);
  r.submit("a", "capped", true);
  r.submit("b", "capped", true);
  CHECK(r.work.size() == 1);
  r.run();
  CHECK(r.answers["b"] == std::vector{verdict::answered});
}

TEST_CASE("a call that finds no slot before its deadline is not run") {
  rig r;
  r.time.advance({60'000});
  r.submit("a", "t", false);
  CHECK(r.work.empty());
  r.time.advance({1'000});
  r.lane->pump();
  CHECK(r.answers["a"] == std::vector{verdict::not_run});
  CHECK(r.runners.seen.empty());
}

TEST_CASE("a leaving runner gets nothing new") {
  rig r;
  runner_host host;
  host.runner = runner_id("r1");
  host.pool = pool_id("p");
  host.leaving = true;
  r.lane->set_runners({host});
  r.submit("a", "t", true);
  CHECK(r.work.empty());
}

}  // namespace monsoonmux
