#pragma once

#include <functional>
#include <string>
#include <utility>

#include "cell/testing/fake_cell.h"
#include "cell/testing/lasting_task_check.h"

namespace monsoonmux::cell {

// Faults that take tasks that last from their runners: runners that are lost for good or leave,
// alone or with one or two leaders, at any moment around a takeover. Each call of inject()
// plays one such combination, whose last fault comes within `longest_play`.
class lasting_faults {
 public:
  static constexpr millis longest_play{9'000};

  lasting_faults(fake_cell& cell, lasting_task_check& check)
      : cell(cell), check(check), random(cell.random) {}

  void inject() {
    static constexpr void (lasting_faults::*kinds[])() = {
        &lasting_faults::lose_with_leader,    &lasting_faults::drain_with_leader,
        &lasting_faults::lapse_unseen,        &lasting_faults::lose_two_leaders,
        &lasting_faults::lose_after_restart,  &lasting_faults::cut_then_lose,
        &lasting_faults::lose_in_a_bad_store,
    };
    if (this->chance(0.5)) {
      this->change_config_often();
    }
    (this->*kinds[this->random() % std::size(kinds)])();
  }

 private:
  // The entry of a runner that the store has not heard of for so long is removed.
  static constexpr millis unlisted_after{4'500};
  static constexpr std::size_t fewest_runners = 6;
  static constexpr millis config_interval{400};

  millis between(int shortest_ms, int longest_ms) {
    return millis{shortest_ms +
                  static_cast<std::int64_t>(this->random() %
                                            static_cast<std::uint32_t>(longest_ms - shortest_ms))};
  }
  bool chance(double rate) {
    return std::uniform_real_distribution<double>(0, 1)(this->random) < rate;
  }
  void after(millis delay, std::function<void()> action) {
    this->cell.loop.after(delay, std::move(action));
  }
  void log(const std::string& fault, const std::string& on, millis duration = millis{0}) {
    this->cell.events.write("fault", {{"what", fault}, {"on", on}, {"ms", duration.value}});
  }

  // A runner that is up, if enough others are: mostly the one with the most on it.
  fake_runner* any_runner() {
    std::vector<fake_runner*> up;
    for (auto& runner : this->cell.runners) {
      if (runner->up && !runner->entry.draining) {
        up.push_back(runner.get());
      }
    }
    if (up.size() <= fewest_runners) {
      return nullptr;
    }
    const auto load = [this](const fake_runner* r) {
      return this->cell.history.on_runner[r->entry.id].size();
    };
    return this->chance(0.7) ? *std::max_element(up.begin(), up.end(),
                                                 [&load](const auto* a, const auto* b) {
                                                   return load(a) < load(b);
                                                 })
                             : up[this->random() % up.size()];
  }

  // The runner does not return. Connections to a silent one hang.
  void lose(fake_runner* runner, bool silent) {
    if (runner == nullptr || !runner->up) {
      return;
    }
    this->log(silent ? "lost_silently" : "lost", runner->entry.id);
    this->check.disrupted();
    runner->crash();
    if (silent) {
      for (const auto& n : this->cell.nodes) {
        runner->partitioned.insert(n->name);
      }
    }
    this->after(unlisted_after, [this, runner] { this->unlist(*runner); });
  }
  void unlist(const fake_runner& runner) {
    if (!runner.up) {
      this->cell.store.put("runners", runner.entry.id, "");
    }
  }
  // The runner is lost, and back as another incarnation after a while.
  void restart(fake_runner* runner, millis outage) {
    if (runner == nullptr || !runner->up) {
      return;
    }
    this->log("runner_restart", runner->entry.id, outage);
    this->check.disrupted();
    runner->crash();
    this->after(outage, [this, runner] {
      runner->restart();
      this->check.disrupted();
      this->after(this->between(0, 1'500), [this, runner] {
        if (runner->up) {
          this->cell.store.put("runners", runner->entry.id, "1");
        }
      });
    });
  }

  fake_cell::node* leader() {
    const int index = this->cell.leader();
    return index < 0 ? nullptr : this->cell.nodes[static_cast<std::size_t>(index)].get();
  }
  // A leader that is frozen counts as disrupted from then on, not until it wakes.
  void lose_leader() {
    fake_cell::node* const n = this->leader();
    if (n == nullptr) {
      return;
    }
    this->check.disrupted();
    if (this->chance(0.3)) {
      const millis duration = this->between(700, 6'000);
      this->log("freeze", n->name, duration);
      n->process.freeze_until(this->cell.loop.now() + duration);
      return;
    }
    const millis outage = this->between(300, 4'000);
    this->log("kill", n->name, outage);
    n->kill();
    this->after(outage, [this, n] {
      n->boot(this->cell);
      this->check.disrupted();
    });
  }

  void change_config_often() {
    const auto versions = 5 + this->random() % 30;
    this->log("config_series", "", config_interval * static_cast<int>(versions));
    for (std::uint32_t i = 0; i < versions; ++i) {
      this->after(config_interval * static_cast<int>(i), [this] {
        ++this->cell.config.version.value;
        this->cell.store.put("op", "config", std::to_string(this->cell.config.version.value));
      });
    }
  }

  // The leader is lost from shortly before its runner until a while after.
  void lose_with_leader() {
    constexpr millis earliest{1'000};
    const bool silent = this->chance(0.5);
    const bool at_once = this->chance(0.3);
    const millis leader_at = at_once ? earliest : this->between(0, 7'000);
    this->after(earliest, [this, silent] { this->lose(this->any_runner(), silent); });
    this->after(leader_at, [this] { this->lose_leader(); });
  }

  // A runner drains, ends its runs and leaves; its entry goes with it.
  void drain_with_leader() {
    fake_runner* const runner = this->any_runner();
    if (runner == nullptr) {
      return;
    }
    this->log("drain", runner->entry.id);
    runner->entry.draining = true;
    this->cell.store.put("runners", runner->entry.id, "1");
    const millis leaves = this->between(2'000, 6'500);
    this->after(leaves, [this, runner] {
      this->log("leaves", runner->entry.id);
      runner->leave();
      this->after(this->between(1, 400), [this, runner] { this->unlist(*runner); });
    });
    if (this->chance(0.7)) {
      this->after(leaves + this->between(-1'000, 1'500), [this] { this->lose_leader(); });
    }
  }

  // A runner is lost and its entry removed while nobody leads.
  void lapse_unseen() {
    this->lose_leader();
    this->after(this->between(0, 400), [this] {
      fake_runner* const runner = this->any_runner();
      this->lose(runner, this->chance(0.5));
      if (runner != nullptr) {
        this->after(this->between(1, 200), [this, runner] { this->unlist(*runner); });
      }
    });
  }

  void lose_two_leaders() {
    this->lose(this->any_runner(), this->chance(0.5));
    const millis first = this->between(0, 3'000);
    this->after(first, [this] { this->lose_leader(); });
    this->after(first + this->between(400, 4'000), [this] { this->lose_leader(); });
  }

  // A runner restarts and is lost, with or without its leader, before much is known of it.
  void lose_after_restart() {
    fake_runner* const runner = this->any_runner();
    const millis outage = this->between(50, 3'000);
    this->restart(runner, outage);
    this->after(outage + this->between(10, 3'000),
                [this, runner] { this->lose(runner, this->chance(0.5)); });
    if (this->chance(0.6)) {
      this->after(this->between(0, 6'000), [this] { this->lose_leader(); });
    }
  }

  // Only the leader does not reach a runner, which is lost later.
  void cut_then_lose() {
    fake_runner* const runner = this->any_runner();
    const fake_cell::node* const n = this->leader();
    if (runner == nullptr || n == nullptr) {
      return;
    }
    this->log("runner_cut", runner->entry.id + " " + n->name);
    this->check.disrupted();
    const bool one_way = this->chance(0.5);
    (one_way ? runner->unanswered : runner->partitioned).insert(n->name);
    const millis lost = this->between(100, 5'000);
    this->after(lost, [this, runner] { this->lose(runner, this->chance(0.5)); });
    if (this->chance(0.6)) {
      this->after(lost + this->between(-100, 2'000), [this] { this->lose_leader(); });
    }
  }

  // Claims and renewals are stored late, or without an answer, around the takeover.
  void lose_in_a_bad_store() {
    const millis duration = this->between(1'000, 5'000);
    this->log("bad_store", "", duration);
    this->check.disruption_begins();
    this->cell.store.lost_answers = 0.3;
    this->cell.store.late_appends = 0.1;
    this->after(duration, [this] {
      this->cell.store.lost_answers = 0;
      this->cell.store.late_appends = 0;
      this->check.disruption_ends();
    });
    this->lose_with_leader();
  }

  fake_cell& cell;
  lasting_task_check& check;
  std::mt19937& random;
};

}  // namespace monsoonmux::cell
