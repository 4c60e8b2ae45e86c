#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

#include "base/ids.h"

namespace monsoonmux::cell {

// One step of one occurrence of a job.
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

// One task of it.
struct task_ref {
  step_ref in;
  std::int32_t index = 0;

  auto operator<=>(const task_ref&) const = default;
  // "job.occurrence.step.index", the name that runners see.
  std::string text() const { return this->in.text() + "." + std::to_string(this->index); }
};

// Inverse of task_ref::text(); nothing if the text has another form.
std::optional<task_ref> parse_task_ref(const std::string& text);

}  // namespace monsoonmux::cell
