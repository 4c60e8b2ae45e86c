#pragma once

#include <functional>
#include <optional>
#include <string>

#include "async/event_log.h"
#include "async/metric_registry.h"
#include "base/clock.h"
#include "base/failure.h"
#include "cell/record_writer.h"
#include "cell/state_source.h"
#include "decide/job_table.h"
#include "model/cell_config.h"

namespace monsoonmux::cell {

// An identified caller and its queue.
struct caller {
  const queue_config* queue = nullptr;
  team_id team;                    // Empty on open queues.
  caller_credentials credentials;  // How the caller addressed the queue.
};

struct job_handler_options {
  // A table that was not updated from the log for this long may miss accepted jobs, so
  // an unknown job is not reported as nonexistent.
  millis max_table_age{2'500};
  // A log that has not answered for this long is assumed not to store jobs either. The
  // caller is refused at once, so that it can retry at another daemon or a little later.
  millis log_timeout{1'000};
};

// Accepts, reports on and cancels jobs for callers, at any daemon. A job is accepted when
// its record is in the log, so a retry at another daemon refers to the same job.
class job_handler {
 public:
  // `peer_states` is queried while this daemon has no table of jobs or an outdated one.
  job_handler(record_writer& writer, state_source& peer_states, const clock& time,
              event_log& events, metric_registry& metrics, const job_handler_options& options = {});

  void configure(cell_config config);
  bool configured() const { return this->is_configured; }
  const cell_config& config() const { return this->current; }
  // Begins to use a table that is loaded and follows the log; `contact` returns when the
  // log last updated it.
  void attach_table(const job_table* table, std::function<instant()> contact);
  // Ends the use of the table, which no longer follows the log.
  void detach_table();
  bool has_table() const { return this->table != nullptr; }
  // `contact` returns when the log last answered any request of this daemon.
  void watch_log(std::function<instant()> contact) { this->log_contact = std::move(contact); }

  // Identifies the caller and its queue. Fails with not_found, unauthorized or, while
  // there is no configuration, unavailable.
  result<caller> identify(const std::string& host, const std::string& path,
                          const std::string& key) const;
  void submit(const caller& from, const job_id& job, job_spec spec, instant deadline,
              const reply<void>& on_answer);
  // The phase in this daemon's own table; empty if there is no such job. Fails with
  // unavailable if the table is missing or outdated.
  result<std::optional<job_phase>> phase_of(const job_id& job) const;
  // The same from this daemon's table or from a daemon that has one.
  void find_phase(const job_id& job, instant deadline,
                  const reply<std::optional<job_phase>>& on_answer);
  // The answer is false if there is no such job.
  void cancel(const caller& from, const job_id& job, instant deadline,
              const reply<bool>& on_answer);
  // The number of jobs of the queue that have not begun, from this daemon's table only.
  // Fails with unavailable if there is no table.
  result<std::int64_t> pending(const caller& from) const;
  void find_pending(const caller& from, instant deadline, const reply<std::int64_t>& on_answer);

 private:
  bool table_is_fresh() const;
  void write_cancellation(const caller_credentials& credentials, const job_id& job,
                          instant deadline, const reply<bool>& on_answer);
  bool log_answers() const;
  bool can_write() const;
  static failure failure_of(const write_outcome& outcome);

  record_writer& writer;
  state_source& peer_states;
  const clock& time;
  event_log& events;
  metric_registry& metrics;
  const job_handler_options options;
  cell_config current;
  bool is_configured = false;
  const job_table* table = nullptr;
  std::function<instant()> table_contact;
  std::function<instant()> log_contact;
};

}  // namespace monsoonmux::cell
