#pragma once

#include <functional>
#include <memory>
#include <string>

#include "async/event_log.h"
#include "base/clock.h"
#include "cell/followed_time.h"
#include "cell/shared_log.h"
#include "cell/timer.h"

namespace monsoonmux::cell {

struct follower_options {
  millis wait{1'500};      // How long one read waits for new records.
  millis retry{150};       // Delay after a failed read.
  millis min_interval{0};  // Least time between the starts of two reads.
};

// Follows one topic: delivers the newest record of each key first, then every record as it
// is appended. A record may be delivered twice. If the log dropped records before they were
// read, the newest record of each key is read again.
class log_follower {
 public:
  struct handlers {
    std::function<void(const logged_record&)> on_record;
    // The newest record of each key has been delivered. Called after start(), and again
    // each time that the log dropped records before they were read.
    std::function<void()> on_loaded;
    // A load begins; keys that are not delivered before on_loaded() do not exist any more.
    std::function<void()> on_loading;
  };

  log_follower(event_loop& io, shared_log& log, const clock& time, event_log& events,
               std::string topic, const follower_options& options, handlers on);
  ~log_follower();
  log_follower(const log_follower&) = delete;
  log_follower& operator=(const log_follower&) = delete;

  void start();
  // Sets the least time between the starts of two reads, from now on.
  void throttle(millis min_interval);
  // Reads now if the next read is only delayed by the minimum interval.
  void read_now();
  // Delivers the records of a read that began at position().
  void deliver(const read_answer& answer);
  // True if all records were delivered once, including those appended during the load.
  bool loaded() const { return this->is_loaded; }
  // When the end of the topic was last reached.
  instant caught_up() const { return this->caught_up_at; }
  // The latest time in which the topic was followed without a gap, that is with no longer time
  // between two answers than a read that waits and one that fails take. Empty if there is a gap
  // now.
  followed_time followed() const;
  // All records below this offset have been delivered.
  std::int64_t position() const { return this->next; }
  // When the log last answered. The delivered records lag behind the log by at most the time
  // since then plus the wait of one read.
  instant last_contact() const { return this->contact; }
  // Number of failed reads since the last successful one.
  std::int64_t failed_reads() const { return this->failures; }

 private:
  void load(const std::string& after_key);
  void loaded_page(const newest_answer& page);
  void read();
  void read_answered(const read_answer& answer);
  void record_failure(const failure& why);
  void record_contact();
  // True if the last answer is older than usual reads allow.
  bool has_gap() const;
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
  // The newest records were read, but not yet all records appended during the load.
  bool catching_up = false;
  instant caught_up_at{0};
  instant unbroken_since = never;
  bool first_page = true;
  std::int64_t next = 0;
  std::int64_t load_end = 0;
  millis min_interval;
  std::int64_t failures = 0;
  instant contact{0};
  instant read_started{0};
  bool throttled = false;  // The next read is delayed by min_interval.
};

}  // namespace monsoonmux::cell
