#pragma once

#include <mutex>

#include "base/clock.h"
#include "base/event.h"
#include "journal/entry_cache.h"
#include "platform/log_service.h"
#include "state/replica.h"

namespace monsoonmux {

struct follower_options {
  millis poll{1'000};          // Interval between reads without a hint().
  millis retry{500};           // Delay after a failed read.
  millis read_timeout{5'000};  // An unanswered read is then abandoned.
};

// Reads the log from the platform, or from other daemons while the platform is
// unreachable, and applies it to the replica in order.
//
// If entries that this daemon has not read have expired, it continues from the
// oldest entry that the log keeps. The state is complete nevertheless, because
// records that are still needed are written again before they expire. If the log is
// shorter after an outage than before, the state is kept and reading continues at
// the new end.
class log_follower {
 public:
  log_follower(log_service& platform, log_service& peers, replica& state, const clock& time,
               event_sink& events, follower_options options);

  // Starts the next read if it is due. Call often.
  void tick();
  // Reports that another daemon has applied the entries before `next`. If this daemon
  // has not, its next read does not wait for the poll interval.
  void hint(log_offset next);
  // The offset of the next entry to apply.
  log_offset next() const;
  // The start of the last read that found this daemon up to date with the platform;
  // instant{} if there was none.
  instant confirmed_at() const;
  bool platform_reachable() const;
  const entry_cache& cache() const { return this->recent; }

 private:
  void on_page(bool platform, instant sent, std::int64_t read, const result<log_page>& page);
  void apply_page(bool platform, instant sent, const log_page& page);

  log_service& platform;
  log_service& peers;
  replica& state;
  const clock& time;
  event_sink& events;
  const follower_options options;
  entry_cache recent;

  mutable std::mutex lock;  // Guards the members below.
  std::mutex apply_lock;    // Entries are applied by one thread at a time.
  log_offset cursor;
  log_offset hinted_next;
  instant confirmed;
  instant next_read;
  instant read_started;
  std::int64_t read_number = 0;
  bool read_in_flight = false;
  bool platform_answers = false;
  bool read_from_peer = false;
};

}  // namespace monsoonmux
