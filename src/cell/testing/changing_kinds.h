#pragma once

#include <algorithm>
#include <string>

#include "cell/testing/fake_cell.h"

// Runners that come back as others while there are faults, and as what they were afterwards.
namespace monsoonmux::cell {

enum class kind_change {
  under_its_id,   // With half the capacity, and a label that it lacked or without one that it had.
  to_other_pool,  // The same in the other pool, under another id at the same address.
};

constexpr millis kinds_change_for{20'000};

inline void toggle_label(runner_entry& entry, const std::string& label) {
  const auto removed = std::erase(entry.labels, label);
  if (removed == 0) {
    entry.labels.push_back(label);
  }
}

// What the first incarnation was, and what it was not.
struct runner_kinds {
  runner_kinds(const runner_entry& entry, const std::string& label, const pool_id& other_pool)
      : first(entry), second(entry) {
    this->second.capacity = {millicores{entry.capacity.cpu.value / 2}, entry.capacity.memory,
                             entry.capacity.accelerators};
    this->second.pool = other_pool;
    toggle_label(this->second, label);
  }

  // Makes the entry one of the other kind.
  void swap(runner_entry& entry) const {
    const bool was_first = entry.capacity == this->first.capacity;
    this->assign(entry, was_first ? this->second : this->first);
  }
  static void assign(runner_entry& entry, const runner_entry& kind) {
    entry.capacity = kind.capacity;
    entry.pool = kind.pool;
    entry.labels = kind.labels;
  }

  runner_entry first;
  runner_entry second;
};

inline void restart_all(fake_cell& cell) {
  constexpr millis outage{500};
  for (auto& runner : cell.runners) {
    if (runner->up) {
      runner->crash();
    }
    cell.loop.after(outage, [&cell, &runner = *runner] {
      runner.restart();
      cell.store.put("runners", runner.entry.id, "1");
    });
  }
}

inline void change_kinds(fake_cell& cell, const std::string& label, kind_change how) {
  const bool moves = how == kind_change::to_other_pool;
  const pool_id one = cell.runners.front()->entry.pool;
  const pool_id other = cell.runners.back()->entry.pool;
  const instant end = cell.loop.now() + kinds_change_for;
  for (auto& runner : cell.runners) {
    const pool_id own = runner->entry.pool;
    const pool_id opposite = own == one ? other : one;
    const runner_kinds kinds(runner->entry, label, moves ? opposite : own);
    runner->renamed_on_return = moves;
    runner->on_restart = [&cell, kinds, end](runner_entry& entry) {
      if (cell.loop.now() < end) {
        kinds.swap(entry);
      } else {
        runner_kinds::assign(entry, kinds.first);
      }
    };
  }
  cell.loop.after(kinds_change_for, [&cell] { restart_all(cell); });
}

// No runner may have two tasks of a step, gangs excepted.
inline void spread_all_steps(fake_cell& cell) {
  cell.before_submit = [](job_spec& spec) {
    for (step_spec& step : spec.steps) {
      step.anti_affinity = step.gang ? 0 : 1;
    }
  };
}

}  // namespace monsoonmux::cell
