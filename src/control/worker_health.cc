#include "control/worker_health.h"

#include <algorithm>

namespace monsoonmux {

bool worker_health::on_end(const worker_id& worker, const job_id& job, bool succeeded,
                           instant now) {
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
  const bool newly_quarantined = now >= e.until;
  if (newly_quarantined) {
    e.next_quarantine = e.suspect ? std::min(e.next_quarantine * 2, this->options.max_quarantine)
                                  : this->options.initial_quarantine;
    e.until = now + e.next_quarantine;
  }
  e.suspect = true;
  return newly_quarantined;
}

bool worker_health::quarantined(const worker_id& worker, instant now) const {
  const auto it = this->workers.find(worker);
  return it != this->workers.end() && now < it->second.until;
}

bool worker_health::suspect(const worker_id& worker) const {
  const auto it = this->workers.find(worker);
  return it != this->workers.end() && it->second.suspect;
}

std::size_t worker_health::quarantined_count(instant now) const {
  return static_cast<std::size_t>(
      std::count_if(this->workers.begin(), this->workers.end(),
                    [&](const auto& item) { return now < item.second.until; }));
}

}  // namespace monsoonmux
