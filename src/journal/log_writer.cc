// Group commit with one append in flight. The invariant is that an envelope's
// bytes never change once it was sent, so every retry appends the same entry.
// Records are confirmed by reading them back from the log, not by the append's
// answer. That costs one read and covers three cases: the answer is lost; changes
// of several operators race and need one order; and the replica that answers
// callers must have applied the record.

#include "journal/log_writer.h"

#include <algorithm>

namespace monsoonmux {

log_writer::log_writer(daemon_id writer, std::int64_t incarnation, log_service& log, replica& state,
                       const clock& time, writer_options options)
    : writer(std::move(writer)), incarnation(incarnation), log(log), time(time), options(options) {
  state.watch_own_records(this->writer, incarnation,
                          [this](std::int64_t sequence, std::size_t index, record_outcome outcome) {
                            this->on_applied(sequence, index, outcome);
                          });
}

void log_writer::append(record value, instant deadline, reply<record_outcome> done) {
  {
    const std::lock_guard guard(this->lock);
    if (this->queue.size() < this->options.max_waiting) {
      this->queue.push_back({std::move(value), deadline, std::move(done)});
      return;
    }
  }
  if (done) {
    done(not_run(error_code::overloaded, "too many records wait for the log"));
  }
}

void log_writer::tick() {
  const instant now = this->time.now();
  deferred_replies out;
  std::string bytes;
  std::int64_t sequence = 0;
  {
    const std::lock_guard guard(this->lock);
    this->expire_records(now, out);
    if (!this->current && !this->queue.empty() &&
        now >= this->last_append + this->options.min_append_interval) {
      this->start_batch(now);
    }
    append_batch* batch = this->current.get();
    if (batch != nullptr && !batch->append_in_flight && now >= batch->next_try) {
      batch->append_in_flight = true;
      batch->sent = now;
      batch->next_try = now + this->options.resend_after;
      this->last_append = now;
      ++this->append_count;
      this->byte_count += static_cast<std::int64_t>(batch->bytes.size());
      bytes = batch->bytes;
      sequence = batch->sequence;
    }
  }
  for (const auto& answer : out) {
    answer();
  }
  if (sequence != 0) {
    this->log.append(std::move(bytes), [this, sequence](const result<log_offset>& answer) {
      this->on_answer(sequence, answer);
    });
  }
}

void log_writer::expire_records(instant now, deferred_replies& out) {
  for (auto it = this->queue.begin(); it != this->queue.end();) {
    if (it->deadline > now) {
      ++it;
      continue;
    }
    if (it->done) {
      out.emplace_back([done = std::move(it->done)] {
        done(not_run(error_code::unavailable, "the log did not take the record in time"));
      });
    }
    it = this->queue.erase(it);
  }
  if (!this->current) {
    return;
  }
  for (queued_record& i : this->current->records) {
    if (i.done && i.deadline <= now) {
      out.emplace_back([done = std::move(i.done)] {
        done(may_have_run(error_code::unavailable, "the log did not confirm the record in time"));
      });
      i.done = nullptr;
    }
  }
}

void log_writer::start_batch(instant now) {
  auto batch = std::make_unique<append_batch>();
  batch->sequence = this->next_sequence++;
  batch->next_try = now;
  batch->delay = this->options.initial_backoff;
  envelope e{this->writer, this->incarnation, batch->sequence, {}};
  while (!this->queue.empty() && batch->records.size() < this->options.max_batch) {
    e.records.push_back(this->queue.front().value);
    batch->records.push_back(std::move(this->queue.front()));
    this->queue.pop_front();
  }
  batch->bytes = encode(e);
  this->unapplied_records = batch->records.size();
  this->current = std::move(batch);
}

void log_writer::on_answer(std::int64_t sequence, const result<log_offset>& answer) {
  const std::lock_guard guard(this->lock);
  append_batch* batch = this->current.get();
  if (batch == nullptr || batch->sequence != sequence) {
    return;
  }
  batch->append_in_flight = false;
  if (answer.has_error()) {
    batch->next_try = this->time.now() + batch->delay;
    batch->delay = std::min(batch->delay * 2, this->options.max_backoff);
  }
}

void log_writer::on_applied(std::int64_t sequence, std::size_t index, record_outcome outcome) {
  reply<record_outcome> done;
  {
    const std::lock_guard guard(this->lock);
    append_batch* batch = this->current.get();
    if (batch == nullptr || batch->sequence != sequence || index >= batch->records.size()) {
      return;
    }
    done = std::move(batch->records[index].done);
    batch->records[index].done = nullptr;
    if (--this->unapplied_records == 0) {
      this->current.reset();
    }
  }
  if (done) {
    done(outcome);
  }
}

bool log_writer::idle() const {
  const std::lock_guard guard(this->lock);
  return this->queue.empty() && !this->current;
}

std::size_t log_writer::waiting() const {
  const std::lock_guard guard(this->lock);
  return this->queue.size() + this->unapplied_records;
}

std::int64_t log_writer::appends() const {
  const std::lock_guard guard(this->lock);
  return this->append_count;
}

std::int64_t log_writer::bytes() const {
  const std::lock_guard guard(this->lock);
  return this->byte_count;
}

}  // namespace monsoonmux
