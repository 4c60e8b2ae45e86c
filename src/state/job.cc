#include "state/job.h"

#include <algorithm>
#include <tuple>

namespace monsoonmux {

std::string_view to_string(work_kind kind) {
  switch (kind) {
    case work_kind::batch:
      return "batch";
    case work_kind::service:
      return "service";
    case work_kind::gang:
      return "gang";
  }
  return "batch";
}

std::string_view to_string(urgency value) {
  return value == urgency::urgent ? "urgent" : "normal";
}

std::string_view to_string(task_phase phase) {
  switch (phase) {
    case task_phase::pending:
      return "pending";
    case task_phase::running:
      return "running";
    case task_phase::succeeded:
      return "succeeded";
    case task_phase::failed:
      return "failed";
    case task_phase::cancelled:
      return "cancelled";
  }
  return "pending";
}

bool task_state::merge(const task_state& other) {
  // Correct writers never record two different terminal phases of one task. If it happens anyway,
  // the order of the phases makes the result the same on every daemon.
  const auto rank = [](const task_state& s) {
    return std::make_tuple(terminal(s.phase), terminal(s.phase) ? 0 : s.attempt, s.phase);
  };
  if (rank(other) <= rank(*this)) {
    return false;
  }
  *this = other;
  return true;
}

bool job::finished() const {
  if (!this->unsatisfiable.empty()) {
    return true;
  }
  return std::all_of(this->tasks.begin(), this->tasks.end(),
                     [](const task_state& t) { return terminal(t.phase); });
}

domain_id job::domain_of(std::int32_t index) const {
  for (const job_part& part : this->parts) {
    if (index >= part.first && index < part.first + part.count) {
      return part.domain;
    }
  }
  return {};
}

}  // namespace monsoonmux
