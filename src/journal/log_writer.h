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
  std::size_t max_waiting = 20'000;  // Records not yet sent; more are rejected.
  millis min_append_interval{50};    // Between two appends of this daemon.
  millis initial_backoff{100};       // Delay before a failed append is retried,
  millis max_backoff{2'000};         // doubled up to this.
  millis resend_after{3'000};        // After this, an append not read back is retried.
};

// Appends this daemon's records to the platform's log in batches.
//
// A record is done when the replica has applied it, that is, when it was read
// back in log order; its outcome is then the same on every daemon. One append is
// in flight at a time. An append whose answer was lost is retried with the same
// bytes; replicas recognize the duplicate by its sequence number and skip it.
//
// A record whose deadline passes before it was first sent is withdrawn and fails
// with not_run. A record that was already sent fails with may_have_run and can
// still take effect later. Safe to call from any thread. Replies are made on the
// thread that calls tick() or replica::apply(), or append() for rejected records.
class log_writer {
 public:
  log_writer(daemon_id writer, std::int64_t incarnation, log_service& log, replica& state,
             const clock& time, writer_options options);

  // A `deadline` of instant{INT64_MAX} never passes.
  void append(record value, instant deadline, reply<record_outcome> done);
  // Sends or retries the append that is due and fails the records whose deadline has
  // passed. Call at least every min_append_interval.
  void tick();
  // Whether all records were written and read back.
  bool idle() const;
  // The number of records that are not yet sent, or sent and not yet read back.
  std::size_t waiting() const;
  // Totals of what was sent, retries included.
  std::int64_t appends() const;
  std::int64_t bytes() const;

 private:
  struct queued_record {
    record value;
    instant deadline;
    reply<record_outcome> done;
  };
  struct append_batch {
    std::int64_t sequence = 0;
    std::string bytes;
    std::vector<queued_record> records;
    instant next_try;
    instant sent;
    millis delay;
    bool append_in_flight = false;
  };
  // Replies that are collected under the lock and made after it is released.
  using deferred_replies = std::vector<std::function<void()>>;

  void on_applied(std::int64_t sequence, std::size_t index, record_outcome outcome);
  void expire_records(instant now, deferred_replies& out);
  void start_batch(instant now);
  void on_answer(std::int64_t sequence, const result<log_offset>& answer);

  const daemon_id writer;
  const std::int64_t incarnation;
  log_service& log;
  const clock& time;
  const writer_options options;

  mutable std::mutex lock;
  std::deque<queued_record> queue;
  std::unique_ptr<append_batch> current;
  std::int64_t next_sequence = 1;
  std::size_t unapplied_records = 0;
  instant last_append;
  std::int64_t append_count = 0;
  std::int64_t byte_count = 0;
};

}  // namespace monsoonmux
