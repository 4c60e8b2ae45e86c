// How many attempts a task has, while configurations change and arrive late. Guards against LOST: a
// job was shown as failed after one failed run of four allowed ones.

#include <catch2/catch.hpp>

#include "cell/testing/cell_checks.h"

namespace monsoonmux::cell {
namespace {

const std::string job = "a0";
constexpr std::int32_t attempts = 4;

struct attempts_fixture {
  explicit attempts_fixture(std::uint32_t seed) : cell(3, 4, seed) {
    constexpr millis settle_time{4'000};
    this->cell.loop.run_for(settle_time);
    REQUIRE(this->cell.leader() >= 0);
  }

  fake_sources& leaders_sources() {
    return this->cell.nodes[static_cast<std::size_t>(this->cell.leader())]->sources;
  }
  int other_daemon() const { return this->cell.leader() == 0 ? 1 : 0; }
  void publish_config() {
    this->cell.config.version.value += 1;
    this->cell.store.put("op", "config", std::to_string(this->cell.config.version.value));
    constexpr millis propagation{1'000};
    this->cell.loop.run_for(propagation);
  }
  void set_failure_rate(double rate) {
    for (auto& runner : this->cell.runners) {
      runner->failure_rate = rate;
    }
  }
  // The next run fails, which is decided when it starts; later ones are done.
  void fail_next_run() {
    this->set_failure_rate(1);
    const std::int64_t before = this->cell.history.starts;
    constexpr millis step{50};
    constexpr millis longest{20'000};
    const instant until = this->cell.loop.now() + longest;
    while (this->cell.history.starts == before && this->cell.loop.now() < until) {
      this->cell.loop.run_for(step);
    }
    REQUIRE(this->cell.history.starts > before);
    this->set_failure_rate(0);
  }
  void check_completed() {
    constexpr millis rest{10'000};
    this->cell.loop.run_for(rest);
    CHECK(this->cell.phase(job) == job_phase::completed);
  }

  fake_cell cell;
};

TEST_CASE("A queue that the leader does not know yet has the attempts of the accepting daemon") {
  for (std::uint32_t seed = 1; seed <= 4; ++seed) {
    INFO("seed " << seed);
    attempts_fixture f(seed);
    f.leaders_sources().pinned = f.cell.config;
    queue_config added = f.cell.config.queues.front();
    added.name = queue_id("added");
    added.path_prefix = "/added/";
    added.max_attempts = attempts;
    f.cell.config.queues.push_back(added);
    f.publish_config();
    f.cell.submit(f.other_daemon(), job, fake_cell::simple_job(1), "/added/");
    f.fail_next_run();
    f.check_completed();
  }
}

TEST_CASE("A number of attempts that is raised holds for jobs that are open") {
  for (std::uint32_t seed = 1; seed <= 4; ++seed) {
    INFO("seed " << seed);
    attempts_fixture f(seed);
    f.cell.config.queues.front().max_attempts = 1;
    f.publish_config();
    f.cell.submit(f.other_daemon(), job, fake_cell::simple_job(1));
    f.fail_next_run();
    f.cell.config.queues.front().max_attempts = attempts;
    f.publish_config();
    f.check_completed();
  }
}

TEST_CASE("A job whose queue is removed keeps its attempts over a takeover") {
  for (std::uint32_t seed = 1; seed <= 4; ++seed) {
    INFO("seed " << seed);
    attempts_fixture f(seed);
    job_spec later = fake_cell::simple_job(1);
    constexpr std::int64_t delay_ms = 8'000;
    later.repeat_count = 1;
    later.first_run_ms = f.cell.loop.wall_ms() + delay_ms;
    f.cell.submit(f.other_daemon(), job, later);
    f.cell.loop.run_for(millis{500});
    f.cell.config.queues.clear();
    f.publish_config();
    f.cell.nodes[static_cast<std::size_t>(f.cell.leader())]->kill();
    f.fail_next_run();
    f.check_completed();
  }
}

TEST_CASE("A job that waits keeps the attempts that its leader knew over a takeover") {
  for (std::uint32_t seed = 1; seed <= 4; ++seed) {
    INFO("seed " << seed);
    attempts_fixture f(seed);
    f.cell.config.queues.front().max_attempts = 1;
    f.publish_config();
    const int late = f.other_daemon();
    fake_sources& sources = f.cell.nodes[static_cast<std::size_t>(late)]->sources;
    sources.pinned = f.cell.config;
    f.cell.config.queues.front().max_attempts = attempts;
    f.publish_config();
    job_spec waiting = fake_cell::simple_job(1);
    constexpr std::int64_t delay_ms = 8'000;
    waiting.repeat_count = 1;
    waiting.first_run_ms = f.cell.loop.wall_ms() + delay_ms;
    f.cell.submit(late, job, waiting);
    f.cell.loop.run_for(millis{500});
    sources.pinned.reset();
    f.cell.config.queues.clear();
    f.publish_config();
    f.cell.nodes[static_cast<std::size_t>(f.cell.leader())]->kill();
    f.fail_next_run();
    f.check_completed();
  }
}

}  // namespace
}  // namespace monsoonmux::cell
