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

std::int32_t leader::attempts_when_adopted(const job_record& record) const {
  if (record.progress && record.progress->max_attempts > 0) {
    return record.progress->max_attempts;
  }
  // Only for a job that a build without recorded attempts has accepted, and whose queue is gone.
  constexpr std::int32_t attempts_if_unknown = 1;
  return this->attempts_of(*record.submission).value_or(attempts_if_unknown);
}

// One read may deliver a configuration that changes the attempts and one that removes the queue.
void leader::keep_attempts_of_removed_queues(const cell_config& next) {
  for (auto& [id, job] : this->state.jobs) {
    const queue_id& queue = job.submission().queue;
    if (this->state.config.find_queue(queue) == nullptr || next.find_queue(queue) != nullptr) {
      continue;
    }
    const std::int32_t attempts = this->attempts_of(job.submission()).value_or(job.attempts());
    if (attempts != job.attempts()) {
      job.keep_attempts(attempts);
      this->writer.write(id);
    }
  }
}

// One read may deliver several configurations, and a job is failed for good.
void leader::update_attempts_when_current() {
  this->on.when_configuration_is_current([this, a = std::weak_ptr<bool>(this->alive)] {
    if (!a.expired()) {
      this->update_attempts();
    }
  });
}

void leader::update_attempts() {
  std::vector<job_id> exhausted;
  for (auto& [id, job] : this->state.jobs) {
    if (this->state.config.find_queue(job.submission().queue) == nullptr) {
      continue;  // Its queue was removed, or is not known yet: the last known number remains.
    }
    const std::optional<std::int32_t> attempts = this->attempts_of(job.submission());
    if (!attempts || *attempts == job.attempts()) {
      continue;
    }
    if (job.set_attempts(*attempts)) {
      exhausted.push_back(id);
    }
    this->writer.write(id);  // A successor may find the queue removed.
  }
  for (const job_id& id : exhausted) {
    this->services.events.write("attempts_lowered", {{"job", id.text}});
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
