// An append without an answer is retried with the same bytes and the same sequence number
// until the log answers. The log answers a repeated number as it did the first time, so
// no batch is written twice and none is skipped.

#include "cell/progress_writer.h"

#include <algorithm>
#include <iterator>

namespace monsoonmux::cell {

progress_writer::progress_writer(event_loop& loop, shared_log& target, const clock& now,
                                 event_log& out, epoch new_epoch, record_source make,
                                 record_sink sink, std::function<void()> fenced,
                                 const progress_writer_options& given)
    : io(loop),
      log(target),
      time(now),
      events(out),
      own_epoch(new_epoch),
      source(std::move(make)),
      on_record(std::move(sink)),
      on_fenced(std::move(fenced)),
      options(given),
      retry(loop) {}

progress_writer::~progress_writer() {
  *this->alive = false;
}

millis progress_writer::stalled_for() const {
  return this->in_flight ? this->time.now() - this->begun : millis{0};
}

bool progress_writer::log_responsive() const {
  constexpr std::int32_t max_refusals = 2;
  return !this->epoch_over && this->refusals < max_refusals &&
         this->stalled_for() <= this->usual_duration * 2 + this->options.stall_margin;
}

void progress_writer::fence(const std::function<void(std::int64_t)>& on_done) {
  append_request request;
  request.topic = work_topic;
  request.producer = producer_stamp{leader_producer, this->own_epoch, 0};
  this->in_flight = true;
  this->log.append(std::move(request), [this, on_done, a = this->alive](append_answer answer) {
    if (!*a) {
      return;
    }
    this->in_flight = false;
    switch (answer.status) {
      case append_status::done:
        on_done(answer.end);
        this->flush();
        break;
      case append_status::fenced:
        this->epoch_over = true;
        this->on_fenced();
        break;
      default:
        this->retry.start(this->options.retry, [this, on_done] { this->fence(on_done); });
    }
  });
}

void progress_writer::write(const job_id& job, std::function<void()> on_stored) {
  this->dirty.insert(job);
  if (on_stored) {
    this->waiters.push_back(std::move(on_stored));
  }
  this->post_flush();
}

void progress_writer::append(keyed_record record, std::function<void()> on_stored) {
  this->extra_records.push_back({std::move(record), std::move(on_stored)});
  this->post_flush();
}

void progress_writer::post_flush() {
  if (this->flush_posted) {
    return;
  }
  // Flushes after all events of this iteration of the loop, so that they share a batch.
  this->flush_posted = true;
  this->io.post([this, a = this->alive] {
    if (*a) {
      this->flush_posted = false;
      this->flush();
    }
  });
}

void progress_writer::flush() {
  if (this->in_flight || this->epoch_over || (this->dirty.empty() && this->extra_records.empty())) {
    return;
  }
  this->current = {};
  this->current.sequence = this->next_sequence;
  this->take_dirty(this->take_extras());
  if (this->current.records.empty()) {
    for (const auto& waiter : this->current.on_stored) {
      this->io.post(waiter);
    }
    return;
  }
  this->in_flight = true;
  this->begun = this->time.now();
  this->send();
}

std::size_t progress_writer::take_extras() {
  std::size_t bytes = 0;
  while (!this->extra_records.empty() && bytes < this->options.bytes_per_append) {
    extra_record& extra = this->extra_records.front();
    bytes += extra.record.value.size();
    this->current.records.push_back(std::move(extra.record));
    this->current.on_stored.push_back(std::move(extra.on_stored));
    this->extra_records.pop_front();
  }
  return bytes;
}

void progress_writer::take_dirty(std::size_t bytes) {
  while (!this->dirty.empty() && bytes < this->options.bytes_per_append) {
    const job_id job = *this->dirty.begin();
    this->dirty.erase(this->dirty.begin());
    keyed_record record = this->source(job);
    if (record.key.empty()) {
      continue;  // The job was forgotten after its last record had been written.
    }
    bytes += record.value.size();
    this->current.records.push_back(std::move(record));
  }
  if (this->dirty.empty()) {
    std::move(this->waiters.begin(), this->waiters.end(),
              std::back_inserter(this->current.on_stored));
    this->waiters.clear();
  }
}

void progress_writer::send() {
  append_request request;
  request.topic = work_topic;
  request.records = this->current.records;
  request.producer = producer_stamp{leader_producer, this->own_epoch, this->current.sequence};
  this->log.append(std::move(request), [this, a = this->alive](append_answer answer) {
    if (*a) {
      this->answered(answer);
    }
  });
}

void progress_writer::record_duration() {
  // The moving average covers few appends, so that a log that turns slow is noticed soon.
  constexpr std::int64_t averaged_appends = 4;
  this->usual_duration += (this->stalled_for() - this->usual_duration) / averaged_appends;
  this->refusals = 0;
}

void progress_writer::answered(const append_answer& answer) {
  if (answer.status == append_status::done) {
    this->record_duration();
    this->in_flight = false;
    this->next_sequence = this->current.sequence + 1;
    const auto stored = std::move(this->current.on_stored);
    const auto records = std::move(this->current.records);
    const auto a = this->alive;
    std::int64_t offset = answer.first;
    for (const keyed_record& record : records) {
      this->on_record({offset++, record});
    }
    for (const auto& waiter : stored) {
      if (!*a) {
        return;
      }
      waiter();
    }
    if (*a) {
      this->flush();
    }
    return;
  }
  if (answer.status == append_status::fenced) {
    this->epoch_over = true;
    this->on_fenced();
    return;
  }
  this->refusals += answer.status == append_status::refused ? 1 : 0;
  if (answer.status == append_status::out_of_sequence) {
    this->events.write("append_out_of_sequence", {{"epoch", this->own_epoch.value},
                                                  {"sequence", this->current.sequence},
                                                  {"expected", answer.expected_sequence}});
    this->current.sequence = answer.expected_sequence;
  }
  this->retry.start(this->options.retry, [this] { this->send(); });
}

}  // namespace monsoonmux::cell
