// Runners execute calls and lose the answers, for seconds at a time, on full runners whose steps
// have limits, beside commands that are executed late and leaders that are killed.

#include <algorithm>
#include <catch2/catch.hpp>
#include <iostream>

#include "cell/testing/cell_checks.h"
#include "cell/testing/crash_check.h"
#include "cell/testing/seeded_plays.h"

namespace monsoonmux::cell {
namespace {

const std::string limited_prefix = "limited";

// What the plays of a test have been through.
struct lost_answer_figures {
  std::int64_t plays = 0;
  std::int64_t starts = 0;
  std::int64_t lost = 0;  // Calls that were executed, and their answers lost.
  std::int64_t epochs = 0;
  std::int64_t foreign_runs = 0;
  std::int64_t two_runs = 0;
  std::int64_t over_limit = 0;
};

lost_answer_figures figures;

class lost_answer_play {
 public:
  lost_answer_play(std::uint32_t seed, bool with_agents, bool with_tickets)
      : cell(daemons, runners, seed, with_agents ? through_agents() : daemon_options{}),
        random(cell.random),
        with_late_commands(seed % 2 == 0),
        kills_leaders(seed % 4 >= 2),
        delays_little(seed % 8 >= 4) {
    this->cell.add_limited_team();
    this->cell.history.limits[limited_prefix] = tasks_in_limit;
    if (with_tickets) {
      this->require_tickets();
    }
    this->cell.loop.run_for(boot_time);
    this->vary_runners();
  }

  void play() {
    constexpr int ticks = 120;  // 30 s.
    constexpr millis tick{250};
    for (int i = 0; i < ticks; ++i) {
      this->submit_while_short(i);
      this->trouble_runners();
      if (this->kills_leaders && this->random() % 20 == 0) {
        this->kill_leader();
      }
      this->cell.loop.run_for(tick);
    }
    this->end_trouble();
    this->settle();
    this->count();
  }

  void check() {
    check_history(this->cell);
    check_crash_counts(this->cell);
    for (const std::string& id : this->cell.accepted) {
      INFO(id);
      CHECK(this->is_over(id));
    }
    for (const std::string& id : this->cell.refused) {
      INFO(id);
      CHECK((this->cell.accepted.contains(id) || !this->cell.phase(id).has_value()));
    }
    REQUIRE(this->cell.history.starts > 0);
    REQUIRE(this->lost() > 0);
  }

 private:
  static constexpr int daemons = 4;
  static constexpr int runners = 6;
  static constexpr std::size_t most_open_tasks = 40;
  static constexpr int tasks_in_limit = static_cast<int>(fake_cell::team_limit.value / 1'000);

  millis between(int shortest_ms, int longest_ms) {
    const auto span = static_cast<std::uint32_t>(longest_ms - shortest_ms);
    return millis{shortest_ms + static_cast<std::int64_t>(this->random() % span)};
  }
  double between(double lowest, double highest) {
    return std::uniform_real_distribution<double>(lowest, highest)(this->random);
  }

  void require_tickets() {
    constexpr double per_call_ms = 20;
    constexpr double per_runner_ms = 2;
    constexpr millis ticket_lifetime{1'500};
    this->cell.add_advice_to_all_queues({per_call_ms, per_runner_ms, ticket_lifetime});
  }
  void vary_runners() {
    for (auto& runner : this->cell.runners) {
      runner->task_time = this->between(300, 4'000);
      runner->long_rate = this->random() % 2 == 0 ? 0.1 : 0;
      runner->long_time = millis{15'000};
      runner->stop_time = this->between(50, 900);
      runner->clock_rate = this->random() % 2 == 0 ? 0.98 : 1.0;
      runner->failure_rate = 0.03;
      if (this->delays_little) {
        runner->shortest_delay = millis{100};
        runner->delay_span = millis{2'000};
      }
    }
  }

  std::size_t open_tasks() const {
    std::size_t accepted = 0;
    for (const std::string& id : this->cell.accepted) {
      accepted += static_cast<std::size_t>(this->cell.history.jobs.at(id).spec.steps[0].count);
    }
    const std::size_t over = this->cell.history.done.size();
    return accepted > over ? accepted - over : 0;
  }
  void submit_while_short(int number) {
    if (this->open_tasks() >= most_open_tasks) {
      return;
    }
    const auto daemon = static_cast<int>(this->random() % daemons);
    job_spec spec = fake_cell::simple_job(2 + static_cast<int>(this->random() % 5));
    switch (number % 4) {
      case 0:
        spec.steps[0].need.cpu = millicores{2'000};
        break;
      case 1:
        this->cell.submit_limited(daemon, limited_prefix + std::to_string(number), spec);
        return;
      default:
        spec.steps[0].anti_affinity = 1 + static_cast<std::int32_t>(this->random() % 2);
        break;
    }
    this->cell.submit(daemon, job_name(number), spec);
  }

  void trouble_runners() {
    for (auto& runner : this->cell.runners) {
      if (runner->lost_answers == 0 && this->random() % 8 == 0) {
        this->lose_answers(*runner);
      }
      if (this->with_late_commands && runner->late_commands == 0 && this->random() % 24 == 0) {
        this->delay_commands(*runner);
      }
    }
  }
  void lose_answers(fake_runner& runner) {
    runner.lost_answers = this->between(0.3, 0.6);
    runner.closes_unanswered = this->random() % 4 != 0;
    this->cell.loop.after(this->between(1'000, 5'000), [&runner] { runner.lost_answers = 0; });
  }
  void delay_commands(fake_runner& runner) {
    runner.late_commands = this->between(0.1, 0.4);
    this->cell.loop.after(this->between(500, 3'000), [&runner] { runner.late_commands = 0; });
  }
  void kill_leader() {
    const int index = this->cell.leader();
    if (index < 0) {
      return;
    }
    fake_cell::node& n = *this->cell.nodes[static_cast<std::size_t>(index)];
    n.kill();
    this->cell.loop.after(this->between(300, 3'000), [this, &n] { n.boot(this->cell); });
  }
  void end_trouble() {
    constexpr millis longest_trouble{5'000};
    this->cell.loop.run_for(longest_trouble);
    for (auto& runner : this->cell.runners) {
      runner->task_time = millis{300};
      runner->long_rate = 0;
    }
  }

  bool is_over(const std::string& id) {
    const auto phase = this->cell.phase(id);
    return phase == job_phase::completed || phase == job_phase::failed;
  }
  void settle() {
    constexpr millis settle_step{5'000};
    constexpr int most_steps = 16;
    const auto over = [this](const std::string& id) { return this->is_over(id); };
    for (int i = 0; i < most_steps; ++i) {
      this->cell.loop.run_for(settle_step);
      if (std::all_of(this->cell.accepted.begin(), this->cell.accepted.end(), over)) {
        return;
      }
    }
  }
  std::int64_t lost() const {
    std::int64_t out = 0;
    for (const auto& n : this->cell.nodes) {
      out += n->commands.lost;
    }
    return out;
  }
  void count() {
    ++figures.plays;
    figures.starts += this->cell.history.starts;
    figures.lost += this->lost();
    figures.epochs += this->cell.store.newest_claim_epoch();
    for (const auto& n : this->cell.nodes) {
      figures.foreign_runs += n->metrics.counts_of("foreign_runs")["foreign_runs"];
      figures.two_runs += n->metrics.counts_of("tasks_with_two_runs")["tasks_with_two_runs"];
      figures.over_limit += n->metrics.counts_of("steps_over_limit")["steps_over_limit"];
    }
  }

  fake_cell cell;
  std::mt19937& random;
  const bool with_late_commands;
  const bool kills_leaders;
  const bool delays_little;
};

void play_lost_answers(std::uint32_t seed, bool with_agents, bool with_tickets) {
  INFO("seed " << seed << (with_agents ? ", through agents" : ""));
  lost_answer_play play(seed, with_agents, with_tickets);
  play.play();
  play.check();
}

void play_all(void (*play)(std::uint32_t seed, bool with_agents)) {
  constexpr std::uint32_t usual_count = 8;
  figures = {};
  play_seeds(usual_count, play);
  std::cout << figures.plays << " plays: " << figures.starts << " starts, " << figures.lost
            << " answers lost, " << figures.epochs << " leaders, " << figures.foreign_runs
            << " foreign runs, " << figures.two_runs << " of them second runs of their tasks, "
            << figures.over_limit << " beyond the limit of their steps\n";
}

TEST_CASE("No start whose answer is lost runs twice, beyond a limit or never") {
  play_all(
      [](std::uint32_t seed, bool with_agents) { play_lost_answers(seed, with_agents, false); });
}

TEST_CASE("No start with a ticket whose answer is lost runs twice, beyond a limit or never") {
  play_all(
      [](std::uint32_t seed, bool with_agents) { play_lost_answers(seed, with_agents, true); });
}

}  // namespace
}  // namespace monsoonmux::cell
