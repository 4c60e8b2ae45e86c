// Group commit with one append in flight. The invariant is that an envelope's
// bytes never change once it was sent, so every repetition is the same entry.
// Waiting to read a record back, instead of trusting the append's answer, costs
// one read and settles three matters at once: lost answers, the order among
// operators who race, and that the replica which answers callers has the record.

#include "journal/log_writer.h"

#include <algorithm>

namespace monsoonmux {

log_writer::log_writer(daemon_id writer, std::int64_t incarnation, log_service& log, replica& state,
                       const clock& time, writer_options options)
    : writer(std::move(writer)), incarnation(incarnation), log(log), time(time), options(options) {
  state.watch_own_records(this->writer, incarnation,
                          [this](std::int64_t sequence, std::size_t place, record_outcome outcome) {
                            this->on_applied(sequence, place, outcome);
                          });
}

void log_writer::append(record value, instant deadline, reply<record_outcome> done) {
  {
    const std::lock_guard hold(this->lock);
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
    const std::lock_guard hold(this->lock);
    this->expire_records(now, out);
    if (!this->current && !this->queue.empty() &&
        now >= this->last_append + this->options.min_append_interval) {
      this->start_batch(now);
    }
    append_batch* f = this->current.get();
    if (f != nullptr && !f->append_in_flight && now >= f->next_try) {
      f->append_in_flight = true;
      f->sent = now;
      f->next_try = now + this->options.resend_after;
      this->last_append = now;
      ++this->append_count;
      this->byte_count += static_cast<std::int64_t>(f->bytes.size());
      bytes = f->bytes;
      sequence = f->sequence;
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
  for (queued_record& i : this->current->items) {
    if (i.done && i.deadline <= now) {
      out.emplace_back([done = std::move(i.done)] {
        done(may_have_run(error_code::unavailable, "the log did not confirm the record in time"));
      });
      i.done = nullptr;
    }
  }
}

void log_writer::start_batch(instant now) {
  auto f = std::make_unique<append_batch>();
  f->sequence = this->next_sequence++;
  f->next_try = now;
  f->delay = this->options.initial_backoff;
  envelope e{this->writer, this->incarnation, f->sequence, {}};
  while (!this->queue.empty() && f->items.size() < this->options.max_batch) {
    e.records.push_back(this->queue.front().value);
    f->items.push_back(std::move(this->queue.front()));
    this->queue.pop_front();
  }
  f->bytes = encode(e);
  this->unapplied_records = f->items.size();
  this->current = std::move(f);
}

void log_writer::on_answer(std::int64_t sequence, const result<log_offset>& answer) {
  const std::lock_guard hold(this->lock);
  append_batch* f = this->current.get();
  if (f == nullptr || f->sequence != sequence) {
    return;
  }
  f->append_in_flight = false;
  if (answer.has_error()) {
    f->next_try = this->time.now() + f->delay;
    f->delay = std::min(f->delay * 2, this->options.max_backoff);
  }
}

void log_writer::on_applied(std::int64_t sequence, std::size_t place, record_outcome outcome) {
  reply<record_outcome> done;
  {
    const std::lock_guard hold(this->lock);
    append_batch* f = this->current.get();
    if (f == nullptr || f->sequence != sequence || place >= f->items.size()) {
      return;
    }
    done = std::move(f->items[place].done);
    f->items[place].done = nullptr;
    if (--this->unapplied_records == 0) {
      this->current.reset();
    }
  }
  if (done) {
    done(outcome);
  }
}

bool log_writer::idle() const {
  const std::lock_guard hold(this->lock);
  return this->queue.empty() && !this->current;
}

std::size_t log_writer::waiting() const {
  const std::lock_guard hold(this->lock);
  return this->queue.size() + this->unapplied_records;
}

std::int64_t log_writer::appends() const {
  const std::lock_guard hold(this->lock);
  return this->append_count;
}

std::int64_t log_writer::bytes() const {
  const std::lock_guard hold(this->lock);
  return this->byte_count;
}

}  // namespace monsoonmux
