// Tasks that last on runners that go while commands with a lease have no answer: no second run
// begins before the lease of the first has ended if those commands come late (TWICE), and one
// begins in time if they never do (LOST).

#include <catch2/catch.hpp>

#include "cell/testing/cell_checks.h"
#include "cell/testing/run_observer.h"
#include "cell/testing/seeded_plays.h"
#include "cell/testing/session_fixture.h"

namespace monsoonmux::cell {
namespace {

const std::string lasting_job_name = "lasting";
const std::string lasting_task = lasting_job_name + ".0.0.0";

job_spec lasting_job(int tasks) {
  job_spec spec = fake_cell::simple_job(tasks);
  spec.steps[0].long_running = true;
  return spec;
}

daemon_options options_of(bool with_agents) {
  return with_agents ? through_agents() : daemon_options{};
}

void cut_off_from_all(fake_cell& cell, fake_runner& runner) {
  for (const auto& n : cell.nodes) {
    runner.partitioned.insert(n->name);
  }
}

fake_runner* runner_of(fake_cell& cell, const std::string& task) {
  for (auto& runner : cell.runners) {
    if (runner->up && cell.history.on_runner[runner->entry.id].contains(task)) {
      return runner.get();
    }
  }
  return nullptr;
}

enum class leader_fate { kept, lost };

struct late_lease_play {
  millis delay;       // Of the late command.
  millis before_cut;  // From when commands are late to the cut.
  leader_fate fate = leader_fate::kept;
};

// The holder of a task that lasts executes a poll late, and is cut off from all while the poll has
// no answer, and runs on.
void play(const late_lease_play& given, bool with_agents) {
  INFO("delay " << given.delay.value << ", cut after " << given.before_cut.value
                << (with_agents ? ", through agents" : "")
                << (given.fate == leader_fate::lost ? ", leader lost" : ""));
  constexpr millis start_time{3'500};
  constexpr millis cut_time{9'000};
  constexpr millis settle_time{6'000};
  fake_cell cell(3, 3, 1, options_of(with_agents));
  cell.loop.run_for(boot_time);
  cell.submit(0, lasting_job_name, lasting_job(1));
  cell.loop.run_for(start_time);
  fake_runner* const holder = runner_of(cell, lasting_task);
  REQUIRE(holder != nullptr);
  holder->late_polls = 1;
  holder->shortest_delay = given.delay;
  holder->delay_span = millis{1};
  cell.loop.run_for(given.before_cut);
  cut_off_from_all(cell, *holder);
  const int leader = cell.leader();
  if (given.fate == leader_fate::lost && leader >= 0) {
    cell.nodes[static_cast<std::size_t>(leader)]->kill();
  }
  cell.loop.run_for(cut_time);
  holder->late_polls = 0;
  holder->partitioned.clear();
  cell.loop.run_for(settle_time);
  check_history(cell);
}

void play_late_leases(leader_fate fate) {
  constexpr millis step{250};
  for (const bool with_agents : {false, true}) {
    for (millis delay{2'000}; delay <= millis{6'000}; delay += step * 2) {
      for (millis before_cut{50}; before_cut < millis{2'600}; before_cut += step) {
        play({delay, before_cut, fate}, with_agents);
      }
    }
  }
}

// Guards against review/6: a run that lasts was given up although a lease without an answer could
// still extend it behind a cut.
TEST_CASE("A lasting task has one run at a time when its lease comes late behind a cut") {
  play_late_leases(leader_fate::kept);
}

// The same where the leader is lost when the cut begins.
TEST_CASE("A lasting task has one run at a time when its late lease is a lost leader's") {
  play_late_leases(leader_fate::lost);
}

// Records for how long tasks of the job that lasts were without a run.
class gap_observer final : public run_observer {
 public:
  explicit gap_observer(const clock& time) : time(time) {}

  void run_began(const std::string& task) override {
    if (!task.starts_with(lasting_job_name)) {
      return;
    }
    if (this->running[task]++ > 0 || !this->ended.contains(task)) {
      return;
    }
    this->longest = std::max(this->longest, this->time.now() - this->ended.at(task));
  }
  void run_ended(const std::string& task) override {
    if (task.starts_with(lasting_job_name) && --this->running[task] == 0) {
      this->ended[task] = this->time.now();
    }
  }
  millis longest_gap() const { return this->longest; }
  // Tasks that have no run now.
  int idle() const {
    return static_cast<int>(std::count_if(this->running.begin(), this->running.end(),
                                          [](const auto& entry) { return entry.second == 0; }));
  }

 private:
  const clock& time;
  std::map<std::string, int> running;
  std::map<std::string, instant> ended;
  millis longest{0};
};

// From the end of its last run until a task that lasts has to run again (RULES, LOST).
constexpr millis longest_gap{9'000};

// A runner is lost, for good or silently, while starts and polls to it are under way.
void play_loss_under_load(std::uint32_t seed, bool with_agents) {
  INFO("seed " << seed << (with_agents ? ", through agents" : ""));
  constexpr int runners = 6;
  constexpr int lasting_tasks = 6;
  constexpr int most_short_jobs = 40;
  constexpr millis restart_time{12'000};
  fake_cell cell(3, runners, seed, options_of(with_agents));
  gap_observer gaps(cell.loop);
  cell.history.observer = &gaps;
  for (auto& runner : cell.runners) {
    runner->slow_link = millis{40};
  }
  cell.loop.run_for(boot_time);
  cell.submit(0, lasting_job_name, lasting_job(lasting_tasks));
  cell.loop.run_for(millis{2'500});
  const auto loss_at = static_cast<int>(10 + cell.random() % 20);
  for (int i = 0; i < most_short_jobs; ++i) {
    cell.submit(static_cast<int>(cell.random() % 3), job_name(i), fake_cell::simple_job(2));
    cell.loop.run_for(millis{50 + static_cast<std::int64_t>(cell.random() % 100)});
    if (i != loss_at) {
      continue;
    }
    fake_runner* const lost = runner_of(cell, lasting_task);
    REQUIRE(lost != nullptr);
    lost->crash();
    if (cell.random() % 2 == 0) {
      cut_off_from_all(cell, *lost);
    }
  }
  cell.loop.run_for(restart_time);
  CHECK(gaps.idle() == 0);
  CHECK(gaps.longest_gap().value <= longest_gap.value);
  check_history(cell);
}

// Guards against a wait for commands in doubt that a runner which has gone will never execute.
TEST_CASE("A lasting task runs again in time when its runner is lost with commands under way") {
  play_seeds(60, play_loss_under_load);
}

// A session whose runner has one run that lasts, and renews its lease.
struct lasting_fixture : session_fixture {
  lasting_fixture() {
    this->session.recover({*parse_task_ref(long_task), 1}, first_incarnation, true);
    this->commands.report(this->state());
    this->pass(millis{2'000});
  }
  // The runner answers all that is sent.
  void pass(millis duration) {
    constexpr millis step{20};
    for (millis passed{0}; passed < duration; passed += step) {
      this->answer_all();
      this->loop.run_for(step);
      this->session.tick();
    }
  }
  // The runner answers all that is sent until the session renews the lease.
  void pass_until_renewal() {
    constexpr int most_steps = 1'000;
    for (int i = 0; i < most_steps && !this->renewal_under_way(); ++i) {
      this->loop.run_for(millis{10});
      this->session.tick();
      if (!this->renewal_under_way()) {
        this->answer_all();
      }
    }
    REQUIRE(this->renewal_under_way());
  }
  bool renewal_under_way() const {
    return !this->commands.answers.empty() && this->last_poll().lease_until_ms.has_value();
  }
  void answer_all() {
    for (const auto& answer : std::exchange(this->commands.answers, {})) {
      answer({command_status::done, this->state()});
    }
    for (const auto& answer : std::exchange(this->commands.start_answers, {})) {
      answer({command_status::done, this->clock()});
    }
  }
  // Nothing gets an answer from now on. Returns after how long the run is given up.
  millis until_given_up() {
    const instant silent_since = this->loop.now();
    constexpr millis step{20};
    constexpr millis longest{40'000};
    for (millis passed{0}; passed < longest && this->leader.lost.empty(); passed += step) {
      for (const auto& answer : std::exchange(this->commands.answers, {})) {
        answer({command_status::unknown, {}});
      }
      for (const auto& answer : std::exchange(this->commands.start_answers, {})) {
        answer({command_status::unknown, {}});
      }
      this->loop.run_for(step);
      this->session.tick();
    }
    return this->loop.now() - silent_since;
  }
  // How much of the longest lease that was granted is left, by the runner's clock.
  millis lease_left() const {
    std::int64_t until = 0;
    for (const poll_request& poll : this->commands.polls) {
      until = std::max(until, poll.lease_until_ms.value_or(0));
    }
    for (const start_command& start : this->commands.starts) {
      until = std::max(until, start.lease_until_ms);
    }
    return millis{until - this->clock()};
  }
};

// From the last answer of a runner until its runs that last are given up; a start takes the rest of
// the 9 s.
constexpr millis longest_wait{8'700};

TEST_CASE("A run that lasts is given up in time when its runner goes with a renewal under way") {
  lasting_fixture f;
  f.pass_until_renewal();
  const millis lease{*f.last_poll().lease_until_ms - f.clock()};
  const millis before = f.lease_left();
  const millis wait = f.until_given_up();
  CHECK(wait <= longest_wait);
  CHECK(wait >= before);
  CHECK(wait >= lease);
}

TEST_CASE("A run that lasts is not given up before a late renewal may have ended") {
  lasting_fixture f;
  f.pass_until_renewal();
  const millis renewed_for{*f.last_poll().lease_until_ms - f.clock()};
  f.commands.polls.pop_back();
  // It is executed just before the lease by the answered commands ends.
  const millis latest_end = f.lease_left() + renewed_for;
  CHECK(f.until_given_up() >= latest_end);
}

TEST_CASE("A run that lasts is given up in time when its runner goes with starts under way") {
  const int starts = GENERATE(1, 2, 3, 10);
  const bool beside_renewal = GENERATE(false, true);
  INFO(starts << " starts" << (beside_renewal ? " beside a renewal" : ""));
  lasting_fixture f;
  f.pass_until_renewal();
  if (!beside_renewal) {
    f.answer_all();
  }
  for (int i = 0; i < starts; ++i) {
    f.start("job.0.0." + std::to_string(i));
  }
  REQUIRE((beside_renewal || !f.commands.starts.empty()));
  CHECK(f.until_given_up() <= longest_wait);
}

TEST_CASE("Starts beside a run that lasts are all sent once others are answered") {
  constexpr int starts = 10;
  lasting_fixture f;
  for (int i = 0; i < starts; ++i) {
    f.start("job.0.0." + std::to_string(i));
  }
  for (int i = 0; i < starts; ++i) {
    for (const auto& answer : std::exchange(f.commands.start_answers, {})) {
      answer({command_status::done, f.clock()});
    }
  }
  CHECK(f.commands.starts.size() == starts);
  CHECK(f.leader.lost.empty());
}

TEST_CASE("The lease of a runner that answers never runs short beside a run that lasts") {
  constexpr millis shortest{2'500};
  lasting_fixture f;
  for (int i = 0; i < 1'000; ++i) {
    f.pass(millis{20});
    if (i % 7 == 0) {
      f.start("job.0.0." + std::to_string(i));
    }
    REQUIRE(f.lease_left() >= shortest);
  }
}

}  // namespace
}  // namespace monsoonmux::cell
