// Measures the rate and the latency of placement decisions for three sizes of
// cell, against two baselines in the same run: random choice, and first fit in
// order of arrival. Prints one JSON line per case.
//
//   place_benchmark

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <random>

#include "place/testing/units.h"

namespace monsoonmux {
namespace {

using steady = std::chrono::steady_clock;

constexpr int decisions = 20'000;
constexpr int teams = 33;

double micros(steady::duration d) {
  return std::chrono::duration<double, std::micro>(d).count();
}

struct outcome {
  double per_second = 0;
  double p50_us = 0;
  double p99_us = 0;
};

outcome summarize(std::vector<double>& samples) {
  double sum = 0;
  for (const double s : samples) {
    sum += s;
  }
  std::sort(samples.begin(), samples.end());
  return {1e6 * static_cast<double>(samples.size()) / sum, samples[samples.size() / 2],
          samples[samples.size() * 99 / 100]};
}

// Fills the cell, then repeatedly ends one task and places a new one.
outcome run_scheduler(int workers, int running) {
  std::mt19937 random(1);
  scheduler s({});
  add_workers(s, workers, cores(64, 8));
  for (int i = 0; i < teams; ++i) {
    s.set_team(team_id("t" + std::to_string(i)), 1 + i % 5, unlimited());
  }
  std::vector<task_id> live;
  int next = 0;
  const auto submit = [&] {
    unit_options o;
    o.job = "job-" + std::to_string(next);
    o.team = "t" + std::to_string(next++ % teams);
    o.per_task = cores(1 + static_cast<std::int64_t>(random() % 2), random() % 8 == 0 ? 1 : 0);
    s.submit(make_unit(o));
  };
  while (static_cast<int>(live.size()) < running) {
    submit();
    for (const unit_start& start : s.decide({}).starts) {
      live.push_back(start.tasks[0].task);
    }
  }
  std::vector<double> samples;
  for (int i = 0; i < decisions; ++i) {
    const auto victim = random() % live.size();
    s.finish(live[victim]);
    live[victim] = live.back();
    live.pop_back();
    submit();
    const auto start = steady::now();
    const plan p = s.decide({i});
    samples.push_back(micros(steady::now() - start));
    for (const unit_start& u : p.starts) {
      live.push_back(u.tasks[0].task);
    }
  }
  return summarize(samples);
}

// The baselines place on a bare worker table, without teams or reservations.
template <class Choose>
outcome run_table(int workers, int running, Choose choose) {
  std::mt19937 random(1);
  worker_table table;
  for (int i = 0; i < workers; ++i) {
    table.add({worker_id("w" + std::to_string(i)), pool_id("p"), rack_id("r"), cores(64, 8)});
  }
  std::vector<worker_index> live;
  const resources each = cores(1);
  const auto place = [&] {
    const worker_index w = choose(table, each, random);
    if (w != no_worker && table.allocate(w, each)) {
      live.push_back(w);
    }
  };
  while (static_cast<int>(live.size()) < running) {
    place();
  }
  std::vector<double> samples;
  for (int i = 0; i < decisions; ++i) {
    const auto victim = random() % live.size();
    table.release(live[victim], each);
    live[victim] = live.back();
    live.pop_back();
    const auto start = steady::now();
    place();
    samples.push_back(micros(steady::now() - start));
  }
  return summarize(samples);
}

worker_index first_fit(const worker_table& table, const resources& each, std::mt19937&) {
  for (std::size_t i = 0; i < table.all().size(); ++i) {
    if (each.fits(table.all()[i].free)) {
      return static_cast<worker_index>(i);
    }
  }
  return no_worker;
}

worker_index random_fit(const worker_table& table, const resources& each, std::mt19937& random) {
  for (int tries = 0; tries < 64; ++tries) {
    const auto i = random() % table.all().size();
    if (each.fits(table.all()[i].free)) {
      return static_cast<worker_index>(i);
    }
  }
  return no_worker;
}

void print(const char* policy, int workers, int running, const outcome& o) {
  std::printf(
      "{\"policy\":\"%s\",\"workers\":%d,\"running\":%d,\"per_second\":%.0f,\"p50_us\":%.2f,"
      "\"p99_us\":%.2f}\n",
      policy, workers, running, o.per_second, o.p50_us, o.p99_us);
}

}  // namespace
}  // namespace monsoonmux

int main() {
  using namespace monsoonmux;
  struct size {
    int workers;
    int running;
  };
  for (const size s : {size{100, 2'500}, size{300, 7'300}, size{900, 22'000}}) {
    print("shares", s.workers, s.running, run_scheduler(s.workers, s.running));
    print("first_fit", s.workers, s.running, run_table(s.workers, s.running, first_fit));
    print("random", s.workers, s.running, run_table(s.workers, s.running, random_fit));
  }
  return 0;
}
