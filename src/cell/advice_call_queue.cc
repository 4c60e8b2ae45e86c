#include "cell/advice_call_queue.h"

#include <algorithm>

namespace monsoonmux::cell {
namespace {

// A call counts as unanswered when it exceeds its expected duration by this much.
constexpr millis call_timeout_margin{600};

}  // namespace

advice_call_queue::advice_call_queue(advice_port& service, const clock& now)
    : port(service), time(now) {}

advice_call_queue::~advice_call_queue() {
  *this->alive = false;
}

void advice_call_queue::ask(request r) {
  this->waiting.push_back(std::move(r));
  this->start_next();
}

millis advice_call_queue::backlog() const {
  millis sum{0};
  if (this->busy) {
    sum = std::max(millis{0}, this->busy_until - this->time.now());
  }
  for (const request& r : this->waiting) {
    sum += r.expected;
  }
  return sum;
}

void advice_call_queue::start_next() {
  if (this->busy || this->waiting.empty()) {
    return;
  }
  request r = std::move(this->waiting.front());
  this->waiting.pop_front();
  this->busy = true;
  this->busy_until = this->time.now() + r.expected;
  this->port.advise(r.step, r.runners, r.expected + call_timeout_margin,
                    [this, on_answer = std::move(r.on_answer),
                     a = this->alive](result<std::vector<ticket>> answer) {
                      if (!*a) {
                        return;
                      }
                      this->busy = false;
                      if (answer.has_value()) {
                        on_answer(true, answer.value());
                      } else {
                        on_answer(false, {});
                      }
                      this->start_next();
                    });
}

}  // namespace monsoonmux::cell
