#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

#include "base/ids.h"

namespace monsoonmux::cell {

// Identifies a step of one occurrence of a job.
struct step_ref {
  job_id job;
  std::int32_t occurrence = 0;
  std::int32_t step = 0;

  auto operator<=>(const step_ref&) const = default;
  std::string text() const {
    return this->job.text + "." + std::to_string(this->occurrence) + "." +
           std::to_string(this->step);
  }
};

// Identifies a task of a step.
struct task_ref {
  step_ref in;
  std::int32_t index = 0;

  auto operator<=>(const task_ref&) const = default;
  // "job.occurrence.step.index", the name by which runners know the task.
  std::string text() const { return this->in.text() + "." + std::to_string(this->index); }
};

// Inverse of task_ref::text(); nothing if the text is malformed.
std::optional<task_ref> parse_task_ref(const std::string& text);

}  // namespace monsoonmux::cell
