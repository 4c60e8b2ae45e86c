#pragma once

#include <functional>
#include <optional>
#include <string>

#include "async/counters.h"
#include "async/event_log.h"
#include "base/clock.h"
#include "base/failure.h"
#include "cell/record_writer.h"
#include "decide/job_book.h"
#include "model/cell_config.h"

namespace monsoonmux::cell {

// A caller's queue and who the caller is.
struct caller {
  const queue_config* queue = nullptr;
  team_id tenant;      // Empty on open queues.
  caller_proof proof;  // How it was addressed.
};

struct desk_options {
  // A book that has not heard from the log for this long may miss accepted jobs,
  // so an unknown job is not denied.
  millis book_age{2'500};
  // A log that has not answered for this long takes no job either; the caller is
  // better off with another daemon at once, or a little later.
  millis log_silence{1'000};
};

// Takes jobs from callers and tells how they are, at any daemon. A job is accepted
// when its record is in the log, so a repeat at another daemon is the same job.
class job_desk {
 public:
  job_desk(record_writer& writer, const clock& time, event_log& events, counters& metrics,
           const desk_options& options = {});

  void configure(cell_config config);
  bool configured() const { return this->is_configured; }
  const cell_config& config() const { return this->current; }
  // The book was loaded and is fed from the log; `contact` says when it last was.
  void feed(const job_book* book, std::function<instant()> contact);

  // Who calls, and on which queue. Fails with not_found, unauthorized or, while
  // there is no configuration, unavailable.
  result<caller> identify(const std::string& host, const std::string& path,
                          const std::string& key) const;
  void submit(const caller& from, const job_id& job, job_spec spec, instant deadline,
              const reply<void>& on_answer);
  // Nothing if there is no such job.
  result<std::optional<job_phase>> phase_of(const job_id& job) const;
  // False if there is no such job.
  void cancel(const caller& from, const job_id& job, instant deadline,
              const reply<bool>& on_answer);
  result<std::int64_t> pending(const caller& from) const;

 private:
  bool book_is_fresh() const;
  bool log_answers() const;
  bool takes_records() const;
  static failure failure_of(const write_outcome& outcome);

  record_writer& writer;
  const clock& time;
  event_log& events;
  counters& metrics;
  const desk_options options;
  cell_config current;
  bool is_configured = false;
  const job_book* book = nullptr;
  std::function<instant()> book_contact;
};

}  // namespace monsoonmux::cell
