#pragma once

#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "decide/task_ref.h"
#include "model/cell_config.h"

namespace monsoonmux::cell {

// Permission to start tasks of one step on one runner.
struct ticket {
  std::string runner;
  std::string text;
};

// What the advice service has said about the steps that wait.
//
// Which runners are good for a step never changes, but a ticket for it expires
// soon. So a step is first asked about many runners, and later only about those
// that are known to be good.
class advice_cache {
 public:
  struct step_advice {
    std::unordered_map<std::string, bool> good;  // By runner, as far as asked.
    struct cached_ticket {
      std::string text;
      instant valid_until;
    };
    std::unordered_map<std::string, cached_ticket> tickets;
    bool query_pending = false;
    instant retry_at{0};

    // The ticket for a start at `when`; null if there is none that is still valid.
    const std::string* ticket_for(const std::string& runner, instant when) const;
    bool known_good(const std::string& runner) const;
  };

  step_advice& entry_for(const step_ref& step) { return this->steps[step]; }
  const step_advice* find(const step_ref& step) const;
  void answer(const step_ref& step, const std::vector<std::string>& asked,
              const std::vector<ticket>& tickets, instant valid_until);
  // The same for a step of this queue, whose share of good runners is learned from it.
  void answer(const queue_id& queue, const step_ref& step, const std::vector<std::string>& asked,
              const std::vector<ticket>& tickets, instant valid_until);
  // Of runners that a step of the queue was not asked about yet, how many are good.
  double good_share(const queue_id& queue) const;
  // The ticket for a start now; empty if there is none that is still valid.
  std::string ticket_for(const step_ref& step, const std::string& runner, instant now) const;
  void drop_ticket(const step_ref& step, const std::string& runner);
  void forget(const job_id& job);

 private:
  struct tally {
    // As if so many had been asked about before anything was.
    double asked = 10;
    double good = 4;
  };

  std::map<step_ref, step_advice> steps;
  std::unordered_map<queue_id, tally> tallies;
};

}  // namespace monsoonmux::cell
