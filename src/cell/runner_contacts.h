#pragma once

#include <functional>
#include <map>
#include <string>

#include "base/clock.h"
#include "cell/progress_writer.h"
#include "model/runner_contact.h"
#include "model/runner_entry.h"

namespace monsoonmux::cell {

struct runner_contacts_options {
  // A runner that is not listed is forgotten after this, if no run may be on it. The entries of
  // runners that are there return within seconds.
  millis kept_unlisted{30'000};
  millis check_interval{1'000};  // Between two looks for such runners.
};

// Keeps in the log where each runner is reached, for successors that take over while the list
// of runners is incomplete.
//
// A record is written once for each incarnation of a runner, with the leader's next batch and
// before the records of runs that are placed there. So a successor that knows of a run also
// knows where its runner was.
class runner_contacts {
 public:
  runner_contacts(progress_writer& writer, const clock& time,
                  const runner_contacts_options& options = {});

  // What the log says at a takeover. No runner counts as listed yet.
  void inherit(const std::map<std::string, runner_contact>& in_log);
  void listed(const runner_entry& entry);
  void unlisted(const std::string& runner);
  const std::map<std::string, runner_contact>& known() const { return this->by_runner; }
  // Forgets runners that have not been listed for long, except where `has_runs` is true.
  void forget_departed(const std::function<bool(const std::string&)>& has_runs);

 private:
  progress_writer& writer;
  const clock& time;
  const runner_contacts_options options;
  std::map<std::string, runner_contact> by_runner;
  std::map<std::string, instant> unlisted_since;
  instant checked_at{0};
};

}  // namespace monsoonmux::cell
