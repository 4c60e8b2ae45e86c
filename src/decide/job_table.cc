#include "decide/job_table.h"

namespace monsoonmux::cell {

job_phase job_record::phase() const {
  if (this->progress && is_final(this->progress->phase)) {
    return this->progress->phase;
  }
  if (this->leader_phase && is_final(*this->leader_phase)) {
    return *this->leader_phase;
  }
  if (this->cancelled) {
    return job_phase::cancelled;
  }
  if (this->leader_phase == job_phase::running) {
    return job_phase::running;
  }
  return this->progress ? this->progress->phase : job_phase::queued;
}

bool job_table::counts_as_pending(const job_record& record) {
  return record.submission && !record.submission->spec.timed() && !record.cancelled &&
         !(record.progress && (record.progress->ever_started || is_final(record.progress->phase)));
}

void job_table::recount(const job_record& record, bool counted_before) {
  const bool counts = counts_as_pending(record);
  if (counts != counted_before) {
    this->pending_by_queue[record.submission->queue] += counts ? 1 : -1;
  }
}

std::int32_t job_record::recorded_attempts() const {
  if (this->progress && this->progress->max_attempts > 0) {
    return this->progress->max_attempts;
  }
  return this->submission ? this->submission->max_attempts : 0;
}

bool job_record::settled() const {
  if (!this->progress || !is_final(this->progress->phase)) {
    return false;
  }
  for (const occurrence_progress& occurrence : this->progress->occurrences) {
    for (const task_progress& task : occurrence.tasks) {
      if (task.phase == task_phase::placed) {
        return false;
      }
    }
  }
  return true;
}

void job_table::drop_details(job_record& entry) {
  if (!entry.settled()) {
    return;
  }
  entry.progress->occurrences = {};
  if (entry.submission) {
    entry.submission->spec = {};
  }
}

job_table_change job_table::apply(const keyed_record& record, std::int64_t offset) {
  const auto key = parse_key(record.key);
  if (key && key->kind == record_kind::contact) {
    return this->apply_contact(key->job.text, record.value);
  }
  if (!key || record.value.empty()) {
    return key ? job_table_change::nothing : job_table_change::unreadable;
  }
  switch (key->kind) {
    case record_kind::submission:
      return this->apply_submission(key->job, record.value);
    case record_kind::progress:
      return this->apply_progress(key->job, record.value, offset);
    case record_kind::run_times:
      return this->apply_run_times(record.value);
    case record_kind::contact:
    case record_kind::cancellation:
      break;
  }
  job_record& entry = this->records[key->job];
  const bool counted = counts_as_pending(entry);
  const bool is_new = !entry.cancelled;
  entry.cancelled = true;
  this->recount(entry, counted);
  return is_new ? job_table_change::cancelled : job_table_change::nothing;
}

job_table_change job_table::apply_submission(const job_id& job, const std::string& value) {
  auto submission = decode_submission(value);
  if (!submission || submission->job != job) {
    return job_table_change::unreadable;
  }
  job_record& entry = this->records[job];
  if (entry.submission) {
    return job_table_change::nothing;
  }
  entry.submission = std::move(submission);
  drop_details(entry);
  this->recount(entry, false);
  return job_table_change::submitted;
}

job_table_change job_table::apply_progress(const job_id& job, const std::string& value,
                                           std::int64_t offset) {
  const job_record* const known = this->find(job);
  if (known != nullptr && offset <= known->progress_offset) {
    return job_table_change::nothing;  // Not decoded: a leader meets each of its records twice.
  }
  auto progress = decode_progress(value);
  if (!progress) {
    return job_table_change::unreadable;
  }
  job_record& entry = this->records[job];
  if (entry.progress && progress->leader_epoch < entry.progress->leader_epoch) {
    return job_table_change::nothing;
  }
  entry.progress_offset = offset;
  const bool counted = counts_as_pending(entry);
  entry.progress = std::move(progress);
  drop_details(entry);
  this->recount(entry, counted);
  return job_table_change::progressed;
}

void job_table::set_leader_phase(const job_id& job, job_phase phase) {
  this->records[job].leader_phase = phase;
}

job_table_change job_table::apply_run_times(const std::string& value) {
  auto read = decode_run_time_stats(value);
  if (!read) {
    return job_table_change::unreadable;
  }
  if (this->times && read->leader_epoch < this->times->leader_epoch) {
    return job_table_change::nothing;
  }
  this->times = std::move(read);
  return job_table_change::learned;
}

job_table_change job_table::apply_contact(const std::string& runner, const std::string& value) {
  if (value.empty()) {
    this->contacts_by_runner.erase(runner);
    return job_table_change::learned;
  }
  auto read = decode_runner_contact(value);
  if (!read) {
    return job_table_change::unreadable;
  }
  this->contacts_by_runner[runner] = std::move(*read);
  return job_table_change::learned;
}

const job_record* job_table::find(const job_id& job) const {
  const auto it = this->records.find(job);
  return it == this->records.end() ? nullptr : &it->second;
}

std::int64_t job_table::pending(const queue_id& queue) const {
  const auto it = this->pending_by_queue.find(queue);
  return it == this->pending_by_queue.end() ? 0 : it->second;
}

void job_table::clear() {
  this->times.reset();
  this->contacts_by_runner.clear();
  this->records.clear();
  this->pending_by_queue.clear();
}

}  // namespace monsoonmux::cell
