#include "cell/job_handler.h"

namespace monsoonmux::cell {

job_handler::job_handler(record_writer& target, state_source& peers, const clock& now,
                         event_log& out, metric_registry& registry,
                         const job_handler_options& given)
    : writer(target),
      peer_states(peers),
      time(now),
      events(out),
      metrics(registry),
      options(given) {}

void job_handler::configure(cell_config config) {
  this->current = std::move(config);
  this->is_configured = true;
}

void job_handler::attach_table(const job_table* from, std::function<instant()> contact) {
  this->table = from;
  this->table_contact = std::move(contact);
}

void job_handler::detach_table() {
  this->table = nullptr;
}

bool job_handler::table_is_fresh() const {
  return this->table != nullptr &&
         this->time.now() - this->table_contact() < this->options.max_table_age;
}

bool job_handler::log_answers() const {
  return this->log_contact && this->time.now() - this->log_contact() < this->options.log_timeout;
}

result<caller> job_handler::identify(const std::string& host, const std::string& path,
                                     const std::string& key) const {
  if (!this->is_configured) {
    return not_run(error_code::unavailable, "no configuration yet");
  }
  const queue_config* const queue = this->current.match(host, path);
  if (queue == nullptr) {
    return not_run(error_code::not_found, "no such queue");
  }
  const team_config* const team = this->current.team_of_key(key);
  if (team == nullptr && !queue->open) {
    return not_run(error_code::unauthorized, "unknown key");
  }
  const team_id caller_team = team != nullptr && !queue->open ? team->name : team_id();
  return caller{queue, caller_team, {host, path, key, this->current.version}};
}

// True if a record written now is likely to get into the log.
bool job_handler::can_write() const {
  return this->log_answers() || this->writer.can_forward();
}

failure job_handler::failure_of(const write_outcome& outcome) {
  if (outcome.refusal) {
    return *outcome.refusal;
  }
  if (outcome.status == write_status::unknown) {
    return may_have_run(error_code::deadline_exceeded, "the log did not answer");
  }
  return not_run(error_code::unavailable, "the log takes no records");
}

void job_handler::submit(const caller& from, const job_id& job, job_spec spec, instant deadline,
                         const reply<void>& on_answer) {
  if (const auto valid = validate(spec); valid.has_error()) {
    on_answer(valid.error());
    return;
  }
  const job_record* const known = this->table != nullptr ? this->table->find(job) : nullptr;
  if (known != nullptr && known->submission) {
    on_answer(BOOST_OUTCOME_V2_NAMESPACE::success());
    return;
  }
  if (!this->can_write()) {
    this->metrics.count("jobs_refused");
    this->events.write(
        "job_not_accepted",
        {{"job", job.text}, {"verdict", "not_run"}, {"why", "no answer from the log lately"}});
    on_answer(not_run(error_code::unavailable, "the log takes no records"));
    return;
  }
  job_submission submission;
  submission.job = job;
  submission.queue = from.queue->name;
  submission.pool = from.queue->pool;
  submission.team = from.team;
  submission.accepted_ms = this->time.wall_ms();
  submission.spec = std::move(spec);
  submission.max_attempts = from.queue->max_attempts;
  submission.accepted_under = this->current.version;
  const instant since = this->time.now();
  this->writer.write(
      {{key_of(record_kind::submission, job), encode(submission)}, deadline, from.credentials},
      [this, job, since, queue = from.queue->name, on_answer](const write_outcome& outcome) {
        const millis taken = this->time.now() - since;
        this->metrics.observe("accept", taken);
        if (outcome.status == write_status::stored) {
          this->events.write("job_accepted",
                             {{"job", job.text}, {"queue", queue.text}, {"took_ms", taken.value}});
          on_answer(BOOST_OUTCOME_V2_NAMESPACE::success());
          return;
        }
        const failure f = failure_of(outcome);
        this->metrics.count(f.effect == verdict::not_run ? "jobs_refused" : "jobs_unknown");
        this->events.write("job_not_accepted", {{"job", job.text},
                                                {"verdict", to_string(f.effect)},
                                                {"why", f.detail},
                                                {"took_ms", taken.value}});
        on_answer(f);
      });
}

result<std::optional<job_phase>> job_handler::phase_of(const job_id& job) const {
  const job_record* const record = this->table != nullptr ? this->table->find(job) : nullptr;
  if (record != nullptr && (record->submission || record->leader_phase)) {
    return std::optional<job_phase>(record->phase());
  }
  if (!this->table_is_fresh()) {
    return not_run(error_code::unavailable, "not up to date with the log");
  }
  return std::optional<job_phase>();
}

void job_handler::find_phase(const job_id& job, instant deadline,
                             const reply<std::optional<job_phase>>& on_answer) {
  const auto here = this->phase_of(job);
  if (here.has_value()) {
    on_answer(here.value());
    return;
  }
  this->peer_states.phase(job, deadline, on_answer);
}

void job_handler::find_pending(const caller& from, instant deadline,
                               const reply<std::int64_t>& on_answer) {
  const auto here = this->pending(from);
  if (here.has_value()) {
    on_answer(here.value());
    return;
  }
  this->peer_states.pending(from.queue->name, deadline, on_answer);
}

void job_handler::cancel(const caller& from, const job_id& job, instant deadline,
                         const reply<bool>& on_answer) {
  // `from` points into the configuration, which may change before the answer arrives.
  const caller_credentials credentials = from.credentials;
  this->find_phase(
      job, deadline,
      [this, credentials, job, deadline, on_answer](const result<std::optional<job_phase>>& phase) {
        if (phase.has_error()) {
          on_answer(phase.error());
        } else if (!phase.value()) {
          on_answer(false);
        } else if (is_final(*phase.value())) {
          on_answer(true);
        } else {
          this->write_cancellation(credentials, job, deadline, on_answer);
        }
      });
}

void job_handler::write_cancellation(const caller_credentials& credentials, const job_id& job,
                                     instant deadline, const reply<bool>& on_answer) {
  this->writer.write(
      {{key_of(record_kind::cancellation, job), std::string(1, '1')}, deadline, credentials},
      [this, job, on_answer](const write_outcome& outcome) {
        if (outcome.status == write_status::stored) {
          this->events.write("cancel_accepted", {{"job", job.text}});
          on_answer(true);
          return;
        }
        const failure f = failure_of(outcome);
        this->events.write(
            "cancel_not_accepted",
            {{"job", job.text}, {"verdict", to_string(f.effect)}, {"why", f.detail}});
        on_answer(f);
      });
}

result<std::int64_t> job_handler::pending(const caller& from) const {
  if (this->table == nullptr) {
    return not_run(error_code::unavailable, "not up to date with the log");
  }
  return this->table->pending(from.queue->name);
}

}  // namespace monsoonmux::cell
