#pragma once

#include <string>

#include "decide/cell_state.h"

namespace monsoonmux::cell {

// Builds cells for tests, with one pool and one queue.
struct cell_builder {
  cell_state state;
  instant now{1'000'000};

  cell_builder() {
    queue_config queue;
    queue.name = queue_id("q");
    queue.pool = pool_id("s");
    queue.max_attempts = 3;
    queue.stretch = 2;
    this->state.config.queues.push_back(queue);
    this->state.config.pools.push_back({pool_id("s"), false, false});
    this->state.config.teams.push_back({team_id("t"), {"key"}, 1, {}});
  }

  queue_config& queue() { return this->state.config.queues.front(); }

  runner_state& add_runner(const std::string& id, resources capacity,
                           const std::string& rack = "r1") {
    runner_entry entry;
    entry.id = id;
    entry.pool = pool_id("s");
    entry.capacity = capacity;
    entry.rack = rack;
    entry.labels = {"a", rack};
    runner_state& runner = this->state.runners.update(entry);
    runner.admitted = true;
    return runner;
  }

  static step_spec step(std::int32_t count, resources need) {
    step_spec out;
    out.count = count;
    out.need = need;
    out.estimate = millis{1'000};
    return out;
  }

  // Adds another queue to the pool.
  queue_config& add_queue(const std::string& name, std::int32_t priority, double stretch) {
    queue_config queue = this->queue();
    queue.name = queue_id(name);
    queue.priority = priority;
    queue.stretch = stretch;
    this->state.config.queues.push_back(queue);
    return this->state.config.queues.back();
  }

  live_job& add_job(const std::string& id, job_spec spec, const std::string& team = "t",
                    const std::string& queue = "q") {
    job_submission submission;
    submission.job = job_id(id);
    submission.queue = queue_id(queue);
    submission.pool = pool_id("s");
    submission.team = team_id(team);
    submission.accepted_ms = this->now.value;
    submission.spec = std::move(spec);
    live_job job(std::move(submission), std::nullopt, this->queue().max_attempts, this->now,
                 this->now);
    job.open_due(this->now.value);
    return this->state.jobs.emplace(job_id(id), std::move(job)).first->second;
  }

  live_job& add_job(const std::string& id, const step_spec& step, const std::string& team = "t") {
    job_spec spec;
    spec.steps = {step};
    return this->add_job(id, std::move(spec), team);
  }
};

}  // namespace monsoonmux::cell
