#include "model/job_spec.h"

namespace monsoonmux::cell {
namespace {

failure bad_step(std::size_t step, const std::string& reason) {
  return not_run(error_code::bad_request, "step " + std::to_string(step) + ": " + reason);
}

}  // namespace

result<void> validate(const job_spec& spec) {
  if (spec.steps.empty()) {
    return not_run(error_code::bad_request, "a job needs at least one step");
  }
  if (spec.repeat_count < 0 || spec.repeat_count > max_occurrences) {
    return not_run(error_code::bad_request, "number of occurrences out of range");
  }
  std::int64_t tasks = 0;
  for (std::size_t i = 0; i < spec.steps.size(); ++i) {
    const step_spec& step = spec.steps[i];
    if (step.count <= 0) {
      return bad_step(i, "needs at least one task");
    }
    if (step.need.negative()) {
      return bad_step(i, "asks for a negative amount");
    }
    tasks += step.count;
    for (const std::int32_t earlier : step.depends_on) {
      if (earlier < 0 || static_cast<std::size_t>(earlier) >= i) {
        return bad_step(i, "may depend on earlier steps only");
      }
    }
  }
  if (tasks > max_tasks_per_job) {
    return not_run(error_code::bad_request, "too many tasks in one job");
  }
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

}  // namespace monsoonmux::cell
