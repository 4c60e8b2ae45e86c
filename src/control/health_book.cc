#include "control/health_book.h"

#include <algorithm>

namespace monsoonmux {

bool health_book::on_end(const worker_id& worker, const job_id& job, bool succeeded, instant now) {
  if (succeeded) {
    this->workers.erase(worker);
    return false;
  }
  entry& e = this->workers[worker];
  ++e.failures;
  e.jobs.insert(job);
  const bool enough = e.failures >= this->options.failures && e.jobs.size() > 1;
  if (!enough && !e.suspect) {
    return false;
  }
  const bool fresh = now >= e.until;
  if (fresh) {
    e.next_span =
        e.suspect ? std::min(e.next_span * 2, this->options.aside_most) : this->options.aside_first;
    e.until = now + e.next_span;
  }
  e.suspect = true;
  return fresh;
}

bool health_book::aside(const worker_id& worker, instant now) const {
  const auto it = this->workers.find(worker);
  return it != this->workers.end() && now < it->second.until;
}

bool health_book::suspect(const worker_id& worker) const {
  const auto it = this->workers.find(worker);
  return it != this->workers.end() && it->second.suspect;
}

std::size_t health_book::aside_count(instant now) const {
  return static_cast<std::size_t>(
      std::count_if(this->workers.begin(), this->workers.end(),
                    [&](const auto& item) { return now < item.second.until; }));
}

}  // namespace monsoonmux
