// Guards against LOST: a daemon says that an accepted job does not exist, from a table that is not
// read to its end or out of date.

#include <catch2/catch.hpp>

#include "cell/testing/cell_checks.h"
#include "cell/testing/seeded_plays.h"

namespace monsoonmux::cell {
namespace {

constexpr int rounds = 4;
constexpr millis back_after{1'500};  // A daemon that is killed.
constexpr millis visible_after{3'000};

class known_job_play {
 public:
  known_job_play(std::uint32_t seed, const daemon_options& options) : cell(6, 4, seed, options) {
    constexpr millis settle_time{4'000};
    this->cell.loop.run_for(settle_time);
  }

  void play() {
    for (int round = 0; round < rounds; ++round) {
      this->cell.store.down = this->pick(2) == 0;
      const std::size_t first_cut = this->pick(this->cell.nodes.size());
      for (std::size_t i = first_cut; i < this->cell.nodes.size(); ++i) {
        this->cell.store.partitioned.insert(this->cell.nodes[i]->name);
        this->cell.isolated.insert(this->cell.nodes[i]->name);
      }
      this->kill_later();
      constexpr millis outage_time{6'000};
      this->pass(outage_time);
      this->cell.store.down = false;
      this->cell.store.partitioned.clear();
      this->cell.isolated.clear();
      this->pass(outage_time);
    }
    CHECK(this->asked > 0);
    CHECK(this->cell.accepted.size() > rounds);
    check_history(this->cell);
  }

 private:
  std::size_t pick(std::size_t below) { return this->cell.random() % below; }

  void kill_later() {
    const millis until_kill{static_cast<std::int64_t>(this->pick(8'000))};
    const std::size_t killed = this->pick(this->cell.nodes.size());
    this->cell.loop.after(until_kill, [this, killed] {
      fake_cell::node& node = *this->cell.nodes[killed];
      if (node.daemon) {
        node.kill();
        this->cell.loop.after(back_after, [this, &node] { node.boot(this->cell); });
      }
    });
  }
  void pass(millis span) {
    constexpr millis step{100};
    constexpr int steps_per_job = 5;
    for (millis at{0}; at < span; at = at + step) {
      if (++this->steps % steps_per_job == 0) {
        this->cell.submit(static_cast<int>(this->pick(this->cell.nodes.size())),
                          job_name(this->steps), fake_cell::simple_job(1));
      }
      this->cell.loop.run_for(step);
      this->check();
    }
  }
  void check() {
    const instant now = this->cell.loop.now();
    for (const std::string& job : this->cell.accepted) {
      const instant accepted = this->accepted_at.try_emplace(job, now).first->second;
      for (const auto& node : this->cell.nodes) {
        if (!node->daemon || now - accepted < visible_after) {
          continue;
        }
        const auto phase = node->daemon->handler().phase_of(job_id(job));
        INFO(job << " at " << node->name << " at " << now.value);
        CHECK((phase.has_error() || phase.value().has_value()));
        ++this->asked;
      }
    }
  }

  fake_cell cell;
  std::map<std::string, instant> accepted_at;
  int steps = 0;
  std::int64_t asked = 0;
};

void play_known_jobs(std::uint32_t seed, bool with_agents) {
  INFO("seed " << seed << ", agents " << with_agents);
  known_job_play p(seed, with_agents ? through_agents() : fake_cell::short_leases());
  p.play();
}

TEST_CASE("No daemon says that an accepted job does not exist, in and after outages of the store") {
  constexpr std::uint32_t usual_count = 4;
  play_seeds(usual_count, play_known_jobs);
}

}  // namespace
}  // namespace monsoonmux::cell
