// Measures the time of one planning round. Without arguments, in a full cell: 900 jobs (or argv[1])
// wait for 35 runners without free capacity. With `large`, in a large cell after a takeover. With
// `backlog TASKS ROUNDS`, so many rounds while so many tasks wait for 48 full runners; its
// instructions a round are the difference of two runs of valgrind --tool=callgrind by their rounds.

#include <chrono>
#include <iostream>
#include <string_view>

#include "decide/placer.h"
#include "decide/testing/backlog_cell.h"
#include "decide/testing/cell_builder.h"
#include "decide/testing/large_cell.h"

namespace monsoonmux::cell {
namespace {

using std::chrono::steady_clock;

std::int64_t microseconds_since(steady_clock::time_point begin) {
  return std::chrono::duration_cast<std::chrono::microseconds>(steady_clock::now() - begin).count();
}

void measure_full_cell(int jobs) {
  constexpr int runners = 35;
  constexpr int rounds = 200;
  cell_builder cell;
  cell.queue().advice = advice_config{22, 0.32, millis{2'000}};
  for (int i = 0; i < runners; ++i) {
    cell.add_runner("i-runner" + std::to_string(i), {millicores{16'000}, mebibytes{65'536}, {}});
  }
  for (int i = 0; i < jobs; ++i) {
    const step_spec step = cell_builder::step(6, {millicores{1'500}, mebibytes{2'000}, devices{0}});
    cell.add_job("job" + std::to_string(1'000'000 + i), step);
  }
  placer planner(cell.state);
  std::int64_t placed = 0;
  const auto begin = steady_clock::now();
  for (int r = 0; r < rounds; ++r) {
    const plan p = planner.decide(cell.now, cell.now.value);
    placed += static_cast<std::int64_t>(p.placements.size());
    for (const advice_query& query : p.advice_queries) {
      std::vector<ticket> tickets;
      for (const std::string& runner : query.runners) {
        tickets.push_back({runner, "ticket"});
      }
      cell.state.advice.answer(query.step, query.runners, tickets, cell.now + millis{2'000});
    }
  }
  std::cout << jobs << " jobs, " << placed << " placed, " << microseconds_since(begin) / rounds
            << " us per round\n";
}

void measure_large_cell() {
  constexpr int rounds = 12;
  constexpr millis interval{100};
  large_cell cell;
  placer planner(cell.state);
  for (int r = 0; r < rounds; ++r) {
    const auto begin = steady_clock::now();
    const plan p = planner.decide(cell.now, cell.now.value);
    std::cout << "round " << r << ": " << microseconds_since(begin) << " us, " << p.waiting_tasks
              << " tasks waiting, " << p.placements.size() << " placed, " << p.advice_queries.size()
              << " queries; runners looked at to place " << p.work.placing << ", to reserve "
              << p.work.reserving << ", to query " << p.work.querying << "\n";
    cell.answer(p);
    cell.now = cell.now + interval;
  }
}

void measure_backlog(int tasks, int rounds) {
  constexpr millis interval{12};
  backlog_cell cell(tasks / backlog_cell::tasks_per_job);
  placer planner(cell.state);
  std::int64_t waiting = 0;
  const auto begin = steady_clock::now();
  for (int r = 0; r < rounds; ++r) {
    waiting = planner.decide(cell.now, cell.now.value).waiting_tasks;
    cell.now = cell.now + interval;
  }
  std::cout << waiting << " tasks wait, " << microseconds_since(begin) / rounds
            << " us per round\n";
}

}  // namespace
}  // namespace monsoonmux::cell

int main(int argc, char** argv) {
  const std::string_view mode = argc > 1 ? argv[1] : "";
  if (mode == "large") {
    monsoonmux::cell::measure_large_cell();
  } else if (mode == "backlog") {
    monsoonmux::cell::measure_backlog(argc > 2 ? std::atoi(argv[2]) : 100'000,
                                      argc > 3 ? std::atoi(argv[3]) : 10);
  } else {
    monsoonmux::cell::measure_full_cell(argc > 1 ? std::atoi(argv[1]) : 900);
  }
}
