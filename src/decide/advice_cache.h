#pragma once

#include <algorithm>
#include <array>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "decide/isolation.h"
#include "decide/runner_number.h"
#include "decide/task_ref.h"
#include "model/cell_config.h"

namespace monsoonmux::cell {

// A permission of the advice service to start tasks of one step on one runner.
struct ticket {
  std::string runner;
  std::string text;
};

// A ticket that is valid at present.
struct held_ticket {
  std::string text;  // Empty: there is none.
  instant until{0};  // When it expires.
};

// Caches the answers of the advice service about the waiting steps.
//
// The set of runners that are good for a step, i.e. for which the service grants
// tickets, never changes, but tickets expire soon. So the first query of a step names
// many runners, and later ones only those that are known to be good.
class advice_cache {
 public:
  // What is known of a runner that a query has named.
  struct known_runner {
    runner_number runner;
    bool good = false;
    std::string ticket;       // The newest one; empty if there was none.
    instant ticket_until{0};  // When it expires.
  };
  struct step_advice {
    std::vector<known_runner> known;  // Sorted by the runners' numbers.
    bool query_pending = false;
    bool pending_out_of_turn = false;  // The pending query is one of advice_query::out_of_turn.
    instant retry_at{0};               // No query is sent before this time.
    // No query is sent before this time for the tasks of that degree of isolation, since there
    // was no runner to query about for them.
    std::array<instant, isolation_degrees> no_runner_until{};
    // Since when the step has wanted a query that was not sent; `never` if it wants none.
    instant wanted_since = never;
    instant next_turn{0};      // No query is considered out of turn before this time.
    std::int64_t queries = 0;  // Number of queries sent.

    // The step wants a query that is not sent now.
    void put_off(instant now) { this->wanted_since = std::min(this->wanted_since, now); }
    // How long the step has wanted a query that was not sent.
    millis waited(instant now) const {
      return this->wanted_since == never ? millis{0} : now - this->wanted_since;
    }
    void sent(bool out_of_turn);

    // Null if no query has named the runner.
    const known_runner* find(runner_number runner) const;
    bool asked(runner_number runner) const { return this->find(runner) != nullptr; }
    bool known_good(runner_number runner) const;
    // Returns what holds the ticket for a start at `when`; null if none is valid then.
    const known_runner* ticket_for(runner_number runner, instant when) const;
    // Some ticket is valid at `when`.
    bool holds_ticket(instant when) const;
  };

  explicit advice_cache(std::shared_ptr<runner_numbers> numbers) : numbers(std::move(numbers)) {}

  step_advice& entry_for(const step_ref& step) { return this->steps[step]; }
  const step_advice* find(const step_ref& step) const;
  // Stores an answer: `tickets` for the good ones of the runners `asked`.
  void answer(const step_ref& step, const std::vector<std::string>& asked,
              const std::vector<ticket>& tickets, instant valid_until);
  // As above, and updates the estimated share of good runners of the step's queue.
  void answer(const queue_id& queue, const step_ref& step, const std::vector<std::string>& asked,
              const std::vector<ticket>& tickets, instant valid_until);
  // Estimates which share of the runners that a step of the queue has not yet been
  // queried about is good.
  double good_share(const queue_id& queue) const;
  // Returns the ticket for a start now.
  held_ticket ticket_for(const step_ref& step, const std::string& runner, instant now) const;
  void drop_ticket(const step_ref& step, const std::string& runner);
  void forget(const job_id& job);
  // Number of steps whose pending query was sent out of turn.
  std::size_t pending_out_of_turn() const;

 private:
  struct tally {
    // Prior: counts as 10 runners asked about, 4 of them good, before the first answer.
    double asked = 10;
    double good = 4;
  };

  const std::shared_ptr<runner_numbers> numbers;
  std::map<step_ref, step_advice> steps;
  std::unordered_map<queue_id, tally> tallies;
};

}  // namespace monsoonmux::cell
