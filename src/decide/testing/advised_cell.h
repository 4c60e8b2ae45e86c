#pragma once

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "decide/placer.h"
#include "decide/testing/cell_builder.h"

namespace monsoonmux::cell {

constexpr millis advised_ticket_lifetime{2'000};
constexpr millis advised_round_interval{50};

// Answers the queries of the planner's rounds: all runners are good. The daemons work on one query
// at a time, so a query that finds all of them busy is not sent.
struct advised_cell : cell_builder {
  explicit advised_cell(std::size_t daemons) { this->state.advising_daemons = daemons; }

  void run_round() {
    this->now = this->now + advised_round_interval;
    this->answer_due();
    const plan out = this->planner.decide(this->now, this->now.value);
    this->longest_query_wait = std::max(this->longest_query_wait, out.longest_query_wait);
    for (const placement& each : out.placements) {
      this->started.insert(each.task.in.job.text);
    }
    for (const advice_query& query : out.advice_queries) {
      this->send(query);
    }
  }
  void run_for(millis time) {
    for (const instant until = this->now + time; this->now < until;) {
      this->run_round();
    }
  }

  std::set<std::string> started;
  std::map<std::string, int> queries;  // By job.
  millis longest_query_wait{0};        // Of any step in any round.

 private:
  struct call {
    advice_query query;
    instant ends;
  };
  void send(const advice_query& query) {
    advice_cache::step_advice& advice = this->state.advice.entry_for(query.step);
    if (this->calls.size() >= this->state.advising_daemons) {
      advice.put_off(this->now);
      return;
    }
    advice.sent(query.out_of_turn);
    ++this->queries[query.step.job.text];
    const millis duration{static_cast<std::int64_t>(query.terms.per_call_ms +
                                                    query.terms.per_runner_ms *
                                                        static_cast<double>(query.runners.size()))};
    this->calls.push_back({query, this->now + duration});
  }
  void answer_due() {
    const auto due = std::stable_partition(this->calls.begin(), this->calls.end(),
                                           [this](const call& c) { return c.ends > this->now; });
    for (auto it = due; it != this->calls.end(); ++it) {
      std::vector<ticket> tickets;
      for (const std::string& runner : it->query.runners) {
        tickets.push_back({runner, "t"});
      }
      this->state.advice.answer(it->query.step, it->query.runners, tickets,
                                this->now + advised_ticket_lifetime);
    }
    this->calls.erase(due, this->calls.end());
  }

  std::vector<call> calls;
  placer planner{this->state};
};

}  // namespace monsoonmux::cell
