// A pool of which some of the work takes much longer than what was learned of its queue.

#include <algorithm>
#include <catch2/catch.hpp>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "decide/run_progress.h"
#include "decide/runner_table.h"

namespace monsoonmux::cell {
namespace {

constexpr millis tick{50};
constexpr millis report_interval{500};
constexpr millis learned{1'000};
constexpr std::int64_t long_factor = 12;
constexpr std::size_t slots = 8;  // Of a runner.

// Runners that are full of runs all the time, as far as they take work.
class full_pool {
 public:
  full_pool(int runners, std::uint32_t seed) : random(seed) {
    for (int i = 0; i < runners; ++i) {
      this->runners.push_back({"r" + std::to_string(i), {}, {}});
      runner_entry entry;
      entry.id = this->runners.back().id;
      this->table.update(entry).admitted = true;
    }
  }

  // From now on the runs on this runner stand still.
  void hang(std::size_t index) { this->runners[index].hung_since = this->now; }
  bool takes_work(std::size_t index) {
    return this->table.find(this->runners[index].id)->takes_work(this->now);
  }
  // Returns the least number of runners that took work at any time.
  int run_for(millis time) {
    auto least = static_cast<int>(this->runners.size());
    for (const instant until = this->now + time; this->now < until;) {
      this->now = this->now + tick;
      int taking = 0;
      for (std::size_t i = 0; i < this->runners.size(); ++i) {
        this->end_and_begin_runs(this->runners[i]);
        taking += this->takes_work(i) ? 1 : 0;
      }
      this->table.check_stalled(this->now);
      least = std::min(least, taking);
    }
    return least;
  }

 private:
  struct simulated_run {
    run_key key;
    instant begin;
    millis duration;
    run_progress progress;
  };
  struct simulated_runner {
    std::string id;
    std::vector<simulated_run> runs;
    std::optional<instant> hung_since;
  };

  millis age(const simulated_runner& runner, const simulated_run& run) const {
    const instant to = runner.hung_since.value_or(this->now);
    return std::max(millis{0}, std::min(to, this->now) - run.begin);
  }
  void end_and_begin_runs(simulated_runner& runner) {
    std::erase_if(runner.runs, [&](const simulated_run& run) {
      const bool over = this->age(runner, run) >= run.duration;
      return over && this->table.remove(runner.id, run.key);
    });
    while (runner.runs.size() < slots && this->table.find(runner.id)->takes_work(this->now)) {
      this->begin_run(runner);
    }
    if (this->now.value % report_interval.value == 0) {
      this->report(runner);
    }
  }
  void begin_run(simulated_runner& runner) {
    const bool is_long = this->random() % 3 == 0;
    allocation run;
    run.task = {{job_id("j"), 0, 0}, this->next_task++};
    run.run = 1;
    run.since = this->now;
    run.expected = learned;
    run.expected_is_learned = true;
    this->table.add(runner.id, run);
    runner.runs.push_back(
        {{run.task, 1}, this->now, is_long ? learned * long_factor : learned, {}});
  }
  void report(simulated_runner& runner) {
    for (simulated_run& run : runner.runs) {
      const std::int64_t percent = this->age(runner, run).value * 100 / run.duration.value;
      if (run.progress.note(static_cast<std::int32_t>(percent), this->now)) {
        this->table.note_progress(runner.id, run.key, run.progress.gets_on());
      }
    }
  }

  instant now{1'000'000};
  std::mt19937 random;
  runner_table table;
  std::vector<simulated_runner> runners;
  std::int32_t next_task = 0;
};

TEST_CASE("A pool of which a third of the work takes twelve times as long keeps taking work") {
  constexpr int runners = 12;
  for (std::uint32_t seed = 1; seed <= 10; ++seed) {
    INFO("seed " << seed);
    CHECK(full_pool(runners, seed).run_for(millis{60'000}) == runners);
  }
}

TEST_CASE("A runner that hangs beside long work gets no new work") {
  constexpr int runners = 12;
  // Until the last runs are overdue and the oldest have stood still for a quarter of their age.
  constexpr millis longest_until_found{6'000};
  for (std::uint32_t seed = 1; seed <= 10; ++seed) {
    INFO("seed " << seed);
    full_pool pool(runners, seed);
    pool.run_for(millis{20'000});
    pool.hang(0);
    pool.run_for(longest_until_found);
    CHECK_FALSE(pool.takes_work(0));
    CHECK(pool.run_for(millis{10'000}) == runners - 1);
    CHECK_FALSE(pool.takes_work(0));
  }
}

}  // namespace
}  // namespace monsoonmux::cell
