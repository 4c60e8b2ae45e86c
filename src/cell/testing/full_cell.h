#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <iostream>
#include <iterator>
#include <set>
#include <string>
#include <utility>

#include "cell/testing/cell_checks.h"
#include "cell/testing/takeover_faults.h"

// Plays in which runners are full and tasks wait: a start is too many for its runner as soon as the
// leader lacks one run there.
namespace monsoonmux::cell {

struct full_cell_options {
  // Starts need tickets, and runners start again under their ids.
  bool with_tickets = false;
  // Draws a job of the open queue. By default each of its tasks needs a core.
  std::function<job_spec(fake_cell&)> draw;
  resources runner_size{millicores{2'000}, mebibytes{4'000}, devices{0}};
  std::string gang_prefix;  // Of the ids of gangs, a third of the jobs; empty: there is none.
};

// What a play has been through.
struct full_cell_figures {
  std::int64_t starts = 0;
  std::int64_t epochs = 0;        // Leaders that claimed.
  std::int64_t foreign_runs = 0;  // Runs that a leader found without knowing of them.
  std::int64_t preempted = 0;     // Runs stopped for more urgent work.
  std::int64_t full_looks = 0;    // Looks at runners that had no room for a core more ...
  std::int64_t looks = 0;         // ... of so many.
  std::int64_t plays = 0;

  full_cell_figures& operator+=(const full_cell_figures& other) {
    this->starts += other.starts;
    this->epochs += other.epochs;
    this->foreign_runs += other.foreign_runs;
    this->preempted += other.preempted;
    this->full_looks += other.full_looks;
    this->looks += other.looks;
    this->plays += other.plays;
    return *this;
  }
};

class full_cell {
 public:
  static constexpr const char* urgent_path = "/urgent/";
  static constexpr int gang_size = 3;

  full_cell(std::uint32_t seed, bool with_agents, full_cell_options given)
      : options(std::move(given)),
        cell(daemons, runners, seed, with_agents ? through_agents() : daemon_options{}),
        faults(cell, options.with_tickets) {
    this->add_urgent_queue();
    for (auto& runner : this->cell.runners) {
      runner->entry.capacity = this->options.runner_size;
      runner->gang_time = millis{800};
    }
    if (this->options.with_tickets) {
      this->require_tickets();
    }
    if (!this->options.gang_prefix.empty()) {
      this->cell.history.gangs[this->options.gang_prefix] = gang_size;
    }
    this->cell.loop.run_for(boot_time);
    this->set_run_times();
  }

  void play() {
    constexpr int ticks = 120;  // 30 s.
    constexpr millis tick{250};
    const auto fault_every = 4U << (this->cell.random() % 3);
    for (int i = 0; i < ticks; ++i) {
      this->submit_while_short(i);
      if (this->cell.random() % 8 == 0) {
        this->cancel_one();
      }
      if (this->cell.random() % fault_every == 0) {
        this->faults.inject();
      }
      this->cell.loop.run_for(tick);
      this->look();
    }
    this->faults.end();
    for (auto& runner : this->cell.runners) {
      runner->task_time = millis{300};
      runner->long_rate = 0;
    }
    this->settle();
    this->count();
  }

  void check() {
    check_history(this->cell);
    for (const std::string& id : this->cell.accepted) {
      INFO(id);
      const auto phase = this->cell.phase(id);
      const bool over = phase == job_phase::completed || phase == job_phase::failed;
      const bool ended = over || this->cancelled.contains(id);
      CHECK(ended);
    }
    REQUIRE(this->figures.starts > 0);
  }

  full_cell_figures figures;

 private:
  static constexpr int daemons = 5;
  static constexpr int runners = 4;
  static constexpr std::size_t most_open_tasks = 24;

  // Resumable work of the open queue makes way for that of this one.
  void add_urgent_queue() {
    queue_config& open = this->cell.config.queues.front();
    queue_config queue = open;
    queue.name = queue_id("urgent");
    queue.path_prefix = urgent_path;
    open.priority = 3;
    open.target_latency = millis{60'000};
    this->cell.config.queues.push_back(queue);
  }
  void require_tickets() {
    constexpr double per_call_ms = 20;
    constexpr double per_runner_ms = 2;
    constexpr millis ticket_lifetime{1'500};
    this->cell.add_advice_to_all_queues({per_call_ms, per_runner_ms, ticket_lifetime});
  }
  void set_run_times() {
    constexpr int longest_ms = 4'000;
    constexpr int slowest_stop_ms = 900;  // As the platform allows.
    for (auto& runner : this->cell.runners) {
      const auto roll = static_cast<std::int64_t>(this->cell.random() % longest_ms);
      runner->task_time = millis{300 + roll};
      runner->long_rate = this->cell.random() % 2 == 0 ? 0.1 : 0;
      runner->long_time = millis{20'000};
      runner->stop_time =
          millis{static_cast<std::int64_t>(50 + this->cell.random() % (slowest_stop_ms - 50))};
      runner->clock_rate = this->cell.random() % 2 == 0 ? 0.98 : 1.0;
      runner->failure_rate = 0.03;
    }
  }

  job_spec draw_job() {
    if (this->options.draw) {
      return this->options.draw(this->cell);
    }
    return fake_cell::simple_job(1 + static_cast<int>(this->cell.random() % 4));
  }
  // The accepted tasks of jobs that nobody tried to cancel, without those that are done.
  std::size_t open_tasks() const {
    std::size_t accepted = 0;
    for (const std::string& id : this->cell.accepted) {
      const job_spec& spec = this->cell.history.jobs.at(id).spec;
      accepted += this->cancelled.contains(id) ? 0 : static_cast<std::size_t>(spec.steps[0].count);
    }
    const std::size_t over = this->cell.history.done.size();
    return accepted > over ? accepted - over : 0;
  }
  void submit_while_short(int number) {
    if (this->open_tasks() >= most_open_tasks) {
      return;
    }
    const int daemon = static_cast<int>(this->cell.random() % daemons);
    const auto kind = this->cell.random() % 6;
    job_spec spec = this->draw_job();
    if (!this->options.gang_prefix.empty() && kind < 2) {
      spec.steps[0].count = gang_size;
      spec.steps[0].gang = true;
      this->cell.submit(daemon, this->options.gang_prefix + std::to_string(number), spec, "/q/");
    } else if (kind == 2) {
      spec.steps[0].count = 1;
      spec.steps[0].need = this->options.runner_size;
      this->cell.submit(daemon, "urgent" + std::to_string(number), spec, urgent_path);
    } else {
      spec.steps[0].checkpoints = true;
      this->cell.submit(daemon, job_name(number), spec, "/q/");
    }
  }

  void cancel_one() {
    const std::set<std::string>& all = this->cell.accepted;
    const auto at = this->cell.random() % this->cell.nodes.size();
    fake_cell::node& n = *this->cell.nodes[at];
    if (all.empty() || !n.daemon) {
      return;
    }
    const auto chosen =
        std::next(all.begin(), static_cast<std::ptrdiff_t>(this->cell.random() % all.size()));
    const std::string id = *chosen;
    const std::string path = id.starts_with("urgent") ? urgent_path : "/q/";
    const auto from = n.daemon->handler().identify("h", path + id, "");
    if (from.has_error() || !this->cancelled.insert(id).second) {
      return;
    }
    constexpr millis deadline{1'000};
    n.daemon->handler().cancel(from.value(), job_id(id), this->cell.loop.now() + deadline,
                               [](const result<bool>&) {});
  }

  void look() {
    constexpr resources core{millicores{1'000}, mebibytes{100}, devices{0}};
    for (const auto& runner : this->cell.runners) {
      const std::string& id = runner->entry.id;
      if (!runner->up || !this->cell.history.on_runner.contains(id)) {
        continue;
      }
      ++this->figures.looks;
      const resources used = this->cell.history.used_on(id);
      this->figures.full_looks += (used + core).fits(runner->entry.capacity) ? 0 : 1;
    }
  }
  bool all_over() {
    return std::all_of(this->cell.accepted.begin(), this->cell.accepted.end(),
                       [this](const std::string& id) {
                         const auto phase = this->cell.phase(id);
                         return !phase || phase == job_phase::completed ||
                                phase == job_phase::failed || phase == job_phase::cancelled;
                       });
  }
  void settle() {
    constexpr millis settle_step{10'000};
    constexpr int most_steps = 12;
    for (int i = 0; i < most_steps && (i == 0 || !this->all_over()); ++i) {
      this->cell.loop.run_for(settle_step);
    }
  }
  void count() {
    this->figures.plays = 1;
    this->figures.starts = this->cell.history.starts;
    this->figures.epochs = this->cell.store.newest_claim_epoch();
    for (const auto& n : this->cell.nodes) {
      this->figures.foreign_runs += n->metrics.counts_of("foreign_runs")["foreign_runs"];
      this->figures.preempted += n->metrics.counts_of("runs_preempted")["runs_preempted"];
    }
  }

  const full_cell_options options;
  fake_cell cell;
  takeover_faults faults;
  std::set<std::string> cancelled;  // Jobs that someone tried to cancel.
};

inline full_cell_figures play_full_cell(std::uint32_t seed, bool with_agents,
                                        const full_cell_options& options) {
  INFO("seed " << seed << (with_agents ? ", through agents" : ""));
  full_cell cell(seed, with_agents, options);
  cell.play();
  cell.check();
  return cell.figures;
}

// Checks that the plays were what they are meant to be, and prints their figures.
inline void check_figures(const full_cell_figures& sum) {
  std::cout << sum.plays << " plays: " << sum.starts << " starts, " << sum.epochs << " leaders, "
            << sum.foreign_runs << " foreign runs, " << sum.preempted << " preempted, "
            << sum.full_looks << " of " << sum.looks << " looks found a full runner\n";
  constexpr std::int64_t enough_plays = 10;
  if (sum.plays >= enough_plays) {
    CHECK(sum.full_looks * 4 > sum.looks);
    CHECK(sum.epochs > 4 * sum.plays);
    CHECK(sum.preempted > 0);
  }
}

}  // namespace monsoonmux::cell
