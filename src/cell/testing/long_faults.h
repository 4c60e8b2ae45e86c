#pragma once

#include <algorithm>
#include <functional>
#include <string>
#include <utility>

#include "cell/testing/fake_cell.h"

namespace monsoonmux::cell {

// Injects random faults into a cell, each of which ends by itself after a random time. They
// last longer than a leader's command window and a runner's lease, and may overlap, but only
// one failure domain is cut off at a time.
class long_faults {
 public:
  explicit long_faults(fake_cell& cell) : cell(cell), random(cell.random) {}

  // Injects one fault.
  void inject() {
    static constexpr void (long_faults::*kinds[])() = {
        &long_faults::freeze_daemon,   &long_faults::restart_runner_while_leader_is_frozen,
        &long_faults::restart_daemon,  &long_faults::stop_store,
        &long_faults::cut_store,       &long_faults::cut_domain,
        &long_faults::cut_runner,      &long_faults::lose_answers_to_daemon,
        &long_faults::crash_runner,    &long_faults::lose_answers_of_runner,
        &long_faults::silence_agents,  &long_faults::lose_datagrams,
        &long_faults::isolate_daemon,  &long_faults::lose_answers_of_store,
        &long_faults::lead_twice,      &long_faults::delay_commands,
        &long_faults::slow_down_links, &long_faults::cut_leaders_domain,
    };
    (this->*kinds[this->random() % std::size(kinds)])();
  }

  // Ends all faults.
  void end() {
    this->ended = true;
    this->cell.store.down = false;
    this->cell.store.partitioned.clear();
    this->cell.store.lost_answers = 0;
    this->cell.store.late_appends = 0;
    this->cell.lost_datagrams = 0;
    this->cell.frames.turns_silent = 0;
    this->cell.isolated.clear();
    this->cell.end_cut();
    for (auto& runner : this->cell.runners) {
      runner->partitioned.clear();
      runner->unanswered.clear();
      runner->lost_answers = 0;
      runner->late_commands = 0;
      runner->slow_link = millis{0};
      this->bring_back(*runner);
    }
    for (auto& n : this->cell.nodes) {
      if (!n->daemon) {
        n->boot(this->cell);
      }
    }
  }

 private:
  // The entry of a runner that the store has not heard of for so long is removed.
  static constexpr millis unlisted_after{4'500};

  millis between(int shortest_ms, int longest_ms) {
    return millis{shortest_ms +
                  static_cast<std::int64_t>(this->random() %
                                            static_cast<std::uint32_t>(longest_ms - shortest_ms))};
  }
  double between(double lowest, double highest) {
    return std::uniform_real_distribution<double>(lowest, highest)(this->random);
  }
  fake_cell::node& any_daemon() {
    return *this->cell.nodes[this->random() % this->cell.nodes.size()];
  }
  fake_runner& any_runner() {
    return *this->cell.runners[this->random() % this->cell.runners.size()];
  }
  fake_cell::node& leader_or_any() {
    const int index = this->cell.leader();
    return index < 0 ? this->any_daemon() : *this->cell.nodes[static_cast<std::size_t>(index)];
  }
  // Calls `action` after the delay, unless all faults have ended by then.
  void later(millis delay, std::function<void()> action) {
    this->cell.loop.after(delay, [this, action = std::move(action)] {
      if (!this->ended) {
        action();
      }
    });
  }
  void log(const std::string& fault, const std::string& on, millis duration) {
    this->cell.events.write("fault", {{"what", fault}, {"on", on}, {"ms", duration.value}});
  }

  void freeze(fake_cell::node& n, millis duration) {
    this->log("freeze", n.name, duration);
    n.process.freeze_until(std::max(n.process.frozen_end(), this->cell.loop.now() + duration));
  }
  void freeze_daemon() { this->freeze(this->any_daemon(), this->between(500, 8'000)); }

  // Requests that wait in the frozen process, and answers that wait for it, are of the
  // runner's previous incarnation when the process goes on.
  void restart_runner_while_leader_is_frozen() {
    const millis duration = this->between(1'000, 8'000);
    this->freeze(this->leader_or_any(), duration);
    fake_runner& runner = this->any_runner();
    this->later(this->between(0, static_cast<int>(duration.value)),
                [this, &runner, outage = this->between(1, 600)] { this->crash(runner, outage); });
  }

  void restart_daemon() {
    fake_cell::node& n = this->random() % 2 == 0 ? this->leader_or_any() : this->any_daemon();
    if (!n.daemon) {
      return;
    }
    const millis outage = this->between(300, 4'000);
    this->log("kill", n.name, outage);
    n.kill();
    this->later(outage, [this, &n] {
      if (!n.daemon) {
        n.boot(this->cell);
      }
    });
  }

  void stop_store() {
    const millis duration = this->between(500, 6'000);
    this->log("store_down", "", duration);
    this->cell.store.down = true;
    this->later(duration, [this] { this->cell.store.down = false; });
  }

  void cut_from_store(fake_cell::node& n, millis duration) {
    this->log("store_cut", n.name, duration);
    this->cell.store.partitioned.insert(n.name);
    this->later(duration, [this, &n] { this->cell.store.partitioned.erase(n.name); });
  }
  void cut_store() { this->cut_from_store(this->any_daemon(), this->between(1'000, 12'000)); }

  void cut_off(const domain_id& domain) {
    if (!this->cell.store.cut_off.empty()) {
      return;
    }
    const millis duration = this->between(4'000, 20'000);
    this->log("cut_off", domain.text, duration);
    this->cell.cut_off(domain);
    for (auto& runner : this->cell.runners) {
      if (runner->entry.domain == domain) {
        this->unlist_if_out(*runner);
      }
    }
    this->later(duration, [this, domain] {
      this->cell.end_cut();
      for (auto& runner : this->cell.runners) {
        if (runner->entry.domain == domain && runner->up) {
          this->list(*runner, this->between(0, 2'000));
        }
      }
    });
  }
  void cut_domain() { this->cut_off(this->any_daemon().domain); }
  void cut_leaders_domain() { this->cut_off(this->leader_or_any().domain); }

  void cut_runner() {
    fake_runner& runner = this->any_runner();
    const std::string daemon =
        this->random() % 2 == 0 ? this->leader_or_any().name : this->any_daemon().name;
    const millis duration = this->between(1'000, 16'000);
    this->log("runner_cut", runner.entry.id + " " + daemon, duration);
    runner.partitioned.insert(daemon);
    this->later(duration, [&runner, daemon] { runner.partitioned.erase(daemon); });
  }

  // Commands of a daemon, or of all, arrive at a runner, but their answers do not.
  void lose_answers_to_daemon() {
    fake_runner& runner = this->any_runner();
    const bool to_all = this->random() % 2 == 0;
    const millis duration = this->between(1'000, 12'000);
    const std::string leader = this->leader_or_any().name;
    this->log("one_way", runner.entry.id + " " + (to_all ? "all" : leader), duration);
    for (auto& n : this->cell.nodes) {
      if (to_all || n->name == leader) {
        runner.unanswered.insert(n->name);
      }
    }
    this->later(duration, [&runner] { runner.unanswered.clear(); });
  }

  void crash(fake_runner& runner, millis outage) {
    if (!runner.up) {
      return;
    }
    runner.crash();
    this->unlist_if_out(runner);
    this->later(outage, [this, &runner] { this->bring_back(runner); });
  }
  void crash_runner() {
    const millis outage =
        this->random() % 2 == 0 ? this->between(1, 600) : this->between(600, 9'000);
    this->crash(this->any_runner(), outage);
  }
  void bring_back(fake_runner& runner) {
    if (!runner.up) {
      runner.restart();
    }
    if (this->heard_of(runner)) {
      this->cell.store.put("runners", runner.entry.id, "1");
    }
  }
  bool heard_of(const fake_runner& runner) const {
    const auto& cut = runner.cut_off;
    const bool inside =
        std::any_of(this->cell.nodes.begin(), this->cell.nodes.end(), [&](const auto& n) {
          return n->domain == runner.entry.domain && this->cell.store.cut_off.contains(n->name);
        });
    return runner.up && (cut.empty() || !inside);
  }
  void unlist_if_out(fake_runner& runner) {
    this->later(unlisted_after, [this, &runner] {
      if (!this->heard_of(runner)) {
        this->unlist(runner);
      }
    });
  }
  void unlist(const fake_runner& runner) {
    if (runner.up) {
      this->cell.history.hidden_incarnations.insert({runner.entry.id, runner.entry.incarnation});
    }
    this->cell.store.put("runners", runner.entry.id, "");
  }
  void list(fake_runner& runner, millis delay) {
    this->later(delay, [this, &runner] {
      if (this->heard_of(runner)) {
        this->cell.store.put("runners", runner.entry.id, "1");
      }
    });
  }

  void lose_answers_of_runner() {
    fake_runner& runner = this->any_runner();
    const millis duration = this->between(1'000, 10'000);
    this->log("runner_loses_answers", runner.entry.id, duration);
    runner.lost_answers = this->between(0.2, 1.0);
    this->later(duration, [&runner] { runner.lost_answers = 0; });
  }

  void delay_commands() {
    fake_runner& runner = this->any_runner();
    const millis duration = this->between(1'000, 8'000);
    this->log("runner_late", runner.entry.id, duration);
    runner.late_commands = this->between(0.1, 0.6);
    this->later(duration, [&runner] { runner.late_commands = 0; });
  }

  void slow_down_links() {
    fake_runner& runner = this->any_runner();
    const millis duration = this->between(1'000, 10'000);
    this->log("runner_slow_link", runner.entry.id, duration);
    runner.slow_link = this->between(50, 280);
    this->later(duration, [&runner] { runner.slow_link = millis{0}; });
  }

  void silence_agents() {
    const millis duration = this->between(1'000, 8'000);
    this->log("agents_turn_silent", "", duration);
    this->cell.frames.turns_silent = this->between(0.01, 0.2);
    this->later(duration, [this] { this->cell.frames.turns_silent = 0; });
  }

  void lose_datagrams() {
    const millis duration = this->between(1'000, 10'000);
    this->log("datagrams_lost", "", duration);
    this->cell.lost_datagrams = 0.3;
    this->later(duration, [this] { this->cell.lost_datagrams = 0; });
  }

  void isolate_daemon() {
    const std::string name = this->any_daemon().name;
    const millis duration = this->between(1'000, 10'000);
    this->log("isolate", name, duration);
    this->cell.isolated.insert(name);
    this->later(duration, [this, name] { this->cell.isolated.erase(name); });
  }

  void lose_answers_of_store() {
    const millis duration = this->between(1'000, 8'000);
    this->log("store_loses_answers", "", duration);
    this->cell.store.lost_answers = 0.3;
    this->cell.store.late_appends = 0.1;
    this->later(duration, [this] {
      this->cell.store.lost_answers = 0;
      this->cell.store.late_appends = 0;
    });
  }

  // The leader loses the store for longer than its command window and leads again, since the
  // others are cut off from the store for longer; all the while it does not reach one runner.
  void lead_twice() {
    fake_cell::node& leader = this->leader_or_any();
    const millis own = this->between(3'000, 7'000);
    const millis others = own + this->between(2'000, 6'000);
    for (auto& n : this->cell.nodes) {
      this->cut_from_store(*n, n.get() == &leader ? own : others);
    }
    fake_runner& runner = this->any_runner();
    const millis cut = others + this->between(0, 4'000);
    this->log("runner_cut", runner.entry.id + " " + leader.name, cut);
    runner.partitioned.insert(leader.name);
    this->later(cut, [&runner, &leader] { runner.partitioned.erase(leader.name); });
  }

  fake_cell& cell;
  std::mt19937& random;
  bool ended = false;
};

}  // namespace monsoonmux::cell
