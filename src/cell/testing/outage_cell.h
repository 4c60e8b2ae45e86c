#pragma once

#include <catch2/catch.hpp>
#include <functional>
#include <string>
#include <vector>

#include "cell/testing/cell_checks.h"
#include "cell/testing/crash_check.h"
#include "cell/testing/fake_registrar.h"

namespace monsoonmux::cell {

// A cell whose runners' entries lapse, with what outages of its store and losses of its leader
// need.
class outage_cell {
 public:
  static constexpr millis outage{7'000};
  static constexpr millis leader_lost_after{4'000};

  outage_cell(std::uint32_t seed, const daemon_options& options, int runner_count,
              int domain_count = 1)
      : cell(4, runner_count, seed, options, domain_count), registrar(cell, seed) {
    constexpr millis settle_time{4'000};
    this->cell.loop.run_for(settle_time + millis{seed * 170});
    REQUIRE(this->cell.leader() >= 0);
  }

  static job_spec lasting_job(int tasks) {
    job_spec spec = fake_cell::simple_job(tasks);
    spec.steps[0].long_running = true;
    return spec;
  }
  // At the leader, or at any daemon while nobody leads.
  void submit(const std::string& name, const job_spec& spec) {
    this->cell.submit(std::max(0, this->cell.leader()), name, spec);
  }
  // Submits jobs meanwhile, one a second, whose tasks take as long as those of the runners do.
  void pass_with_load(millis span) {
    constexpr millis pause{1'000};
    constexpr int tasks = 3;
    for (millis at{0}; at < span; at += pause) {
      this->submit(job_name(this->submitted++), fake_cell::simple_job(tasks));
      this->cell.loop.run_for(std::min(pause, span - at));
    }
  }

  void begin_outage(millis length = outage) {
    this->led_before = this->cell.leader();
    this->cell.store.down = true;
    this->cell.loop.after(length, [this] { this->cell.store.down = false; });
  }
  // The same for up to a second more or less, so that the leases are over when a successor begins,
  // or a while later.
  void begin_some_outage() {
    constexpr std::int64_t margin_ms = 1'000;
    const millis less{static_cast<std::int64_t>(this->cell.random() % (2 * margin_ms))};
    this->begin_outage(outage + millis{margin_ms} - less);
  }
  // Kills the leader, or who led when the outage began, for half a second.
  void kill_leader() {
    constexpr millis down{500};
    const int index = this->cell.leader() >= 0 ? this->cell.leader() : this->led_before;
    fake_cell::node& n = *this->cell.nodes.at(static_cast<std::size_t>(index));
    n.kill();
    this->cell.loop.after(down, [this, &n] { n.boot(this->cell); });
  }
  void kill_leader_after(millis delay) {
    this->cell.loop.after(delay, [this] { this->kill_leader(); });
  }

  // A cut hides the runner from the store and from all daemons.
  void hide(fake_runner& runner) {
    this->registrar.hidden.insert(runner.entry.id);
    for (const auto& n : this->cell.nodes) {
      runner.partitioned.insert(n->name);
    }
  }
  void reveal(fake_runner& runner) {
    this->registrar.hidden.erase(runner.entry.id);
    runner.partitioned.clear();
  }

  // A cut around a failure domain hides its runners from the store and from all daemons outside.
  void cut_off(const domain_id& domain) {
    this->cell.cut_off(domain);
    for (const auto& runner : this->cell.runners) {
      if (runner->entry.domain == domain) {
        this->registrar.hidden.insert(runner->entry.id);
      }
    }
  }
  void end_cut() {
    this->cell.end_cut();
    this->registrar.hidden.clear();
  }

  bool is_over(const std::string& job) {
    const auto phase = this->cell.phase(job);
    return phase && is_final(*phase);
  }
  void run_until_over(const std::vector<std::string>& jobs, millis longest) {
    constexpr millis step{100};
    const instant until = this->cell.loop.now() + longest;
    const auto over = [this](const std::string& job) { return this->is_over(job); };
    while (this->cell.loop.now() < until && !std::all_of(jobs.begin(), jobs.end(), over)) {
      this->cell.loop.run_for(step);
    }
  }
  // For the end of a play, 5 s after all disruptions: all runners are back, and no lasting task has
  // run for long enough since to have its crashes forgotten.
  void check_calm() {
    constexpr millis calm{3'000};
    this->cell.loop.run_for(calm);
    CHECK(this->registrar.all_listed());
    check_history(this->cell);
    check_crash_counts(this->cell);
  }
  // All that this play counted as crashes, right or wrong, until now.
  std::int64_t counted() const {
    std::int64_t out = 0;
    for (const auto& n : this->cell.nodes) {
      for (const auto& [name, count] : n->metrics.counts_of("crashes_under_tasks")) {
        out += count;
      }
    }
    return out;
  }

  fake_cell cell;
  fake_registrar registrar;

 private:
  int led_before = 0;
  int submitted = 0;
};

// Plays it directly and through agents.
inline void play_outages(std::uint32_t seeds, int runner_count,
                         const std::function<void(outage_cell&, std::uint32_t seed)>& play,
                         int domain_count = 1) {
  for (const bool agents : {false, true}) {
    for (std::uint32_t seed = 1; seed <= seeds; ++seed) {
      INFO("seed " << seed << ", agents " << agents);
      outage_cell f(seed, agents ? through_agents() : fake_cell::short_leases(), runner_count,
                    domain_count);
      play(f, seed);
    }
  }
}

}  // namespace monsoonmux::cell
