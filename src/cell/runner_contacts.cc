#include "cell/runner_contacts.h"

namespace monsoonmux::cell {

runner_contacts::runner_contacts(progress_writer& target, const clock& now,
                                 const runner_contacts_options& given)
    : writer(target), time(now), options(given) {}

void runner_contacts::inherit(const std::map<std::string, runner_contact>& in_log) {
  this->by_runner = in_log;
  for (const auto& [runner, contact] : in_log) {
    this->unlisted(runner);
  }
}

void runner_contacts::listed(const runner_entry& entry) {
  this->unlisted_since.erase(entry.id);
  const runner_contact newest{entry.address, entry.domain, entry.incarnation, entry.draining};
  const auto it = this->by_runner.find(entry.id);
  if (it != this->by_runner.end() && it->second == newest) {
    return;
  }
  this->by_runner[entry.id] = newest;
  this->writer.append({key_of_contact(entry.id), encode(newest)}, [] {});
}

void runner_contacts::unlisted(const std::string& runner) {
  if (this->by_runner.contains(runner)) {
    this->unlisted_since.emplace(runner, this->time.now());
  }
}

void runner_contacts::forget_departed(const std::function<bool(const std::string&)>& has_runs) {
  const instant now = this->time.now();
  if (now - this->checked_at < this->options.check_interval) {
    return;
  }
  this->checked_at = now;
  std::erase_if(this->unlisted_since, [this, now, &has_runs](const auto& entry) {
    if (now - entry.second < this->options.kept_unlisted || has_runs(entry.first)) {
      return false;
    }
    this->by_runner.erase(entry.first);
    this->writer.append({key_of_contact(entry.first), {}}, [] {});
    return true;
  });
}

}  // namespace monsoonmux::cell
