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

// A caller's queue and who the caller is.
struct caller {
  const queue_config* queue = nullptr;
  team_id team;                    // Empty on open queues.
  caller_credentials credentials;  // How it was addressed.
};

struct job_handler_options {
  // A book that has not heard from the log for this long may miss accepted jobs,
  // so an unknown job is not denied.
  millis max_table_age{2'500};
  // A log that has not answered for this long takes no job either; the caller is
  // better off with another daemon at once, or a little later.
  millis log_timeout{1'000};
};

// Takes jobs from callers and tells how they are, at any daemon. A job is accepted
// when its record is in the log, so a repeat at another daemon is the same job.
class job_handler {
 public:
  // `elsewhere` is asked while this daemon keeps no book or an old one.
  job_handler(record_writer& writer, state_source& peer_states, const clock& time,
              event_log& events, metric_registry& metrics, const job_handler_options& options = {});

  void configure(cell_config config);
  bool configured() const { return this->is_configured; }
  const cell_config& config() const { return this->current; }
  // The book was loaded and is fed from the log; `contact` says when it last was.
  void attach_table(const job_table* table, std::function<instant()> contact);
  // The book is no longer fed.
  void detach_table();
  bool has_table() const { return this->table != nullptr; }
  // The log answered this daemon, whatever it was asked.
  void watch_log(std::function<instant()> contact) { this->log_contact = std::move(contact); }

  // Who calls, and on which queue. Fails with not_found, unauthorized or, while
  // there is no configuration, unavailable.
  result<caller> identify(const std::string& host, const std::string& path,
                          const std::string& key) const;
  void submit(const caller& from, const job_id& job, job_spec spec, instant deadline,
              const reply<void>& on_answer);
  // As this daemon's own book has it; nothing if there is no such job. Fails with
  // unavailable if the book cannot tell.
  result<std::optional<job_phase>> phase_of(const job_id& job) const;
  // The same from the own book or from a daemon that keeps one.
  void find_phase(const job_id& job, instant deadline,
                  const reply<std::optional<job_phase>>& on_answer);
  // False if there is no such job.
  void cancel(const caller& from, const job_id& job, instant deadline,
              const reply<bool>& on_answer);
  // Of the own book alone. Fails with unavailable if there is none.
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
