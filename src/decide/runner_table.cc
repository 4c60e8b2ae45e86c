#include "decide/runner_table.h"

#include <algorithm>

namespace monsoonmux::cell {

std::string_view to_string(work_refusal refusal) {
  switch (refusal) {
    case work_refusal::none:
      return "none";
    case work_refusal::not_listed:
      return "not_listed";
    case work_refusal::not_admitted:
      return "not_admitted";
    case work_refusal::draining:
      return "draining";
    case work_refusal::stalled:
      return "stalled";
    case work_refusal::failing:
      return "failing";
    case work_refusal::unknown_need:
      return "unknown_need";
  }
  return "unknown";
}

instant allocation::expected_end(instant now) const {
  if (this->expected.value <= 0) {
    return never;
  }
  const instant forecast = this->since + this->expected;
  return forecast >= now ? forecast : now + (now - forecast);
}

instant allocation::earliest_end(instant now) const {
  return this->expected.value <= 0 ? never : std::max(now, this->since + this->expected);
}

work_refusal runner_state::refusal(instant now) const {
  if (!this->listed) {
    return work_refusal::not_listed;
  }
  if (!this->admitted) {
    return work_refusal::not_admitted;
  }
  if (this->entry.draining) {
    return work_refusal::draining;
  }
  if (this->quarantined_until > now) {
    return this->quarantined_for;
  }
  return this->runs_of_unknown_need > 0 ? work_refusal::unknown_need : work_refusal::none;
}

bool runner_state::has_label(const std::string& label) const {
  return std::find(this->entry.labels.begin(), this->entry.labels.end(), label) !=
         this->entry.labels.end();
}

runner_state& runner_table::state_of(const std::string& id) {
  const auto [it, is_new] = this->by_id.try_emplace(id);
  if (is_new) {
    it->second.number = this->numbers->of(id);
  }
  return it->second;
}

runner_state& runner_table::update(const runner_entry& entry) {
  runner_state& state = this->state_of(entry.id);
  if (state.entry.draining && state.entry.incarnation != entry.incarnation) {
    state.drained_incarnation = state.entry.incarnation;
  }
  if (!entry.draining && state.drained_incarnation == entry.incarnation) {
    state.drained_incarnation = 0;
  }
  state.entry = entry;
  state.listed = true;
  state.unreadable = false;
  return state;
}

void runner_table::mark_unlisted(const std::string& id, instant now) {
  runner_state* const state = this->find(id);
  if (state == nullptr || (!state->listed && !state->unreadable)) {
    return;
  }
  state->listed = false;
  state->unreadable = false;
  state->unlisted_since = now;
}

void runner_table::mark_unreadable(const std::string& id) {
  runner_state& state = this->state_of(id);
  state.listed = false;
  state.unreadable = true;
}

void runner_table::mark_drained(const std::string& id, std::int64_t incarnation) {
  if (runner_state* state = this->find(id)) {
    state->drained_incarnation = incarnation;
  }
}

runner_state* runner_table::find(const std::string& id) {
  const auto it = this->by_id.find(id);
  return it == this->by_id.end() ? nullptr : &it->second;
}

void runner_table::count(runner_state& state, const allocation& run, std::int32_t sign) {
  state.used += run.capacity_used * sign;
  state.best_effort_runs += run.best_effort ? sign : 0;
  state.latency_sensitive_runs += run.latency_sensitive ? sign : 0;
  state.runs_of_unknown_need += run.need_known ? 0 : sign;
  state.runs_kept_alone += run.kept == isolation::alone ? sign : 0;
  state.suspect_runs += run.kept != isolation::none ? sign : 0;
}

bool runner_table::add(const std::string& id, const allocation& run) {
  runner_state& state = this->state_of(id);
  const bool is_new = state.allocations.emplace(run_key{run.task, run.run}, run).second;
  if (!is_new) {
    return false;
  }
  count(state, run, 1);
  if (run.untracked) {
    ++this->untracked[run.task];
  }
  return true;
}

bool runner_table::remove(const std::string& id, const run_key& key) {
  runner_state* const state = this->find(id);
  if (state == nullptr) {
    return false;
  }
  const auto it = state->allocations.find(key);
  if (it == state->allocations.end()) {
    return false;
  }
  count(*state, it->second, -1);
  if (it->second.untracked && --this->untracked[key.task] == 0) {
    this->untracked.erase(key.task);
  }
  state->allocations.erase(it);
  return true;
}

void runner_table::acquit(const std::string& id, const run_key& key) {
  runner_state* const state = this->find(id);
  if (state == nullptr || !state->allocations.contains(key)) {
    return;
  }
  allocation& run = state->allocations.at(key);
  count(*state, run, -1);
  run.kept = isolation::none;
  count(*state, run, 1);
}

void runner_table::note_progress(const std::string& id, const run_key& run, bool gets_on) {
  runner_state* const state = this->find(id);
  if (state == nullptr) {
    return;
  }
  const auto it = state->allocations.find(run);
  if (it != state->allocations.end()) {
    it->second.gets_on = gets_on;
  }
}

std::int64_t runner_table::quarantine_stalled(instant now) {
  std::int64_t looked_at = 0;
  for (auto& [id, runner] : this->by_id) {
    std::int32_t overdue = 0;
    std::int32_t long_ones = 0;
    std::int32_t others = 0;
    for (const auto& [key, run] : runner.allocations) {
      ++looked_at;
      // Best-effort work is slow by design while other runs are busy.
      if (run.expected.value <= 0 || !run.expected_is_learned || run.best_effort) {
        continue;
      }
      if (now - run.since <= run.expected * this->options.overdue_factor) {
        ++others;
      } else {
        ++(run.gets_on ? long_ones : overdue);
      }
    }
    const std::int32_t late = overdue + long_ones;
    runner.may_be_slow = late >= this->options.overdue_runs && late >= others;
    others += long_ones;
    if (overdue >= this->options.overdue_runs && overdue >= others) {
      this->quarantine(runner, now, now + this->options.stalled_quarantine_time,
                       {id, true, work_refusal::stalled, overdue, others, millis{0}});
    }
    this->note_quarantine_end(id, runner, now);
  }
  return looked_at;
}

void runner_table::quarantine(runner_state& state, instant now, instant until,
                              quarantine_change change) {
  if (until > state.quarantined_until) {
    state.quarantined_until = until;
    state.quarantined_for = change.why;
  }
  if (state.quarantined_since == never) {
    state.quarantined_since = now;
    this->quarantine_changes.push_back(std::move(change));
  }
}

void runner_table::note_quarantine_end(const std::string& id, runner_state& state, instant now) {
  if (state.quarantined_since == never || state.quarantined_until > now) {
    return;
  }
  const millis lasted = now - state.quarantined_since;
  state.quarantined_since = never;
  this->quarantine_changes.push_back({id, false, state.quarantined_for, 0, 0, lasted});
}

std::int64_t runner_table::check_stalled(instant now) {
  if (now - this->stalled_checked < this->options.stalled_check_interval) {
    return 0;
  }
  this->stalled_checked = now;
  return this->quarantine_stalled(now);
}

void runner_table::record_run_outcome(const std::string& id, bool failed, instant now) {
  runner_state* const state = this->find(id);
  if (state == nullptr) {
    return;
  }
  state->consecutive_failures = failed ? state->consecutive_failures + 1 : 0;
  if (state->consecutive_failures >= this->options.failures_to_quarantine) {
    this->quarantine(*state, now, now + this->options.quarantine_time,
                     {id, true, work_refusal::failing, 0, 0, millis{0}});
    state->consecutive_failures = 0;
  }
}

}  // namespace monsoonmux::cell
