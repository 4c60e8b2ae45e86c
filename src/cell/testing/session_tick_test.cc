// Ticks of sessions: one that has nothing to do costs almost nothing, and none that has
// something to do is passed over.

#include <array>
#include <catch2/catch.hpp>
#include <random>
#include <string>

#include "cell/testing/session_fixture.h"

namespace monsoonmux::cell {
namespace {

constexpr millis tick{50};  // Of a leader.

// A cell with one daemon, and a job that keeps one run on each of `busy` runners.
struct cell_of_runners {
  cell_of_runners(int runners, int busy) : cell(1, runners, 1) {
    this->cell.loop.run_for(millis{3'000});
    if (busy > 0) {
      job_spec spec = fake_cell::simple_job(busy);
      spec.steps[0].long_running = true;
      spec.steps[0].need = fake_cell::runner_size;
      this->cell.submit(0, "lasting", spec);
    }
    this->cell.loop.run_for(millis{5'000});
  }
  std::int64_t starts() const {
    return this->cell.nodes[0]->metrics.counts_of("starts_sent")["starts_sent"];
  }
  // How often the daemon reads its clock within this time.
  std::int64_t reads(millis duration) {
    const std::int64_t before = this->cell.nodes[0]->time.reads;
    this->cell.loop.run_for(duration);
    return this->cell.nodes[0]->time.reads - before;
  }

  fake_cell cell;
};

constexpr std::int64_t few_runners = 20;
constexpr std::int64_t many_runners = 120;
constexpr std::int64_t ticks = 200;
constexpr std::int64_t ticks_per_read = 2;  // At least, for each runner; its polls included.

TEST_CASE("The clock is not read at each tick for each runner without a run") {
  cell_of_runners few(few_runners, 0);
  cell_of_runners many(many_runners, 0);
  const std::int64_t more = many.reads(tick * ticks) - few.reads(tick * ticks);
  CHECK(more <= (many_runners - few_runners) * ticks / ticks_per_read);
}

TEST_CASE("The clock is not read at each tick for each runner with a run in contact") {
  cell_of_runners few(few_runners, few_runners);
  cell_of_runners many(many_runners, many_runners);
  REQUIRE(few.starts() == few_runners);
  REQUIRE(many.starts() == many_runners);
  const std::int64_t more = many.reads(tick * ticks) - few.reads(tick * ticks);
  CHECK(more <= (many_runners - few_runners) * ticks / ticks_per_read);
}

TEST_CASE("A renewal of the claim costs a session without work one look at the clock") {
  session_fixture f;
  f.commands.report(f.state());
  f.end_all_runs();
  const std::int64_t before = f.time.reads;
  f.session.leases_allowed();
  CHECK(f.time.reads - before <= 1);
}

// A session with its runner, driven by random events.
class driven_session {
 public:
  driven_session(std::uint32_t seed, bool always) : random(seed), ticked_always(always) {}

  void step() {
    constexpr std::uint32_t kinds = 12;
    switch (this->random() % kinds) {
      case 0:
        this->f.start(this->some_task());
        break;
      case 1:
        this->f.session.stop({*parse_task_ref(this->some_task()), 1});
        break;
      case 2:
        this->answer_commands(this->f.commands.start_answers);
        break;
      case 3:
        this->answer_commands(this->f.commands.stop_answers);
        break;
      case 4:
        this->end_some_run();
        break;
      case 5:
        this->f.session.end_stored(this->last_end);
        break;
      case 6:
        this->rarely_restart();
        break;
      case 7:
        this->f.leader.lease_limit = this->f.loop.now() + millis{this->up_to(8'000) - 1'000};
        this->f.session.leases_allowed();
        break;
      default:
        this->answer_poll();
    }
    this->f.loop.run_for(millis{this->up_to(2 * tick.value)});
    if (this->ticked_always || this->f.session.is_due(this->f.loop.now())) {
      this->f.session.tick();
    }
  }

  // All that the session has sent and reported.
  std::string trace() const {
    std::string out;
    for (const poll_request& poll : this->f.commands.polls) {
      out += "poll " + std::to_string(poll.lease_until_ms.value_or(0)) + " " +
             std::to_string(poll.acked_up_to) + " " + std::to_string(poll.wait.value) + "\n";
    }
    for (const start_command& start : this->f.commands.starts) {
      out += "start " + start.task + " " + std::to_string(start.lease_until_ms) + "\n";
    }
    for (const stop_command& stop : this->f.commands.stops) {
      out += "stop " + stop.task + "\n";
    }
    for (const std::string& why : this->f.leader.lost) {
      out += "lost " + why + "\n";
    }
    return out;
  }

 private:
  std::int64_t up_to(std::int64_t most) {
    return static_cast<std::int64_t>(this->random() % static_cast<std::uint32_t>(most + 1));
  }
  std::string some_task() {
    constexpr std::int64_t tasks = 5;
    return "job.0.0." + std::to_string(this->up_to(tasks));
  }
  template <class Answers>
  void answer_commands(Answers& waiting) {
    constexpr std::array statuses{command_status::done, command_status::done,
                                  command_status::unknown, command_status::not_sent,
                                  command_status::refused};
    for (const auto& answer : std::exchange(waiting, {})) {
      const command_status status = statuses[this->random() % statuses.size()];
      answer(
          {status, status == command_status::done ? std::optional(this->f.clock()) : std::nullopt});
    }
  }
  void answer_poll() {
    if (this->f.commands.answers.empty()) {
      return;
    }
    constexpr std::uint32_t fails_one_in = 4;
    if (this->random() % fails_one_in == 0) {
      const auto answer = std::move(this->f.commands.answers.back());
      this->f.commands.answers.pop_back();
      answer({command_status::unknown, {}});
      return;
    }
    poll_report report = this->f.state();
    for (std::int64_t i = this->up_to(3); i > 0; --i) {
      report.running.push_back({this->some_task(), 1, "", 100});
    }
    this->f.commands.report(report);
  }
  void end_some_run() {
    ++this->last_end;
    this->f.listed.push_back({this->last_end, this->some_task(), 1, run_outcome::done, ""});
  }
  void rarely_restart() {
    constexpr std::uint32_t one_in = 8;
    if (this->random() % one_in != 0) {
      return;
    }
    this->f.restart_runner();
    this->f.incarnation = ++this->newest_incarnation;
    this->last_end = 0;
    this->f.list(this->f.incarnation, 0);
  }

  session_fixture f;
  std::mt19937 random;
  const bool ticked_always;
  std::int64_t last_end = 0;
  std::int64_t newest_incarnation = next_incarnation;
};

TEST_CASE("A session that is ticked only when it is due sends what one sends at each tick") {
  constexpr std::uint32_t seeds = 40;
  constexpr int steps = 500;
  for (std::uint32_t seed = 1; seed <= seeds; ++seed) {
    driven_session always(seed, true);
    driven_session when_due(seed, false);
    for (int i = 0; i < steps; ++i) {
      always.step();
      when_due.step();
    }
    INFO("seed " << seed);
    CHECK_FALSE(always.trace().empty());
    CHECK(when_due.trace() == always.trace());
  }
}

}  // namespace
}  // namespace monsoonmux::cell
