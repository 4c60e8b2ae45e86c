#include <catch2/catch.hpp>

#include "journal/log_follower.h"
#include "journal/log_writer.h"
#include "journal/testing/fake_log.h"

namespace monsoonmux {
namespace {

// The log writer, log follower and replica of one daemon, over a fake log.
struct journal_fixture {
  explicit journal_fixture(fake_log& log, const std::string& name = "d",
                           log_service* peer = nullptr)
      : writer(daemon_id(name), 1, log, state, time, {}),
        follower(log, peer == nullptr ? static_cast<log_service&>(unreachable_peer) : *peer, state,
                 time, events, {}) {
    unreachable_peer.down = true;
  }

  void run(fake_log& log, millis span) {
    for (std::int64_t t = 0; t < span.value; t += 10) {
      this->time.advance({10});
      this->writer.tick();
      this->follower.tick();
      log.deliver();
      this->unreachable_peer.deliver();
    }
  }

  fake_clock time;
  null_event_sink events;
  fake_log unreachable_peer;
  replica state;
  log_writer writer;
  log_follower follower;
};

config_patch patch(std::int64_t base, const std::string& team) {
  return {{base}, R"({"teams":{")" + team + R"(":{}}})", "op", 0};
}

// Keeps the last reply to an append and counts the replies.
struct captured_reply {
  int count = 0;
  std::optional<record_outcome> outcome;
  std::optional<verdict> failed;

  reply<record_outcome> callback() {
    return [this](const result<record_outcome>& r) {
      ++this->count;
      if (r.has_value()) {
        this->outcome = r.value();
      } else {
        this->failed = r.error().effect;
      }
    };
  }
};

}  // namespace

TEST_CASE("a record is done when it was read back, and records are batched into one append") {
  fake_log log;
  journal_fixture one(log);
  captured_reply a;
  captured_reply b;
  one.writer.append(patch(0, "x"), never, a.callback());
  one.writer.append(patch(0, "y"), never, b.callback());
  one.run(log, {2'000});
  CHECK(a.outcome == record_outcome::applied);
  CHECK(b.outcome == record_outcome::lost_race);
  CHECK(log.entries.size() == 1);
  CHECK(one.writer.idle());
}

TEST_CASE("an append whose answer was lost takes effect once") {
  fake_log log;
  journal_fixture one(log);
  log.lose_answers = true;
  captured_reply a;
  one.writer.append(patch(0, "x"), never, a.callback());
  one.run(log, {5'000});
  CHECK(a.count == 1);
  CHECK(a.outcome == record_outcome::applied);
  CHECK(one.state.config()->version.value == 1);
}

TEST_CASE("an append retried after an outage takes effect once, in the same order on all daemons") {
  fake_log log;
  journal_fixture one(log);
  journal_fixture two(log, "e");
  log.down = true;
  captured_reply a;
  one.writer.append(patch(0, "x"), never, a.callback());
  one.run(log, {3'000});
  CHECK(a.count == 0);
  log.down = false;
  captured_reply b;
  two.writer.append(patch(0, "y"), never, b.callback());
  two.run(log, {2'000});
  one.run(log, {4'000});
  two.run(log, {2'000});
  CHECK(b.outcome == record_outcome::applied);
  CHECK(a.outcome == record_outcome::lost_race);
  CHECK(one.state.config()->text == two.state.config()->text);
}

TEST_CASE("after its deadline, an unsent record fails with not_run, a sent one with may_have_run") {
  fake_log log;
  journal_fixture one(log);
  log.down = true;
  captured_reply sent;
  captured_reply unsent;
  one.writer.append(patch(0, "x"), one.time.now() + millis{1'000}, sent.callback());
  one.run(log, {100});
  one.writer.append(patch(0, "y"), one.time.now() + millis{1'000}, unsent.callback());
  one.run(log, {2'000});
  CHECK(sent.failed == verdict::may_have_run);
  CHECK(unsent.failed == verdict::not_run);
  log.down = false;
  one.run(log, {5'000});
  CHECK(one.state.config()->doc.teams.count(team_id("x")) == 1);
  CHECK(one.state.config()->doc.teams.count(team_id("y")) == 0);
}

TEST_CASE("a follower continues after entries have expired and after the log became shorter") {
  fake_log log;
  journal_fixture one(log);
  for (int i = 0; i < 3; ++i) {
    one.writer.append(patch(i, "t" + std::to_string(i)), never, nullptr);
    one.run(log, {1'500});
  }
  CHECK(one.state.config()->version.value == 3);
  log.entries.resize(1);
  one.run(log, {2'000});
  CHECK(one.state.config()->version.value == 3);
  CHECK(one.follower.next().value == 1);
  captured_reply a;
  one.writer.append(patch(3, "z"), never, a.callback());
  one.run(log, {2'000});
  CHECK(a.outcome == record_outcome::applied);

  journal_fixture late(log, "late");
  log.first_kept = 1;
  log.entries.push_back(encode({daemon_id("w"), 1, 1, {one.state.make_refresh()}}));
  late.run(log, {2'000});
  CHECK(late.state.config()->version.value == 4);
}

TEST_CASE("a daemon that cannot reach the platform reads from a peer") {
  fake_log log;
  fake_log mirror;
  journal_fixture one(log, "d", &mirror);
  mirror.entries = {encode({daemon_id("w"), 1, 1, {patch(0, "x")}})};
  log.down = true;
  for (int i = 0; i < 300; ++i) {
    mirror.deliver();
    one.run(log, {10});
  }
  CHECK(one.state.config()->version.value == 1);
  CHECK_FALSE(one.follower.platform_reachable());
  CHECK(one.follower.confirmed_at() == instant{});
}

}  // namespace monsoonmux
