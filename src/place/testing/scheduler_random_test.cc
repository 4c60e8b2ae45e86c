// Drives the scheduler through seeded random schedules, keeps an independent
// record of all allocations, and checks after every round that the two agree and
// that every guarantee holds.

#include <catch2/catch.hpp>
#include <map>
#include <random>

#include "place/testing/units.h"

namespace monsoonmux {
namespace {

constexpr unsigned seeds = 1'500;
constexpr int rounds = 40;
constexpr int workers = 4;
constexpr int teams = 3;

struct task_allocation {
  worker_id worker;
  team_id team;
  resources amount;
};

// The oracle: all allocations, summed anew for each check.
class expected_allocations {
 public:
  void start(const task_start& t, const pending_unit& unit) {
    const bool fresh =
        this->tasks.emplace(t.task, task_allocation{t.worker, unit.team, unit.per_task}).second;
    REQUIRE(fresh);
  }
  void end(const task_id& t) { this->tasks.erase(t); }
  resources on_worker(const worker_id& w) const {
    resources sum;
    for (const auto& [id, allocation] : this->tasks) {
      sum += allocation.worker == w ? allocation.amount : resources{};
    }
    return sum;
  }
  resources of_team(const team_id& t) const {
    resources sum;
    for (const auto& [id, allocation] : this->tasks) {
      sum += allocation.team == t ? allocation.amount : resources{};
    }
    return sum;
  }
  const std::map<task_id, task_allocation>& all() const { return this->tasks; }

 private:
  std::map<task_id, task_allocation> tasks;
};

team_id team(int i) {
  return team_id("t" + std::to_string(i));
}

class schedule {
 public:
  explicit schedule(unsigned seed) : random(seed), s({}) {
    add_workers(this->s, workers, this->size, 2);
    for (int i = 0; i < teams; ++i) {
      this->allowances[team(i)] = cores(2 + this->pick(12), 4);
      this->s.set_team(team(i), 1 + this->pick(3), this->allowances[team(i)]);
    }
  }

  void run() {
    for (int round = 0; round < rounds; ++round) {
      this->step();
      this->now = this->now + millis{this->pick(4'000)};
      this->check(this->s.decide(this->now));
    }
  }

 private:
  int pick(int n) { return static_cast<int>(this->random() % static_cast<unsigned>(n)); }

  void step() {
    const int kind = this->pick(10);
    if (kind < 5) {
      this->submit();
    } else if (kind < 8) {
      this->finish_some();
    } else if (kind == 8) {
      const worker_id worker("w" + std::to_string(this->pick(workers)));
      this->s.set_usable(worker, this->pick(2) == 0);
    } else if (!this->jobs.empty()) {
      this->s.cancel(
          this->jobs[static_cast<std::size_t>(this->pick(static_cast<int>(this->jobs.size())))],
          stop_reason::cancelled);
    }
  }

  void submit() {
    for (int n = this->pick(5); n >= 0; --n) {
      unit_options o;
      o.job = "j" + std::to_string(this->jobs.size());
      o.team = team(this->pick(teams)).text;
      o.kind = static_cast<work_kind>(this->pick(3));
      o.tasks = o.kind == work_kind::gang ? 1 + this->pick(4) : 1;
      o.priority = this->pick(4) == 0 ? urgency::urgent : urgency::normal;
      const int cpu = 1 + this->pick(5);
      o.per_task = cores(cpu, this->pick(2));
      o.declared = millis{1'000 + this->pick(60'000)};
      o.since = this->now;
      this->jobs.emplace_back(o.job);
      this->s.submit(make_unit(o));
    }
  }

  void finish_some() {
    std::vector<task_id> ended;
    for (const auto& [id, allocation] : this->expected.all()) {
      if (this->pick(3) == 0) {
        ended.push_back(id);
      }
    }
    for (const task_id& id : ended) {
      this->s.finish(id);
      this->expected.end(id);
    }
  }

  void check(const plan& p) {
    for (const unit_start& start : p.starts) {
      REQUIRE(start.tasks.size() == start.unit->tasks.size());
      for (const task_start& t : start.tasks) {
        this->expected.start(t, *start.unit);
      }
    }
    for (const task_stop& stop : p.stops) {
      REQUIRE(this->expected.all().count(stop.task) == 1);
    }
    for (int i = 0; i < workers; ++i) {
      const worker_id w("w" + std::to_string(i));
      const resources used = this->expected.on_worker(w);
      REQUIRE(used.fits(this->size));
      REQUIRE(this->s.workers()[this->s.workers().find(w)].free == this->size - used);
    }
    for (int i = 0; i < teams; ++i) {
      REQUIRE(this->expected.of_team(team(i)).fits(this->allowances[team(i)]));
    }
  }

  std::mt19937 random;
  scheduler s;
  resources size = cores(8, 2);
  std::map<team_id, resources> allowances;
  std::vector<job_id> jobs;
  expected_allocations expected;
  instant now;
};

}  // namespace

TEST_CASE("no worker is overcommitted and no team exceeds its limit in random schedules") {
  for (unsigned seed = 0; seed < seeds; ++seed) {
    INFO("seed " << seed);
    schedule(seed).run();
  }
}

}  // namespace monsoonmux
