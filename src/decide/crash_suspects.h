#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "base/clock.h"
#include "decide/runner_table.h"

namespace monsoonmux::cell {

// A run that was given up since its lease ended while its runner did not answer. The runner may
// have crashed under it.
struct suspected_run {
  run_key run;
  std::int64_t incarnation = 0;  // Of the runner, when the run was placed; 0: unknown.
  instant lost_at;
  millis ran_for{0};       // From its placement until it was lost; 0: that is unknown.
  bool was_alone = false;  // Nothing else was on the runner.
  bool counted = false;    // As a crash, since the runner stayed away from the discovery list.
  // It would be the last crash that the task may have, so the task must not start until it is known
  // whether the runner crashed.
  bool held = false;
};

// How long a runner has been missing from the discovery list, by what was seen of the list without
// a gap while its failure domain could be seen (domain_sight). Both are 0 while it is there.
struct runner_absence {
  millis list_followed{0};  // The runner may have been there for a part of this time.
  millis missing{0};
};

// A suspected run whose runner is absent.
struct runner_suspect {
  std::string runner;
  suspected_run suspect;
  runner_absence absence;
};

struct suspicion_options {
  // A runner that is up is listed again within about 2 s after an outage of the list, or after it
  // was out of the store's reach. Later, one that is not in the list is gone.
  millis entry_return_time{3'000};
  // A runner that has crashed leaves the list within 4.5 s, and counts as gone 3 s after that was
  // seen, as soon as a read, which waits for 1.5 s at most, and a judgement, each 0.5 s, have
  // followed. A task is held no longer for want of it.
  millis longest_hold{9'500};
  // The same while the list is not followed without a gap for so long.
  millis longest_hold_without_list{15'000};
  // A suspicion that nothing has confirmed or disproved for so long is dropped.
  millis longest_suspicion{60'000};
};

// Runs of which it is not known yet whether their runners crashed under them, or is only concluded
// from the absence of the runner. Proof is another incarnation of the runner, or an answer of the
// same one. Knows neither jobs nor the log.
class crash_suspects {
 public:
  explicit crash_suspects(const suspicion_options& options = {}) : options(options) {}

  void add(const std::string& runner, const suspected_run& run);
  // True if a run on the runner is suspected.
  bool any_on(const std::string& runner) const { return this->by_runner.contains(runner); }
  // Number of the task's runs that are suspected and not counted.
  std::int32_t uncounted(const task_ref& task) const;
  // True if the task must not start until more is known of one of its suspected runs.
  bool holds(const task_ref& task) const;
  // True if the runner is gone, so that its run counts as a crash. `ends_job`: that is the last
  // crash which the task may have. No answer of the runner can take that back, so it must itself
  // have been missing for long enough. Otherwise the platform's removal of its entry is enough, if
  // the list is complete.
  bool absence_counts(const runner_absence& absence, bool ends_job) const {
    return (ends_job ? absence.missing : absence.list_followed) >= this->options.entry_return_time;
  }

  // Another incarnation of the runner is there: removes and returns the runs placed on earlier
  // ones.
  std::vector<suspected_run> take_confirmed(const std::string& runner, std::int64_t incarnation);
  // This incarnation of the runner has answered: removes and returns the runs placed on it.
  std::vector<suspected_run> take_disproved(const std::string& runner, std::int64_t incarnation);
  // Returns the runs that have not counted yet and whose runners are gone. Asks once for each
  // runner.
  std::vector<runner_suspect> absent(
      const std::function<runner_absence(const std::string&)>& absence_of) const;
  // Counts a run of those that absent() has returned, unless it `ends_job`, that is, is the last
  // crash that its task may have, and its runner has not been missing for long enough. Each count
  // may make another run the last one. Returns true if the run counts as a crash now. It stays
  // suspected, as the runner may still answer.
  bool count(const runner_suspect& absent, bool ends_job);
  // The run is no suspect any more, whatever its runner does.
  void drop(const std::string& runner, const run_key& run);
  // Returns the runs whose tasks are held no longer, and drops the oldest suspicions.
  // `list_followed`: for how long the list was followed that tells of the runner.
  std::vector<suspected_run> release(
      instant now, const std::function<millis(const std::string&)>& list_followed);

 private:
  std::vector<suspected_run> take(const std::string& runner,
                                  const std::function<bool(const suspected_run&)>& chosen);

  const suspicion_options options;
  std::map<std::string, std::vector<suspected_run>> by_runner;
};

}  // namespace monsoonmux::cell
