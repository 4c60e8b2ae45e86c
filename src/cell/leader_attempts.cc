// How many attempts the tasks of a job have: by the newest configuration of its queue that is
// known, be it the leader's or the one that the job was accepted under, since either may be late.

#include "cell/leader.h"

namespace monsoonmux::cell {

std::optional<std::int32_t> leader::attempts_of(const job_submission& submission) const {
  const queue_config* const queue = this->state.config.find_queue(submission.queue);
  const bool recorded = submission.max_attempts > 0;
  const bool accepted_later = this->state.config.version < submission.accepted_under;
  if (recorded && (queue == nullptr || accepted_later)) {
    return submission.max_attempts;
  }
  return queue != nullptr ? std::optional(queue->max_attempts) : std::nullopt;
}

void leader::update_attempts() {
  std::vector<job_id> exhausted;
  for (auto& [id, job] : this->state.jobs) {
    const std::optional<std::int32_t> attempts = this->attempts_of(job.submission());
    if (attempts && *attempts != job.attempts() && job.set_attempts(*attempts)) {
      exhausted.push_back(id);
    }
  }
  for (const job_id& id : exhausted) {
    this->services.events.write("attempts_lowered", {{"job", id.text}});
    this->writer.write(id);
    this->finish_job(this->state.jobs.at(id));
  }
}

void leader::report_failed(live_job& job, const task_ref& task) const {
  nlohmann::ordered_json counted = nlohmann::ordered_json::array();
  const live_step& step =
      job.occurrences().at(task.in.occurrence).steps[static_cast<std::size_t>(task.in.step)];
  for (const live_task& member : step.tasks) {
    for (const live_task::failed_run& each : member.failed_runs) {
      counted.push_back({{"run", each.run}, {"runner", each.runner}});
    }
  }
  this->services.events.write("job_failed",
                              {{"task", task.text()},
                               {"failures", job.find(task)->failures},
                               {"attempts", job.attempts()},
                               {"config", this->state.config.version.value},
                               {"accepted_under", job.submission().accepted_under.value},
                               {"counted_here", counted}});
}

}  // namespace monsoonmux::cell
