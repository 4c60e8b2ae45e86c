#include "cell/log_follower.h"

#include <algorithm>

namespace monsoonmux::cell {
namespace {

// Until a read that gets no answer is given up and another one is answered.
constexpr millis longest_failure{1'000};

}  // namespace

log_follower::log_follower(event_loop& io, shared_log& source, const clock& now, event_log& out,
                           std::string name, const follower_options& given, handlers callbacks)
    : log(source),
      time(now),
      events(out),
      topic(std::move(name)),
      options(given),
      on(std::move(callbacks)),
      next_try(io),
      min_interval(given.min_interval) {}

log_follower::~log_follower() {
  *this->alive = false;
}

void log_follower::start() {
  this->first_page = true;
  this->catching_up = false;
  this->unbroken_since = never;
  if (this->on.on_loading) {
    this->on.on_loading();
  }
  this->load({});
}

void log_follower::load(const std::string& after_key) {
  this->log.newest(
      this->topic, after_key, [this, after_key, a = this->alive](result<newest_answer> answer) {
        if (!*a) {
          return;
        }
        if (answer.has_error()) {
          this->record_failure(answer.error());
          this->next_try.start(this->options.retry, [this, after_key] { this->load(after_key); });
          return;
        }
        this->record_contact();
        this->loaded_page(answer.value());
      });
}

void log_follower::loaded_page(const newest_answer& page) {
  if (this->first_page) {
    // Later pages may contain records newer than this end. Reading on from this end
    // delivers every change that was appended while the pages were read.
    this->load_end = page.end;
    this->first_page = false;
  }
  for (const logged_record& record : page.records) {
    this->on.on_record(record);
  }
  if (page.has_more && !page.records.empty()) {
    this->load(page.records.back().record.key);
    return;
  }
  this->next = this->load_end;
  this->catching_up = true;
  this->read();
}

void log_follower::read() {
  this->read_started = this->time.now();
  this->throttled = false;
  // After a failure the read does not wait: any answer shows that the log is reachable again.
  const millis wait = this->failures > 0 || this->catching_up ? millis{0} : this->options.wait;
  this->log.read(this->topic, this->next, wait,
                 [this, a = this->alive](result<read_answer> answer) {
                   if (!*a) {
                     return;
                   }
                   if (answer.has_error()) {
                     this->record_failure(answer.error());
                     this->next_try.start(this->options.retry, [this] { this->read(); });
                     return;
                   }
                   this->record_contact();
                   this->read_answered(answer.value());
                 });
}

void log_follower::deliver(const read_answer& answer) {
  for (const logged_record& record : answer.records) {
    this->on.on_record(record);
  }
  this->next = std::max(this->next, answer.next);
}

void log_follower::read_answered(const read_answer& answer) {
  if (answer.history_dropped) {
    this->events.write("log_history_dropped", {{"topic", this->topic}, {"next", this->next}});
    this->start();
    return;
  }
  this->deliver(answer);
  const bool all_read = this->next >= answer.end;
  if (all_read) {
    this->caught_up_at = this->time.now();
    this->unbroken_since = std::min(this->unbroken_since, this->caught_up_at);
  }
  if (this->catching_up && all_read) {
    this->catching_up = false;
    this->is_loaded = true;
    this->events.write("log_loaded", {{"topic", this->topic}, {"next", this->next}});
    const auto a = this->alive;
    this->on.on_loaded();
    if (!*a) {
      return;
    }
  }
  if (all_read) {
    this->schedule_read();
  } else {
    this->read();
  }
}

void log_follower::schedule_read() {
  const millis since = this->time.now() - this->read_started;
  if (since < this->min_interval) {
    this->throttled = true;
    this->next_try.start(this->min_interval - since, [this] { this->read(); });
    return;
  }
  this->read();
}

void log_follower::throttle(millis interval) {
  this->min_interval = interval;
  this->read_now();
}

void log_follower::read_now() {
  if (this->throttled) {
    this->next_try.start(millis{0}, [this] { this->read(); });
  }
}

bool log_follower::has_gap() const {
  return this->time.now() - this->contact > this->options.wait + longest_failure;
}

followed_time log_follower::followed() const {
  if (this->has_gap() || this->unbroken_since == never) {
    return {};
  }
  return {this->unbroken_since, this->caught_up_at};
}

void log_follower::record_contact() {
  if (this->failures > 0) {
    this->events.write("log_regained", {{"topic", this->topic}, {"failed", this->failures}});
  }
  this->failures = 0;
  if (this->has_gap()) {
    this->unbroken_since = never;
  }
  this->contact = this->time.now();
}

void log_follower::record_failure(const failure& why) {
  if (++this->failures == 1) {
    this->events.write("log_lost", {{"topic", this->topic}, {"why", why.detail}});
  }
}

}  // namespace monsoonmux::cell
