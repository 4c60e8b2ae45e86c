#pragma once

#include <functional>
#include <memory>
#include <string>

#include "async/event_log.h"
#include "base/clock.h"
#include "cell/shared_log.h"
#include "cell/timer.h"

namespace monsoonmux::cell {

struct follower_options {
  millis wait{1'500};      // Of one read, while nothing comes.
  millis retry{150};       // After a read that failed.
  millis min_interval{0};  // Between the starts of two reads.
};

// Follows one topic: first the newest record of each key, then every record as it
// is appended. A record may be delivered twice. When history was dropped before it
// was read, the newest records are read again.
class log_follower {
 public:
  struct handlers {
    std::function<void(const logged_record&)> on_record;
    // All newest records have been delivered; at the start, and after each loss of
    // history.
    std::function<void()> on_loaded;
    // A load begins; records that are not delivered until on_loaded() are gone.
    std::function<void()> on_loading;
  };

  log_follower(event_loop& io, shared_log& log, const clock& time, event_log& events,
               std::string topic, const follower_options& options, handlers on);
  ~log_follower();
  log_follower(const log_follower&) = delete;
  log_follower& operator=(const log_follower&) = delete;

  void start();
  // Changes the least time between the starts of two reads, from now on.
  void throttle(millis min_interval);
  // Reads now, if it is only waiting for its next turn.
  void read_now();
  // All records were delivered once, also those that came while the others were read.
  bool loaded() const { return this->is_loaded; }
  // When nothing was left to read.
  instant caught_up() const { return this->caught_up_at; }
  // All records below this offset have been delivered.
  std::int64_t position() const { return this->next; }
  // When the log last answered; a reader is at most this far behind plus one wait.
  instant last_contact() const { return this->contact; }
  // Reads that failed since the last one that was answered.
  std::int64_t failed_reads() const { return this->failures; }

 private:
  void load(const std::string& after_key);
  void loaded_page(const newest_answer& page);
  void read();
  void read_answered(const read_answer& answer);
  void failed(const failure& why);
  void record_contact();
  void schedule_read();

  shared_log& log;
  const clock& time;
  event_log& events;
  const std::string topic;
  const follower_options options;
  const handlers on;
  timer next_try;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
  bool is_loaded = false;
  bool loading = false;  // The newest records were read, and not yet all that followed.
  instant caught_up_at{0};
  bool first_page = true;
  std::int64_t next = 0;
  std::int64_t load_end = 0;
  millis min_interval;
  std::int64_t failures = 0;
  instant contact{0};
  instant read_started{0};
  bool throttled = false;  // The next read is only put off by min_interval.
};

}  // namespace monsoonmux::cell
