#pragma once

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <cstdint>
#include <string>
#include <vector>

#include "base/failure.h"
#include "base/ids.h"
#include "base/quantity.h"
#include "base/resources.h"

namespace monsoonmux::cell {

// One step of a job: `count` tasks with the same requirements.
struct step_spec {
  std::int32_t count = 0;
  resources need;                        // Requested by each task.
  millis estimate;                       // The submitter's estimate of a task's run time.
  std::vector<std::int32_t> depends_on;  // Indices of earlier steps that must be done first.
  bool checkpoints = false;              // A stopped task resumes from its last checkpoint.
  bool gang = false;                     // Tasks make progress only while all of them run.
  bool same_rack = false;                // Tasks are slower if spread over several racks.
  bool speculative = false;              // Copies of a task may run in parallel.
  bool long_running = false;             // Runs until the job is cancelled.
  bool best_effort = false;              // No processor time is reserved for its tasks.
  std::string required_label;            // Label that the runner must have; empty: any runner.
  std::string affinity_rack;             // Rack that has the data; empty: no preference.
  std::int32_t anti_affinity = 0;        // Most tasks per runner; 0: no limit.
  std::string image;                     // Tasks of the same image behave alike.
  millis target_latency;                 // Of a task that serves requests; 0: the task serves none.
  std::int32_t max_unavailable = 0;      // Most tasks that planned disruptions may stop at once.

  // True if the task serves requests, so that its users notice other work on its runner.
  bool latency_sensitive() const { return this->target_latency.value > 0; }

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->count, this->need, this->estimate, this->depends_on, this->checkpoints,
            this->gang, this->same_rack, this->speculative, this->long_running, this->best_effort,
            this->required_label, this->affinity_rack, this->anti_affinity, this->image,
            this->target_latency, this->max_unavailable);
  }
};

// A job as submitted by a client.
struct job_spec {
  std::string payload;  // Passed to each task unchanged.
  std::vector<step_spec> steps;
  std::int32_t repeat_count = 0;  // Number of occurrences; 0: one, which starts at once.
  std::int64_t first_run_ms = 0;  // Unix time in ms of occurrence 0.
  millis interval;                // Between occurrences.

  bool timed() const { return this->repeat_count > 0; }
  std::int32_t occurrences() const { return this->timed() ? this->repeat_count : 1; }
  // Unix time in ms at which an occurrence may start; 0 for a job that is not timed.
  std::int64_t due_ms(std::int32_t occurrence) const {
    return this->timed() ? this->first_run_ms + occurrence * this->interval.value : 0;
  }

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->payload, this->steps, this->repeat_count, this->first_run_ms, this->interval);
  }
};

// Most tasks that a job may have in all its steps together, and most occurrences. These
// limits bound the size of the job's records in the log.
constexpr std::int32_t max_tasks_per_job = 2'000;
constexpr std::int32_t max_occurrences = 1'000;

// Checks counts, amounts and dependencies; a failure describes the first error.
result<void> validate(const job_spec& spec);

}  // namespace monsoonmux::cell
