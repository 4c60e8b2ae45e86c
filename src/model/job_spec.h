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

// One step of a job: `count` tasks of one shape.
struct step_spec {
  std::int32_t count = 0;
  resources need;                        // Of each task.
  millis estimate;                       // The submitter's guess of a task's run time.
  std::vector<std::int32_t> depends_on;  // Earlier steps that must be done first.
  bool checkpoints = false;              // Progress survives a stop.
  bool gang = false;                     // Tasks work only while all of them are present.
  bool same_rack = false;                // Slower when spread over racks.
  bool speculative = false;              // Parallel copies are allowed.
  bool long_running = false;             // Runs until the job is cancelled.
  bool best_effort = false;              // Processor time is not reserved for it.
  std::string required_label;            // Empty: any runner.
  std::string affinity_rack;             // Where the data is; empty: nowhere.
  std::int32_t anti_affinity = 0;        // At most this many per runner; 0: no bound.
  std::string image;                     // Tasks of one image behave alike.
  millis target_latency;                 // Of a serving task; 0: serves nobody.
  std::int32_t max_unavailable = 0;      // Tasks that planned actions may take away at once.

  // True if the task's own users notice work that shares its runner.
  bool latency_sensitive() const { return this->target_latency.value > 0; }

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->count, this->need, this->estimate, this->depends_on, this->checkpoints,
            this->gang, this->same_rack, this->speculative, this->long_running, this->best_effort,
            this->required_label, this->affinity_rack, this->anti_affinity, this->image,
            this->target_latency, this->max_unavailable);
  }
};

// What a client hands in.
struct job_spec {
  std::string payload;  // Passed to each task unchanged.
  std::vector<step_spec> steps;
  std::int32_t repeat_count = 0;  // 0: runs once, at once.
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

// Most tasks that one job may have in all its steps, and occurrences; bounds the
// size of its record in the log.
constexpr std::int32_t max_tasks_per_job = 2'000;
constexpr std::int32_t max_occurrences = 1'000;

// Checks counts, amounts and dependencies; a failure names the first fault.
result<void> validate(const job_spec& spec);

}  // namespace monsoonmux::cell
