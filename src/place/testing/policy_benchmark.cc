// Measures fairness, waiting times and utilisation under the scheduler's policy,
// against a baseline that places by first fit in order of arrival, without shares.
// Both run the same seeded workload on the same workers. Time is simulated, so
// the figures are reproducible. Prints one JSON line per case.
//
//   policy_benchmark

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <deque>
#include <map>
#include <queue>
#include <random>

#include "place/testing/units.h"

namespace monsoonmux {
namespace {

constexpr millis step{100};
constexpr millis stop_delay{300};

struct arrival {
  instant at;
  std::shared_ptr<pending_unit> unit;
  millis runtime;
};

// The measurements of one run.
struct outcome {
  std::map<team_id, std::vector<double>> waits_s;
  std::map<team_id, double> used_core_s;  // After the warm-up.
  std::vector<double> urgent_waits_s;
  double lost_core_s = 0;  // Work lost by runs that were stopped.
  double total_core_s = 0;
};

// The interface of both policies.
class policy {
 public:
  virtual ~policy() = default;
  virtual void submit(const std::shared_ptr<const pending_unit>& unit) = 0;
  virtual void resubmit(const std::shared_ptr<const pending_unit>& unit) = 0;
  virtual void finish(const task_id& task) = 0;
  virtual plan decide(instant now) = 0;
};

class share_policy final : public policy {
 public:
  share_policy(int workers, const resources& size, const std::map<team_id, std::int64_t>& teams)
      : s({}) {
    add_workers(this->s, workers, size);
    for (const auto& [team, share] : teams) {
      this->s.set_team(team, share, unlimited());
    }
  }
  void submit(const std::shared_ptr<const pending_unit>& u) override { this->s.submit(u); }
  void resubmit(const std::shared_ptr<const pending_unit>& u) override { this->s.resubmit(u); }
  void finish(const task_id& t) override { this->s.finish(t); }
  plan decide(instant now) override { return this->s.decide(now); }

 private:
  scheduler s;
};

class fifo_policy final : public policy {
 public:
  fifo_policy(int workers, const resources& size) {
    for (int i = 0; i < workers; ++i) {
      this->table.add({worker_id("w" + std::to_string(i)), pool_id("p"), rack_id("r"), size});
    }
  }
  void submit(const std::shared_ptr<const pending_unit>& u) override { this->queue.push_back(u); }
  void resubmit(const std::shared_ptr<const pending_unit>& u) override {
    this->queue.push_front(u);
  }
  void finish(const task_id& t) override {
    const auto it = this->allocations.find(t);
    if (it != this->allocations.end()) {
      this->table.release(it->second.first, it->second.second);
      this->allocations.erase(it);
    }
  }
  plan decide(instant) override {
    plan out;
    while (!this->queue.empty() && this->start(this->queue.front(), out)) {
      this->queue.pop_front();
    }
    return out;
  }

 private:
  bool start(const std::shared_ptr<const pending_unit>& unit, plan& out) {
    std::vector<worker_index> assigned_workers;
    for (std::size_t n = 0; n < unit->tasks.size(); ++n) {
      for (std::size_t i = 0; i < this->table.all().size(); ++i) {
        if (this->table.allocate(static_cast<worker_index>(i), unit->per_task)) {
          assigned_workers.push_back(static_cast<worker_index>(i));
          break;
        }
      }
    }
    if (assigned_workers.size() < unit->tasks.size()) {
      for (const worker_index w : assigned_workers) {
        this->table.release(w, unit->per_task);
      }
      return false;
    }
    unit_start s{unit, {}};
    for (std::size_t n = 0; n < assigned_workers.size(); ++n) {
      const task_id id{unit->job, unit->tasks[n]};
      this->allocations[id] = {assigned_workers[n], unit->per_task};
      s.tasks.push_back({id, this->table[assigned_workers[n]].info.id});
    }
    out.starts.push_back(s);
    return true;
  }

  worker_table table;
  std::deque<std::shared_ptr<const pending_unit>> queue;
  std::map<task_id, std::pair<worker_index, resources>> allocations;
};

struct simulated_run {
  std::shared_ptr<const pending_unit> unit;
  instant started;
  instant ends;
  bool stopping = false;
};

double core_s(const resources& amount, millis span) {
  return static_cast<double>(amount.cpu.value) / 1'000 * static_cast<double>(span.value) / 1'000;
}

outcome run(policy& p, std::vector<arrival> work, millis length, millis warm_up) {
  outcome out;
  std::sort(work.begin(), work.end(),
            [](const arrival& a, const arrival& b) { return a.at < b.at; });
  std::map<job_id, millis> runtimes;
  std::map<job_id, instant> arrived;
  std::map<task_id, simulated_run> live;
  std::size_t next = 0;
  for (instant now; now < instant{length.value}; now = now + step) {
    std::vector<task_id> ended;
    for (auto& [id, r] : live) {
      if (r.ends <= now) {
        ended.push_back(id);
      }
    }
    for (const task_id& id : ended) {
      const simulated_run r = live[id];
      live.erase(id);
      p.finish(id);
      if (r.stopping) {
        out.lost_core_s += core_s(r.unit->per_task, now - r.started);
        p.resubmit(r.unit);
      }
    }
    for (; next < work.size() && work[next].at <= now; ++next) {
      runtimes[work[next].unit->job] = work[next].runtime;
      arrived[work[next].unit->job] = work[next].at;
      p.submit(work[next].unit);
    }
    const plan decided = p.decide(now);
    for (const task_stop& s : decided.stops) {
      live[s.task].stopping = true;
      live[s.task].ends = std::min(live[s.task].ends, now + stop_delay);
    }
    for (const unit_start& s : decided.starts) {
      for (const task_start& t : s.tasks) {
        live[t.task] = {s.unit, now, now + runtimes[s.unit->job], false};
      }
      const double wait = static_cast<double>((now - arrived[s.unit->job]).value) / 1'000;
      if (now >= instant{warm_up.value}) {
        out.waits_s[s.unit->team].push_back(wait);
      }
      if (s.unit->priority == urgency::urgent) {
        out.urgent_waits_s.push_back(wait);
      }
    }
    for (const auto& [id, r] : live) {
      const double used = core_s(r.unit->per_task, step);
      out.total_core_s += used;
      if (now >= instant{warm_up.value}) {
        out.used_core_s[r.unit->team] += used;
      }
    }
  }
  return out;
}

double percentile(std::vector<double> values, double p) {
  if (values.empty()) {
    return -1;
  }
  std::sort(values.begin(), values.end());
  return values[static_cast<std::size_t>(p * static_cast<double>(values.size() - 1))];
}

class arrival_generator {
 public:
  explicit arrival_generator(unsigned seed) : random(seed) {}

  // Adds Poisson arrivals of one team, with exponentially distributed run times.
  void add(std::vector<arrival>& to, const unit_options& prototype, double per_second,
           double mean_s, millis length) {
    std::exponential_distribution<> gap(per_second);
    std::exponential_distribution<> runtime(1 / mean_s);
    double at = 0;
    while ((at += gap(this->random)) < static_cast<double>(length.value) / 1'000) {
      unit_options o = prototype;
      o.job = prototype.team + "-" + std::to_string(this->next++);
      o.since = {static_cast<std::int64_t>(at * 1'000)};
      const millis ran{100 + static_cast<std::int64_t>(runtime(this->random) * 1'000)};
      o.declared = ran;
      to.push_back({o.since, make_unit(o), ran});
    }
  }

 private:
  std::mt19937 random;
  int next = 0;
};

constexpr int workers = 35;
const resources worker_size = {{32'000}, {65'536}, {0}};
constexpr double cores_total = 35 * 32;
constexpr millis length{360'000};
constexpr millis warm_up{60'000};

// Four teams that all demand more than their share, one of them submitting a
// hundred times as much.
void share_case() {
  const std::map<team_id, std::int64_t> teams = {
      {team_id("a"), 4}, {team_id("b"), 3}, {team_id("c"), 2}, {team_id("loud"), 1}};
  std::vector<arrival> work;
  arrival_generator generator(1);
  for (const auto& [team, share] : teams) {
    unit_options o;
    o.team = team.text;
    o.per_task = {{1'000}, {1'024}, {0}};
    const double wanted = cores_total * static_cast<double>(share) / 10 * 1.3;
    generator.add(work, o, team.text == "loud" ? 100.0 * wanted / 20 / 4 : wanted / 20, 20, length);
  }
  share_policy with_shares(workers, worker_size, teams);
  fifo_policy baseline(workers, worker_size);
  const outcome results[] = {run(with_shares, work, length, warm_up),
                             run(baseline, work, length, warm_up)};
  const char* names[] = {"shares", "first_come"};
  for (int i = 0; i < 2; ++i) {
    double sum = 0;
    for (const auto& [team, used] : results[i].used_core_s) {
      sum += used;
    }
    double worst = 0;
    for (const auto& [team, share] : teams) {
      const auto it = results[i].used_core_s.find(team);
      const double actual = it == results[i].used_core_s.end() ? 0 : it->second / sum;
      const double configured = static_cast<double>(share) / 10;
      worst = std::max(worst, std::abs(actual - configured) / configured);
    }
    const double full = cores_total * static_cast<double>((length - warm_up).value) / 1'000;
    std::printf(
        "{\"case\":\"share_error\",\"policy\":\"%s\",\"worst_error_percent\":%.2f,"
        "\"used_percent\":%.1f}\n",
        names[i], 100 * worst, 100 * sum / full);
  }
}

// A team that uses 70% of its half of the cell, next to a noisy neighbour and
// alone on half of the workers.
void quiet_case() {
  const std::map<team_id, std::int64_t> teams = {{team_id("quiet"), 1}, {team_id("loud"), 1}};
  unit_options quiet;
  quiet.team = "quiet";
  quiet.per_task = {{2'000}, {2'048}, {0}};
  std::vector<arrival> alone;
  arrival_generator generator(2);
  generator.add(alone, quiet, 0.70 * cores_total / 2 / 2 / 5, 5, length);
  std::vector<arrival> both = alone;
  unit_options loud = quiet;
  loud.team = "loud";
  generator.add(both, loud, 10 * cores_total / 2 / 2 / 5, 5, length);
  share_policy half(workers / 2, worker_size, teams);
  share_policy with_shares(workers, worker_size, teams);
  fifo_policy baseline(workers, worker_size);
  const auto report = [](const char* name, const outcome& o) {
    const auto it = o.waits_s.find(team_id("quiet"));
    const std::vector<double> waits = it == o.waits_s.end() ? std::vector<double>() : it->second;
    std::printf("{\"case\":\"quiet_wait\",\"policy\":\"%s\",\"p50_s\":%.2f,\"p99_s\":%.2f}\n", name,
                percentile(waits, 0.5), percentile(waits, 0.99));
  };
  report("alone_on_half", run(half, alone, length, warm_up));
  report("shares_beside_loud", run(with_shares, both, length, warm_up));
  report("first_come_beside_loud", run(baseline, both, length, warm_up));
}

// Urgent work of one team in a cell filled with long-running work of a noisy
// neighbour.
void urgent_case() {
  const std::map<team_id, std::int64_t> teams = {{team_id("quiet"), 1}, {team_id("loud"), 1}};
  std::vector<arrival> work;
  arrival_generator generator(3);
  unit_options loud;
  loud.team = "loud";
  loud.per_task = {{2'000}, {2'048}, {0}};
  generator.add(work, loud, 40, 120, length);
  unit_options urgent = loud;
  urgent.team = "quiet";
  urgent.priority = urgency::urgent;
  generator.add(work, urgent, 2, 10, length);
  share_policy with_shares(workers, worker_size, teams);
  fifo_policy baseline(workers, worker_size);
  const auto report = [](const char* name, const outcome& o) {
    std::printf(
        "{\"case\":\"urgent\",\"policy\":\"%s\",\"p50_s\":%.2f,\"p99_s\":%.2f,\"max_s\":%.2f,"
        "\"lost_percent\":%.2f}\n",
        name, percentile(o.urgent_waits_s, 0.5), percentile(o.urgent_waits_s, 0.99),
        percentile(o.urgent_waits_s, 1.0), 100 * o.lost_core_s / o.total_core_s);
  };
  report("shares", run(with_shares, work, length, warm_up));
  report("first_come", run(baseline, work, length, warm_up));
}

// Gangs that compete with small tasks, which alone would fill the cell.
void gang_case() {
  const std::map<team_id, std::int64_t> teams = {{team_id("gangs"), 1}, {team_id("small"), 1}};
  std::vector<arrival> work;
  arrival_generator generator(4);
  unit_options small;
  small.team = "small";
  small.per_task = {{3'000}, {2'048}, {0}};
  generator.add(work, small, 30, 20, length);
  unit_options gang;
  gang.team = "gangs";
  gang.kind = work_kind::gang;
  gang.tasks = 8;
  gang.per_task = {{16'000}, {16'384}, {0}};
  generator.add(work, gang, 0.05, 30, length);
  share_policy with_shares(workers, worker_size, teams);
  fifo_policy baseline(workers, worker_size);
  const auto report = [](const char* name, const outcome& o) {
    const auto it = o.waits_s.find(team_id("gangs"));
    const std::vector<double> waits = it == o.waits_s.end() ? std::vector<double>() : it->second;
    const double full = cores_total * static_cast<double>(length.value) / 1'000;
    std::printf(
        "{\"case\":\"gangs\",\"policy\":\"%s\",\"started\":%zu,\"p50_s\":%.2f,\"max_s\":%.2f,"
        "\"used_percent\":%.1f,\"lost_percent\":%.2f}\n",
        name, waits.size(), percentile(waits, 0.5), percentile(waits, 1.0),
        100 * o.total_core_s / full, 100 * o.lost_core_s / o.total_core_s);
  };
  report("shares", run(with_shares, work, length, warm_up));
  report("first_come", run(baseline, work, length, warm_up));
}

// The number of workers used for a set of mixed tasks, against the lower bound of
// any placement: total demand over worker size, for the scarcest resource.
void packing_case() {
  std::mt19937 random(5);
  scheduler s({});
  add_workers(s, 400, {{32'000}, {65'536}, {8}});
  s.set_team(team_id("a"), 1, unlimited());
  worker_table table;
  for (int i = 0; i < 400; ++i) {
    table.add({worker_id("w" + std::to_string(i)),
               pool_id("p"),
               rack_id("r"),
               {{32'000}, {65'536}, {8}}});
  }
  resources sum;
  for (int i = 0; i < 2'500; ++i) {
    unit_options o;
    o.job = "j" + std::to_string(i);
    o.per_task = {{500 * (1 + static_cast<std::int64_t>(random() % 16))},
                  {1'024 * (1 + static_cast<std::int64_t>(random() % 16))},
                  {static_cast<std::int64_t>(random() % 4 == 0 ? 1 + random() % 2 : 0)}};
    sum += o.per_task;
    s.submit(make_unit(o));
    s.decide({});
    for (std::size_t w = 0; w < table.all().size(); ++w) {
      if (table.allocate(static_cast<worker_index>(w), o.per_task)) {
        break;
      }
    }
  }
  const double bound = std::max({static_cast<double>(sum.cpu.value) / 32'000,
                                 static_cast<double>(sum.memory.value) / 65'536,
                                 static_cast<double>(sum.accelerators.value) / 8});
  const auto used = [](const worker_table& t) {
    return std::count_if(t.all().begin(), t.all().end(),
                         [](const worker_table::row& r) { return r.tasks > 0; });
  };
  std::printf("{\"case\":\"packing\",\"bound_workers\":%.1f,\"best_fit\":%ld,\"first_fit\":%ld}\n",
              std::ceil(bound), static_cast<long>(used(s.workers())),
              static_cast<long>(used(table)));
}

}  // namespace
}  // namespace monsoonmux

int main() {
  monsoonmux::share_case();
  monsoonmux::quiet_case();
  monsoonmux::urgent_case();
  monsoonmux::gang_case();
  monsoonmux::packing_case();
  return 0;
}
