#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <set>
#include <vector>

#include "async/event_log.h"
#include "base/clock.h"
#include "cell/shared_log.h"
#include "cell/timer.h"
#include "cell/topics.h"

namespace monsoonmux::cell {

struct progress_writer_options {
  std::size_t bytes_per_append = 1 << 20;  // Well below what one call may carry.
  millis retry{60};
  // An append that takes this much longer than twice the usual time is stalled: the
  // log was fast until now, so it is away rather than slow.
  millis stall_margin{600};
};

// Appends an owner's records under its epoch, in groups, one append at a time.
//
// Records are made at the moment of the append, so a job that changed many times
// meanwhile is written once. What was asked to follow a change runs when the
// change is in the log, and never if the epoch is over.
class progress_writer {
 public:
  // Makes the newest record of a job.
  using record_source = std::function<keyed_record(const job_id&)>;
  // Is told of each record that is in the log, before what was asked to follow it.
  using record_sink = std::function<void(const logged_record&)>;

  progress_writer(event_loop& io, shared_log& log, const clock& time, event_log& events,
                  epoch own_epoch, record_source source, record_sink on_record,
                  std::function<void()> on_fenced, const progress_writer_options& options = {});
  ~progress_writer();
  progress_writer(const progress_writer&) = delete;
  progress_writer& operator=(const progress_writer&) = delete;

  // Shuts out owners of lower epochs; `on_done` gets the end of the topic.
  void fence(const std::function<void(std::int64_t)>& on_done);
  // Writes the job's record soon, then calls `on_stored`.
  void write(const job_id& job, std::function<void()> on_stored = {});
  // Appends another record, soon and once, then calls `on_stored`.
  void append(keyed_record record, std::function<void()> on_stored);
  // How long the append under way has been without success; 0 if there is none.
  millis stalled_for() const;
  // True while appends succeed in about their usual time.
  bool log_responsive() const;
  bool idle() const {
    return !this->in_flight && this->dirty.empty() && this->extra_records.empty();
  }

 private:
  struct batch {
    std::int64_t sequence = 0;
    std::vector<keyed_record> records;
    std::vector<std::function<void()>> on_stored;
  };

  struct extra_record {
    keyed_record record;
    std::function<void()> on_stored;
  };

  void post_flush();
  void flush();
  std::size_t take_extras();
  void take_dirty(std::size_t bytes);
  void send();
  void answered(const append_answer& answer);
  void record_duration();

  event_loop& io;
  shared_log& log;
  const clock& time;
  event_log& events;
  const epoch own_epoch;
  const record_source source;
  const record_sink on_record;
  const std::function<void()> on_fenced;
  const progress_writer_options options;
  timer retry;
  std::set<job_id> dirty;
  std::deque<extra_record> extra_records;
  std::vector<std::function<void()>> waiters;
  batch current;
  bool in_flight = false;
  instant begun{0};           // Of the append under way.
  millis usual_duration{0};   // Of the last appends, from the first try to success.
  std::int32_t refusals = 0;  // In a row.
  bool epoch_over = false;
  bool flush_posted = false;
  std::int64_t next_sequence = 1;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace monsoonmux::cell
