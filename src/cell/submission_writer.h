#pragma once

#include <deque>
#include <functional>
#include <memory>

#include "base/clock.h"
#include "cell/record_writer.h"
#include "cell/shared_log.h"
#include "cell/timer.h"
#include "cell/topics.h"

namespace monsoonmux::cell {

struct submission_writer_options {
  std::size_t records_per_append = 64;
  millis retry{80};  // Between two attempts to append the same records.
};

// Appends callers' records in batches, with one append in flight. A record is retried until
// its deadline. Its outcome is not_stored only if every attempt was answered. The key of
// a record makes the retries idempotent.
class submission_writer final : public record_writer {
 public:
  submission_writer(event_loop& io, shared_log& log, const clock& time,
                    const submission_writer_options& options = {});
  ~submission_writer() override;
  submission_writer(const submission_writer&) = delete;
  submission_writer& operator=(const submission_writer&) = delete;

  void write(write_request request, on_outcome done) override;
  bool can_forward() const override { return false; }
  std::size_t waiting() const { return this->queue.size(); }
  // Refused or unanswered appends since the last successful one.
  std::int64_t failed_appends() const { return this->failures; }

 private:
  struct entry {
    keyed_record record;
    instant deadline;
    on_outcome done;
    bool maybe_stored = false;
  };

  void flush();
  void answered(std::size_t count, const append_answer& answer);
  void expire();

  shared_log& log;
  const clock& time;
  const submission_writer_options options;
  timer retry;
  std::deque<entry> queue;
  bool in_flight = false;
  std::int64_t failures = 0;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace monsoonmux::cell
