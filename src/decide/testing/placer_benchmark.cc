// Measures the time of one planning round in a full cell: argv[1] jobs (900 by default)
// wait for 35 runners without free capacity.

#include <chrono>
#include <iostream>

#include "decide/placer.h"
#include "decide/testing/cell_builder.h"

int main(int argc, char** argv) {
  using namespace monsoonmux;
  using namespace monsoonmux::cell;
  const int jobs = argc > 1 ? std::atoi(argv[1]) : 900;
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
  const auto begin = std::chrono::steady_clock::now();
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
  const auto taken = std::chrono::steady_clock::now() - begin;
  std::cout << jobs << " jobs, " << placed << " placed, "
            << std::chrono::duration_cast<std::chrono::microseconds>(taken).count() / rounds
            << " us per round\n";
}
