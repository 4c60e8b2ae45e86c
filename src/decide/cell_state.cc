#include "decide/cell_state.h"

namespace monsoonmux::cell {

resources allocated_resources(const step_spec& shape) {
  resources amount = shape.need;
  if (shape.best_effort) {
    amount.cpu = millicores{0};
  }
  return amount;
}

std::int64_t start_command_bytes(const std::string& payload) {
  constexpr std::int64_t names_and_numbers = 110;
  return names_and_numbers + static_cast<std::int64_t>(payload.size());
}

allocation make_allocation(const cell_state& state, const live_job& job, const task_ref& task,
                           std::int32_t run, instant since) {
  const step_spec& shape = job.spec().steps[static_cast<std::size_t>(task.in.step)];
  const queue_id& queue = job.submission().queue;
  allocation out;
  out.task = task;
  out.run = run;
  out.team = job.submission().team;
  out.capacity_used = allocated_resources(shape);
  out.quota_used = shape.need;
  out.best_effort = shape.best_effort;
  out.latency_sensitive = shape.latency_sensitive();
  out.since = since;
  const queue_config* const entry = state.config.find_queue(queue);
  out.priority = entry != nullptr ? entry->priority : 0;
  const live_task* const state_of_task = job.find(task);
  out.kept = state_of_task != nullptr ? isolation_of(*state_of_task) : isolation::none;
  out.resumable =
      shape.checkpoints && !shape.gang && !shape.long_running && out.kept != isolation::alone;
  if (!shape.long_running) {
    out.expected = state.run_times.expected(queue, shape.estimate);
    out.expected_is_learned = state.run_times.learned(queue);
  }
  return out;
}

}  // namespace monsoonmux::cell
