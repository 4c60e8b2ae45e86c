#include "cell/submission_writer.h"

#include <algorithm>

namespace monsoonmux::cell {

submission_writer::submission_writer(event_loop& io, shared_log& target, const clock& now,
                                     const submission_writer_options& given)
    : log(target), time(now), options(given), retry(io) {}

submission_writer::~submission_writer() {
  *this->alive = false;
}

void submission_writer::write(write_request request, on_outcome done) {
  this->queue.push_back({std::move(request.record), request.deadline, std::move(done)});
  if (!this->in_flight && !this->retry.pending()) {
    this->flush();
  }
}

void submission_writer::flush() {
  this->expire();
  if (this->in_flight || this->queue.empty()) {
    return;
  }
  append_request request;
  request.topic = work_topic;
  const std::size_t count = std::min(this->queue.size(), this->options.records_per_append);
  for (std::size_t i = 0; i < count; ++i) {
    request.records.push_back(this->queue[i].record);
  }
  this->in_flight = true;
  this->log.append(std::move(request), [this, count, a = this->alive](append_answer answer) {
    if (*a) {
      this->answered(count, answer);
    }
  });
}

void submission_writer::answered(std::size_t count, const append_answer& answer) {
  this->in_flight = false;
  if (answer.status == append_status::done) {
    this->failures = 0;
    std::vector<entry> stored(
        std::make_move_iterator(this->queue.begin()),
        std::make_move_iterator(this->queue.begin() + static_cast<std::ptrdiff_t>(count)));
    this->queue.erase(this->queue.begin(),
                      this->queue.begin() + static_cast<std::ptrdiff_t>(count));
    for (entry& e : stored) {
      e.done({write_status::stored, {}});
    }
    this->flush();
    return;
  }
  ++this->failures;
  if (answer.status == append_status::unknown) {
    for (std::size_t i = 0; i < count; ++i) {
      this->queue[i].maybe_stored = true;
    }
  }
  this->retry.start(this->options.retry, [this] { this->flush(); });
}

void submission_writer::expire() {
  const instant now = this->time.now();
  std::vector<entry> expired;
  for (auto it = this->queue.begin(); it != this->queue.end();) {
    if (it->deadline <= now) {
      expired.push_back(std::move(*it));
      it = this->queue.erase(it);
    } else {
      ++it;
    }
  }
  for (entry& e : expired) {
    e.done({e.maybe_stored ? write_status::unknown : write_status::not_stored, {}});
  }
}

}  // namespace monsoonmux::cell
