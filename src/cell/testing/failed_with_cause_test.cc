// Guards against LOST: a failed end that counts twice, since the leader changes in an outage of the
// store or the answers to its writes are lost.

#include <catch2/catch.hpp>

#include "cell/testing/cell_checks.h"
#include "cell/testing/seeded_plays.h"

namespace monsoonmux::cell {
namespace {

constexpr std::size_t attempts = 4;
constexpr int rounds = 4;
constexpr millis back_after{1'500};  // A daemon that is killed.
constexpr int jobs_per_round = 6;
constexpr millis outage_time{6'000};

job_spec job_of_kind(int i) {
  job_spec spec = fake_cell::simple_job(3);
  spec.steps[0].gang = i % 3 == 0;
  return spec;
}

// The runs of the task, or of its gang, that ended as failed.
std::size_t failures_of(const fake_cell& cell, const std::string& name, const job_spec& spec) {
  std::size_t most = 0;
  std::set<int> of_gang;
  for (int t = 0; t < spec.steps[0].count; ++t) {
    const auto it = cell.history.failed_runs.find(name + ".0.0." + std::to_string(t));
    if (it != cell.history.failed_runs.end()) {
      most = std::max(most, it->second.size());
      of_gang.insert(it->second.begin(), it->second.end());
    }
  }
  return spec.steps[0].gang ? of_gang.size() : most;
}

class outage_play {
 public:
  outage_play(std::uint32_t seed, const daemon_options& options) : cell(4, 6, seed, options) {
    constexpr millis settle_time{4'000};
    this->cell.loop.run_for(settle_time);
    constexpr double failure_rate = 0.6;
    for (auto& runner : this->cell.runners) {
      runner->failure_rate = failure_rate;
    }
  }

  void play() {
    for (int round = 0; round < rounds; ++round) {
      for (int i = 0; i < jobs_per_round; ++i) {
        this->submit(round * jobs_per_round + i);
      }
      this->cell.loop.run_for(millis{300 + this->pick(1'200)});
      this->outage();
      this->cell.loop.run_for(millis{3'000});
    }
    this->cell.store.lost_answers = 0;
    this->cell.store.late_appends = 0;
    this->cell.loop.run_for(millis{60'000});
  }

  void check() {
    for (const auto& [name, submitted] : this->cell.history.jobs) {
      if (!this->cell.accepted.contains(name)) {
        continue;
      }
      INFO(name);
      const auto phase = this->cell.phase(name);
      const std::size_t failures = failures_of(this->cell, name, submitted.spec);
      CHECK(phase.has_value());
      CHECK((phase != job_phase::failed || failures >= attempts));
      CHECK((phase == job_phase::failed || phase == job_phase::completed));
      this->failed += phase == job_phase::failed ? 1 : 0;
    }
    CHECK(this->cell.store.newest_claim_epoch() > rounds);
    check_history(this->cell);
  }
  int failed = 0;  // Jobs that check() found so.

 private:
  std::int64_t pick(std::uint32_t below) {
    return static_cast<std::int64_t>(this->cell.random() % below);
  }

  void submit(int number) {
    if (this->cell.leader() < 0) {
      return;
    }
    const job_spec spec = job_of_kind(number);
    if (spec.steps[0].gang) {
      this->cell.history.gangs[job_name(number) + "."] = spec.steps[0].count;
    }
    this->cell.submit(this->cell.leader(), job_name(number), spec);
  }

  // The leader is killed at any time from the beginning of the outage to a second after its end.
  void outage() {
    constexpr double lost = 0.2;
    this->cell.store.lost_answers = this->pick(2) == 0 ? lost : 0;
    this->cell.store.late_appends = this->pick(3) == 0 ? lost : 0;
    this->cell.store.down = true;
    const millis until_kill{this->pick(7'000)};
    this->cell.loop.after(until_kill, [this] {
      if (this->cell.leader() < 0) {
        return;
      }
      fake_cell::node& killed = *this->cell.nodes[static_cast<std::size_t>(this->cell.leader())];
      killed.kill();
      this->cell.loop.after(back_after, [this, &killed] { killed.boot(this->cell); });
    });
    this->cell.loop.run_for(outage_time);
    this->cell.store.down = false;
    this->cell.loop.run_for(millis{2'000});
  }

  fake_cell cell;
};

void play_outages(std::uint32_t seed, bool with_agents) {
  INFO("seed " << seed << ", agents " << with_agents);
  outage_play p(seed, with_agents ? through_agents() : fake_cell::short_leases());
  p.play();
  p.check();
  CHECK(p.failed > 0);
}

TEST_CASE("A job fails over outages and takeovers only if a task has failed as often as allowed") {
  constexpr std::uint32_t usual_count = 8;
  play_seeds(usual_count, play_outages);
}

}  // namespace
}  // namespace monsoonmux::cell
