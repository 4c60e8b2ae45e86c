#pragma once

#include <map>
#include <string>

#include "base/clock.h"
#include "base/ids.h"

namespace monsoonmux::cell {

struct domain_sight_options {
  // Runners of a failure domain that go missing within this time may have one cause. It covers the
  // time from the first silent runner to the last removed entry.
  millis together{10'000};
};

// Tells whether the absence of a runner says anything of that runner. A failure domain that is cut
// off, or has lost its power, hides all of its runners: nothing is known of any of them until one
// is present again, which means that it is listed and answers.
class domain_sight {
 public:
  explicit domain_sight(const domain_sight_options& options = {}) : options(options) {}

  void note(const std::string& runner, const domain_id& domain, bool present, instant now);
  // The same for a runner whose domain was noted before; otherwise it does nothing.
  void note(const std::string& runner, bool present, instant now);
  // Since when another runner of its domain has been present without a gap; `never` if none is now.
  // Zero if the runner went missing alone, since nothing else of its domain is known to be missing.
  instant seen_since(const std::string& runner) const;

 private:
  struct domain_state {
    std::map<std::string, instant> missing;  // Runners, with the time at which they went missing.
    std::size_t present = 0;
    instant present_since = never;  // Without a gap.
  };
  struct runner_sight {
    domain_id domain;
    bool present = false;
  };

  void remove(const std::string& runner, const runner_sight& sight);
  bool went_missing_alone(const domain_state& domain, const std::string& runner) const;

  const domain_sight_options options;
  std::map<domain_id, domain_state> domains;
  std::map<std::string, runner_sight> runners;
};

}  // namespace monsoonmux::cell
