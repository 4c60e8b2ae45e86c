#pragma once

#include <deque>
#include <memory>
#include <mutex>
#include <vector>

#include "base/clock.h"
#include "platform/log_service.h"
#include "state/replica.h"

namespace monsoonmux {

struct writer_options {
  std::size_t max_batch = 256;       // Records per append.
  std::size_t max_waiting = 20'000;  // Records not yet sent; more are refused.
  millis min_gap{50};                // Between two appends of this daemon.
  millis retry_first{100};           // Delay before an append is repeated,
  millis retry_most{2'000};          // doubled up to this.
  millis reread_after{3'000};        // An append not seen by then is repeated.
};

// Appends this daemon's records to the platform's log, in groups.
//
// A record is done when the replica has applied it, that is, when it was read
// back in log order; its outcome then is the same on every daemon. One append
// is in flight at a time. An append whose answer was lost is repeated with the
// same bytes; replicas skip the repetition by its sequence number.
//
// A record whose deadline passes before it was ever sent is withdrawn and fails
// with not_run. One that was sent fails with may_have_run, and may take effect
// later. Safe to call from any thread; replies come from the thread that calls
// tick() or replica::apply().
class log_writer {
 public:
  log_writer(daemon_id writer, std::int64_t incarnation, log_service& log, replica& state,
             const clock& time, writer_options options);

  // `deadline` of instant{INT64_MAX} never passes.
  void append(record value, instant deadline, reply<record_outcome> done);
  // Sends, repeats and gives up what is due. Call at least every min_gap.
  void tick();
  // Tells whether everything was written.
  bool idle() const;
  std::size_t waiting() const;
  std::int64_t appends() const;
  std::int64_t bytes() const;

 private:
  struct item {
    record value;
    instant deadline;
    reply<record_outcome> done;
  };
  struct flight {
    std::int64_t sequence = 0;
    std::string bytes;
    std::vector<item> items;
    instant next_try;
    instant sent;
    millis delay;
    bool sending = false;
  };
  // Replies collected under the lock and given after it is released.
  using answers = std::vector<std::function<void()>>;

  void seen(std::int64_t sequence, std::size_t place, record_outcome outcome);
  void give_up(instant now, answers& out);
  void take_off(instant now);
  void on_answer(std::int64_t sequence, const result<log_offset>& answer);

  const daemon_id writer;
  const std::int64_t incarnation;
  log_service& log;
  const clock& time;
  const writer_options options;

  mutable std::mutex lock;
  std::deque<item> queue;
  std::unique_ptr<flight> current;
  std::int64_t next_sequence = 1;
  std::size_t left_in_flight = 0;
  instant last_append;
  std::int64_t append_count = 0;
  std::int64_t byte_count = 0;
};

}  // namespace monsoonmux
