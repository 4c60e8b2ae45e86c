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
  std::size_t bytes_per_append = 1 << 20;  // Well below the size limit of one log call.
  millis retry{60};
  // An append is stalled when it takes this much longer than twice the usual duration:
  // a log that was fast before is then unavailable rather than slow.
  millis stall_margin{600};
};

// Appends a leader's records under its epoch, in batches, with one append in flight.
//
// The record of a job is encoded when its batch is sent, so a job that changed several
// times during the previous append is written once. An `on_stored` callback runs when the
// change is in the log, and never if the epoch has ended.
class progress_writer {
 public:
  // Encodes the current record of a job.
  using record_source = std::function<keyed_record(const job_id&)>;
  // Receives each record that is in the log, before the `on_stored` callbacks run.
  using record_sink = std::function<void(const logged_record&)>;

  progress_writer(event_loop& io, shared_log& log, const clock& time, event_log& events,
                  epoch own_epoch, record_source source, record_sink on_record,
                  std::function<void()> on_fenced, const progress_writer_options& options = {});
  ~progress_writer();
  progress_writer(const progress_writer&) = delete;
  progress_writer& operator=(const progress_writer&) = delete;

  // Fences leaders of lower epochs. `on_done` receives the end offset of the topic.
  void fence(const std::function<void(std::int64_t)>& on_done);
  // Writes the job's record with the next batch, then calls `on_stored`.
  void write(const job_id& job, std::function<void()> on_stored = {});
  // Appends a record of another kind once, with the next batch, then calls `on_stored`.
  void append(keyed_record record, std::function<void()> on_stored);
  // How long the append in flight has not succeeded; 0 if there is none.
  millis stalled_for() const;
  // True while appends succeed in about the usual duration.
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
  instant begun{0};           // When the append in flight was first sent.
  millis usual_duration{0};   // Moving average of recent appends, from first attempt to success.
  std::int32_t refusals = 0;  // Consecutive.
  bool epoch_over = false;
  bool flush_posted = false;
  std::int64_t next_sequence = 1;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace monsoonmux::cell
