#include "call/call_dispatcher.h"

#include <catch2/catch.hpp>
#include <deque>

namespace monsoonmux {
namespace {

constexpr instant start{1'000'000};

// Fails the first calls with the failures in `script`, one each; all later calls succeed.
class scripted_runners final : public runner_port {
 public:
  result<runner_answer> call(const runner_id& runner, const runner_request& request) override {
    this->sent.push_back(runner.text + ":" + request.call_id);
    if (!this->script.empty()) {
      const failure f = this->script.front();
      this->script.pop_front();
      return f;
    }
    return runner_answer{200, request.call_id, "text/plain", request.body};
  }
  std::deque<failure> script;
  std::vector<std::string> sent;
};

struct fixture {
  fixture() : slots(time, 1) {
    dispatcher = std::make_shared<call_dispatcher>(
        pool_id("p"), time, slots, runners, events,
        [this](std::function<void()> f) { this->work.push_back(std::move(f)); },
        call_dispatcher_options{});
    std::vector<runner_host> hosts;
    slot_lease lease;
    lease.receiver = 1;
    lease.placer = {1};
    lease.number = 1;
    lease.valid_until = time.now().value + 60'000;
    for (const char* name : {"r1", "r2"}) {
      runner_host host;
      host.runner = runner_id(name);
      host.pool = pool_id("p");
      hosts.push_back(host);
      lease.slots.push_back({name, 2});
    }
    lease.slots.push_back({"team:capped", 1});
    dispatcher->set_runners(hosts);
    slots.adopt(lease);
  }

  void submit(const std::string& id, const std::string& team, bool idempotent,
              std::int64_t waiting = 8) {
    call_request call;
    call.id = id;
    call.team = team_id(team);
    call.idempotent = idempotent;
    call.deadline = time.now() + millis{1'000};
    dispatcher->submit(call, waiting, [this, id](const result<call_answer>& r) {
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
  leased_slots slots;
  scripted_runners runners;
  std::deque<std::function<void()>> work;
  std::shared_ptr<call_dispatcher> dispatcher;
  std::map<std::string, std::vector<verdict>> answers;
};

const failure lost = may_have_run(error_code::connection_lost, "x");
const failure refused = not_run(error_code::connection_failed, "x");

}  // namespace

TEST_CASE("a call that is not idempotent is not retried after it may have run") {
  fixture r;
  r.runners.script = {lost};
  r.submit("a", "t", false);
  r.run();
  CHECK(r.runners.sent.size() == 1);
  CHECK(r.answers["a"] == std::vector{verdict::may_have_run});
}

TEST_CASE("a call that was not run is retried on another runner") {
  fixture r;
  r.runners.script = {refused};
  r.submit("a", "t", false);
  r.run();
  CHECK(r.runners.sent == std::vector<std::string>{"r1:a", "r2:a"});
  CHECK(r.answers["a"] == std::vector{verdict::answered});
}

TEST_CASE("an idempotent call is retried, and its verdict covers all tries") {
  fixture r;
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

TEST_CASE("the slot of an abandoned call stays in use until its runner must have ended the call") {
  fixture r;
  r.runners.script = std::deque<failure>(4, lost);
  for (int i = 0; i < 4; ++i) {
    r.submit("a" + std::to_string(i), "t", false);
  }
  r.run();
  r.submit("b", "t", false);
  CHECK(r.work.empty());
  r.time.advance({999});
  r.dispatcher->dispatch_waiting();
  CHECK(r.work.empty());
  r.time.advance(abandoned_call_release_delay);
  r.dispatcher->dispatch_waiting();
  CHECK(r.answers["b"] == std::vector{verdict::not_run});
  r.submit("c", "t", false);
  r.run();
  CHECK(r.answers["c"] == std::vector{verdict::answered});
}

TEST_CASE("the retry budget bounds the number of retries") {
  fixture r;
  r.runners.script = std::deque<failure>(1'000, refused);
  for (int i = 0; i < 20; ++i) {
    r.submit("c" + std::to_string(i), "t", true);
    r.run();
  }
  CHECK(r.runners.sent.size() <= 20 + 10 + 2);
}

TEST_CASE(
    "slots bound the calls sent, teams share them fairly, and excess calls wait or are refused") {
  fixture r;
  for (int i = 0; i < 20; ++i) {
    r.submit("l" + std::to_string(i), "loud", true, 10);
  }
  r.submit("q", "quiet", true);
  CHECK(r.work.size() == 4);
  CHECK(r.dispatcher->counts().refused == 6);
  r.work.front()();
  r.work.pop_front();
  CHECK(r.work.size() == 4);
  r.work.back()();
  CHECK(r.answers["q"] == std::vector{verdict::answered});
}

TEST_CASE("a team's upper limit on concurrent calls is enforced") {
  fixture r;
  r.dispatcher->set_share(team_id("capped"), 1, true);
  r.submit("a", "capped", true);
  r.submit("b", "capped", true);
  CHECK(r.work.size() == 1);
  r.run();
  CHECK(r.answers["b"] == std::vector{verdict::answered});
}

TEST_CASE("a call that gets no slot before its deadline is answered with not_run") {
  fixture r;
  r.time.advance({60'000});
  r.submit("a", "t", false);
  CHECK(r.work.empty());
  r.time.advance({1'000});
  r.dispatcher->dispatch_waiting();
  CHECK(r.answers["a"] == std::vector{verdict::not_run});
  CHECK(r.runners.sent.empty());
}

TEST_CASE("a leaving runner gets no new calls") {
  fixture r;
  runner_host host;
  host.runner = runner_id("r1");
  host.pool = pool_id("p");
  host.leaving = true;
  r.dispatcher->set_runners({host});
  r.submit("a", "t", true);
  CHECK(r.work.empty());
}

}  // namespace monsoonmux
