#pragma once

#include <string>

#include "decide/placer.h"
#include "decide/testing/cell_builder.h"

namespace monsoonmux::cell {

// Two pools of 48 runners in all, full of work, and jobs of five tasks that wait.
struct backlog_cell : cell_builder {
  explicit backlog_cell(int jobs) {
    this->queue().advice = advice_config{22, 0.32, millis{2'000}};
    queue_config batch = this->queue();
    batch.name = queue_id("batch");
    batch.pool = pool_id("gpu");
    batch.priority = 2;
    this->state.config.queues.push_back(batch);
    for (int i = 0; i < runners; ++i) {
      runner_state& runner = this->add_runner("i-runner" + std::to_string(i),
                                              {millicores{32'000}, mebibytes{65'536}, devices{8}});
      runner.entry.pool = pool_id(i % 4 == 0 ? "gpu" : "s");
      allocation filling;
      filling.task = {{job_id("filling"), 0, 0}, i};
      filling.run = 1;
      filling.since = this->now;
      filling.expected = millis{60'000};
      filling.capacity_used = runner.entry.capacity;
      this->state.runners.add(runner.entry.id, filling);
    }
    for (int i = 0; i < jobs; ++i) {
      const bool is_batch = i % 3 == 0;
      const resources need{millicores{1'000 + i % 997}, mebibytes{2'000 + i % 991},
                           devices{is_batch ? 1 : 0}};
      job_spec spec;
      spec.steps = {cell_builder::step(tasks_per_job, need)};
      this->add_job("job" + std::to_string(1'000'000 + i), spec, "t", is_batch ? "batch" : "q");
    }
  }

  static constexpr int runners = 48;
  static constexpr int tasks_per_job = 5;
};

}  // namespace monsoonmux::cell
