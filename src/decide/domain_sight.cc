#include "decide/domain_sight.h"

#include <algorithm>

namespace monsoonmux::cell {

void domain_sight::note(const std::string& runner, const domain_id& domain, bool present,
                        instant now) {
  const auto before = this->runners.find(runner);
  if (before != this->runners.end()) {
    if (before->second.domain == domain && before->second.present == present) {
      return;
    }
    this->remove(runner, before->second);
  }
  this->runners[runner] = {domain, present};
  domain_state& state = this->domains[domain];
  if (!present) {
    state.missing.emplace(runner, now);
    return;
  }
  if (++state.present == 1) {
    state.present_since = now;
  }
}

void domain_sight::note(const std::string& runner, bool present, instant now) {
  const auto it = this->runners.find(runner);
  if (it != this->runners.end()) {
    this->note(runner, domain_id{it->second.domain}, present, now);
  }
}

void domain_sight::remove(const std::string& runner, const runner_sight& sight) {
  domain_state& state = this->domains.at(sight.domain);
  state.missing.erase(runner);
  if (sight.present && --state.present == 0) {
    state.present_since = never;
  }
}

instant domain_sight::seen_since(const std::string& runner) const {
  const auto sight = this->runners.find(runner);
  if (sight == this->runners.end()) {
    return instant{0};
  }
  const domain_state& domain = this->domains.at(sight->second.domain);
  const bool alone = domain.present == 0 && this->went_missing_alone(domain, runner);
  return alone ? instant{0} : domain.present_since;
}

bool domain_sight::went_missing_alone(const domain_state& domain, const std::string& runner) const {
  const auto own = domain.missing.find(runner);
  if (own == domain.missing.end()) {
    return false;
  }
  return std::none_of(domain.missing.begin(), domain.missing.end(), [&](const auto& other) {
    const millis apart = std::max(other.second, own->second) - std::min(other.second, own->second);
    return other.first != runner && apart <= this->options.together;
  });
}

}  // namespace monsoonmux::cell
