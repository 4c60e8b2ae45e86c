#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>

#include "cell/testing/fake_cell.h"

namespace monsoonmux::cell {

// Keeps the runners' entries as the platform does. The entry of a runner that the store has not
// heard of for a while is removed, also while the store is down, and is back within two seconds
// after the store hears of the runner again. Must outlive the cell's last event.
class fake_registrar {
 public:
  static constexpr millis unlisted_after{4'500};
  static constexpr millis longest_return{2'000};

  fake_registrar(fake_cell& cell, std::uint32_t seed) : cell(cell), random(seed) {
    for (auto& runner : this->cell.runners) {
      this->entries[runner->entry.id] = {true, runner->entry.incarnation};
      runner->on_back = [this, &runner = *runner] { this->came_back(runner); };
    }
    this->check_entries();
  }

  // Removes the entry of a runner that leaves as planned.
  void remove(const std::string& id) {
    this->cell.store.put(topic, id, "");
    this->entries[id].listed = false;
  }
  // Writes the entry of a runner that is up.
  void write(const fake_runner& runner) {
    entry_state& entry = this->entries[runner.entry.id];
    entry = {true, runner.entry.incarnation};
    this->cell.store.put(topic, runner.entry.id, "1");
  }
  // True if each runner that is up is listed as what it is.
  bool all_listed() const {
    return std::all_of(
        this->cell.runners.begin(), this->cell.runners.end(), [this](const auto& runner) {
          const auto it = this->entries.find(runner->entry.id);
          return !runner->up || (it != this->entries.end() && is_current(it->second, *runner));
        });
  }

  std::set<std::string> hidden;  // Runners that do not reach the store.
  bool lapse_in_outages = true;  // False: the store keeps all entries while it is down.

 private:
  static constexpr const char* topic = "runners";
  static constexpr millis step{50};

  struct entry_state {
    bool listed = false;
    std::int64_t incarnation = 0;
    millis silent{0};            // Since the store has heard of the runner.
    std::optional<instant> due;  // When the entry is written again.
  };

  static bool is_current(const entry_state& entry, const fake_runner& runner) {
    return entry.listed && entry.incarnation == runner.entry.incarnation;
  }
  const fake_runner* find(const std::string& id) const {
    for (const auto& runner : this->cell.runners) {
      if (runner->entry.id == id) {
        return runner.get();
      }
    }
    return nullptr;
  }
  bool hears_of(const fake_runner* runner) const {
    return runner != nullptr && runner->up && !this->cell.store.down &&
           !this->hidden.contains(runner->entry.id);
  }
  void came_back(const fake_runner& runner) {
    this->entries.try_emplace(runner.entry.id);
    if (this->hears_of(&runner)) {
      this->write(runner);
    }
  }

  void check_entries() {
    for (auto& [id, entry] : this->entries) {
      this->check_entry(id, entry);
    }
    this->cell.loop.after(step, [this] { this->check_entries(); });
  }
  void check_entry(const std::string& id, entry_state& entry) {
    const fake_runner* const runner = this->find(id);
    if (!this->hears_of(runner)) {
      entry.due.reset();
      entry.silent += this->cell.store.down && !this->lapse_in_outages ? millis{0} : step;
      if (entry.listed && entry.silent >= unlisted_after) {
        this->remove(id);
      }
      return;
    }
    entry.silent = millis{0};
    if (is_current(entry, *runner)) {
      return;
    }
    const instant now = this->cell.loop.now();
    if (!entry.due) {
      entry.due = now + millis{static_cast<std::int64_t>(
                            this->random() % static_cast<std::uint32_t>(longest_return.value))};
    }
    if (now >= *entry.due) {
      this->write(*runner);
    }
  }

  fake_cell& cell;
  std::mt19937 random;
  std::map<std::string, entry_state> entries;  // By id.
};

}  // namespace monsoonmux::cell
