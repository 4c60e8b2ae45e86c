#pragma once

#include <mutex>

#include "base/clock.h"
#include "base/event.h"
#include "journal/entry_cache.h"
#include "platform/log_service.h"
#include "state/replica.h"

namespace monsoonmux {

struct follower_options {
  millis poll{1'000};          // Between reads when nobody hints at news.
  millis retry{500};           // After a failed read.
  millis read_timeout{5'000};  // A read without an answer is given up.
};

// Reads the log from the platform, or from other daemons while the platform is
// out of reach, and applies it to the replica in order.
//
// If the log has forgotten entries that this daemon did not read, it goes on
// from the oldest kept one; records that are due are written again before they
// expire, so the state is whole all the same. If the log comes back shorter than
// it was, the state is kept and reading goes on at its end.
class log_follower {
 public:
  log_follower(log_service& platform, log_service& peers, replica& state, const clock& time,
               event_sink& events, follower_options options);

  // Reads what is due. Call often.
  void tick();
  // Another daemon has applied entries up to this offset.
  void hint(log_offset next);
  // The next offset to apply.
  log_offset next() const;
  // When the last read began that found this daemon up to date with the
  // platform; instant{} if none did.
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
