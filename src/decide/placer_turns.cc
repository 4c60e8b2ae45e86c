// Gives each waiting step its turn within a bounded time, however many more urgent ones wait that
// cannot start: of a query to the advice service, and of being tried in a round.

#include <algorithm>
#include <set>
#include <tuple>

#include "decide/placer.h"

namespace monsoonmux::cell {

void placer::place_skipped_steps(instant now, plan& out) {
  if (this->sendable_bytes <= 0) {
    return;
  }
  for (auto& [pool, round] : this->pools) {
    const std::size_t most = round.max_blocked + this->options.blocked_steps_in_turn;
    round.max_blocked = most - this->options.blocked_steps_in_turn / 2;
    this->place_skipped_special(pool, round, now, out);
    round.max_blocked = most;
    this->place_skipped_candidates(pool, round, now, out);
  }
}

void placer::place_skipped_special(const std::string& pool, pool_round& round, instant now,
                                   plan& out) {
  std::vector<waiting_step*> skipped = std::move(round.skipped);
  round.skipped.clear();
  const auto by_step = [](const waiting_step* a, const waiting_step* b) {
    return std::tie(a->ref, a->kept) < std::tie(b->ref, b->kept);
  };
  std::sort(skipped.begin(), skipped.end(), by_step);
  step_ref& last = this->last_special_tried[pool];
  const auto next = std::find_if(skipped.begin(), skipped.end(),
                                 [&last](const waiting_step* step) { return last < step->ref; });
  std::rotate(skipped.begin(), next, skipped.end());
  for (waiting_step* step : skipped) {
    if (round.blocked >= round.max_blocked) {
      return;
    }
    last = step->ref;
    this->place_step(*step, now, out);
  }
}

void placer::place_skipped_candidates(const std::string& pool, pool_round& round, instant now,
                                      plan& out) {
  step_ref& last = this->last_tried[pool];
  const auto turn_is_later = [](const candidate_step& a, const candidate_step& b) {
    return b.place() < a.place();
  };
  // The first ones in turn are those behind the last one that was tried.
  const auto in_turn = std::partition(
      round.candidates.begin(), round.candidates.end(), [&last](const candidate_step& each) {
        return std::tie(last.job, last.occurrence, last.step) < each.place();
      });
  std::make_heap(round.candidates.begin(), in_turn, turn_is_later);
  for (auto end = in_turn; round.blocked < round.max_blocked; --end) {
    if (end == round.candidates.begin()) {
      last = {};  // The turn begins anew.
      return;
    }
    std::pop_heap(round.candidates.begin(), end, turn_is_later);
    const candidate_step& next = *(end - 1);
    last = next.ref();
    if (waiting_step* const step = this->expand_one(next)) {
      this->place_step(*step, now, out);
    }
  }
}

// Steps that have waited too long for a query: those in the window, which found no free daemon so
// far, and the deferred ones.
placer::overdue_by_pool placer::overdue_steps(instant now, plan& out) {
  overdue_by_pool overdue;
  const auto add = [&](const step_ref& ref, const pool_id& pool, const waiting_step* deferred) {
    const advice_cache::step_advice& advice = this->state.advice.entry_for(ref);
    const millis waited = advice.waited(now);
    out.longest_query_wait = std::max(out.longest_query_wait, waited);
    if (waited >= this->options.max_query_wait && now >= advice.next_turn) {
      overdue[pool.text].push_back({advice.wanted_since, ref, deferred});
    }
  };
  for (const advice_query& query : out.advice_queries) {
    add(query.step, query.pool, nullptr);
  }
  for (const waiting_step* step : this->deferred) {
    add(step->ref, step->pool, step);
  }
  for (auto& [pool, steps] : overdue) {
    std::sort(steps.begin(), steps.end(), [](const overdue_step& a, const overdue_step& b) {
      return std::tie(a.since, a.ref) < std::tie(b.since, b.ref);
    });
  }
  return overdue;
}

// The services take their turns apart from each other, so that one with hundreds of steps that wait
// does not keep the few of another waiting.
void placer::query_out_of_turn(instant now, plan& out) {
  const overdue_by_pool overdue = this->overdue_steps(now, out);
  if (overdue.empty()) {
    return;
  }
  const auto share = static_cast<std::size_t>(this->options.out_of_turn_share *
                                              static_cast<double>(this->state.advising_daemons));
  const std::size_t most_of_pool = std::max<std::size_t>(share / overdue.size(), 1);
  std::set<step_ref> chosen;
  for (const auto& [pool, steps] : overdue) {
    std::size_t under_way = this->pools[pool].pending_out_of_turn;
    std::size_t considered = 0;
    for (const overdue_step& each : steps) {
      if (under_way >= most_of_pool || ++considered > this->options.max_considered_out_of_turn) {
        break;
      }
      if (each.deferred != nullptr && !this->queried.contains(each.ref)) {
        this->state.advice.entry_for(each.ref).next_turn = now + this->options.helpless_retry_delay;
        this->add_query(*each.deferred, true, now, out);
      }
      under_way += this->queried.contains(each.ref) && chosen.insert(each.ref).second ? 1 : 0;
    }
  }
  for (advice_query& query : out.advice_queries) {
    query.out_of_turn = chosen.contains(query.step);
  }
}

// No daemon may be left for those that come last.
void placer::order_queries(plan& out) {
  std::stable_sort(out.advice_queries.begin(), out.advice_queries.end(),
                   [](const advice_query& a, const advice_query& b) {
                     return std::tuple(!a.out_of_turn, !a.has_room_now) <
                            std::tuple(!b.out_of_turn, !b.has_room_now);
                   });
}

}  // namespace monsoonmux::cell
