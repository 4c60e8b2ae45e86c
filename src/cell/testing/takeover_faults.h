#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "cell/testing/fake_cell.h"

namespace monsoonmux::cell {

// Injects faults of leaders, and of the ways to their runners, that end by themselves. Unless
// `with_restarts`, no runner starts again under its id.
class takeover_faults {
 public:
  takeover_faults(fake_cell& cell, bool with_restarts) : cell(cell), restarts(with_restarts) {}

  // Injects one fault.
  void inject() {
    static constexpr void (takeover_faults::*kinds[])() = {
        &takeover_faults::kill_leader,          &takeover_faults::kill_leader,
        &takeover_faults::freeze_leader,        &takeover_faults::cut_leader_from_store,
        &takeover_faults::isolate_leader,       &takeover_faults::change_leaders_often,
        &takeover_faults::change_leaders_often, &takeover_faults::cut_runner_from_leader,
        &takeover_faults::cut_runner_from_all,  &takeover_faults::lose_answers,
        &takeover_faults::delay_commands,       &takeover_faults::delay_starts,
        &takeover_faults::slow_down_link,       &takeover_faults::silence_agents,
        &takeover_faults::unlist_runner,        &takeover_faults::unlist_in_store_outage,
        &takeover_faults::retire_runner,        &takeover_faults::restart_runner,
    };
    (this->*kinds[this->cell.random() % std::size(kinds)])();
  }

  // Ends all faults.
  void end() {
    this->ended = true;
    this->cell.store.down = false;
    this->cell.store.partitioned.clear();
    this->cell.isolated.clear();
    this->cell.frames.turns_silent = 0;
    for (auto& runner : this->cell.runners) {
      runner->partitioned.clear();
      runner->lost_answers = 0;
      runner->late_commands = 0;
      runner->late_starts = 0;
      runner->slow_link = millis{0};
      this->bring_back(*runner);
    }
    for (auto& n : this->cell.nodes) {
      this->boot(*n);
    }
  }

 private:
  // A uniformly random duration.
  millis between(int shortest_ms, int longest_ms) {
    const auto span = static_cast<std::uint32_t>(longest_ms - shortest_ms);
    return millis{shortest_ms + static_cast<std::int64_t>(this->cell.random() % span)};
  }
  double fraction(double lowest, double highest) {
    return std::uniform_real_distribution<double>(lowest, highest)(this->cell.random);
  }
  fake_cell::node& leader_or_any() {
    const int index = this->cell.leader();
    const auto any = this->cell.random() % this->cell.nodes.size();
    return *this->cell.nodes[index < 0 ? any : static_cast<std::size_t>(index)];
  }
  fake_runner& any_runner() {
    return *this->cell.runners[this->cell.random() % this->cell.runners.size()];
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

  void boot(fake_cell::node& n) {
    if (!n.daemon) {
      n.boot(this->cell);
    }
  }
  void kill(fake_cell::node& n, millis outage) {
    if (!n.daemon) {
      return;
    }
    this->log("kill", n.name, outage);
    n.kill();
    this->later(outage, [this, &n] { this->boot(n); });
  }
  void freeze(fake_cell::node& n, millis duration) {
    this->log("freeze", n.name, duration);
    n.process.freeze_until(std::max(n.process.frozen_end(), this->cell.loop.now() + duration));
  }
  void cut_from_store(fake_cell::node& n, millis duration) {
    this->log("store_cut", n.name, duration);
    this->cell.store.partitioned.insert(n.name);
    this->later(duration, [this, &n] { this->cell.store.partitioned.erase(n.name); });
  }
  void kill_leader() { this->kill(this->leader_or_any(), this->between(300, 4'000)); }
  void freeze_leader() { this->freeze(this->leader_or_any(), this->between(500, 8'000)); }
  void cut_leader_from_store() {
    this->cut_from_store(this->leader_or_any(), this->between(1'000, 12'000));
  }
  void isolate_leader() {
    const std::string name = this->leader_or_any().name;
    const millis duration = this->between(1'000, 10'000);
    this->log("isolate", name, duration);
    this->cell.isolated.insert(name);
    this->later(duration, [this, name] { this->cell.isolated.erase(name); });
  }

  // Each new leader is lost as well, at most 400 ms after it began to lead.
  void change_leaders_often() {
    constexpr int most_changes = 4;
    this->log("change_leaders", "", millis{0});
    this->change_leader(most_changes, -1);
  }
  void change_leader(int left, std::int64_t last_epoch) {
    constexpr millis look_again{10};
    const int index = this->cell.leader();
    const std::int64_t epoch = this->cell.store.newest_claim_epoch();
    if (left == 0) {
      return;
    }
    if (index < 0 || epoch == last_epoch) {
      this->later(look_again, [this, left, last_epoch] { this->change_leader(left, last_epoch); });
      return;
    }
    this->later(this->between(0, 400), [this, index, left, epoch] {
      this->lose(*this->cell.nodes[static_cast<std::size_t>(index)]);
      this->change_leader(left - 1, epoch);
    });
  }
  void lose(fake_cell::node& leader) {
    switch (this->cell.random() % 3) {
      case 0:
        this->freeze(leader, this->between(1'000, 5'000));
        return;
      case 1:
        this->cut_from_store(leader, this->between(1'000, 5'000));
        return;
      default:
        this->kill(leader, this->between(300, 1'500));
        return;
    }
  }

  void cut_runner_from_leader() {
    this->cut_runner({this->leader_or_any().name}, this->between(1'000, 16'000));
  }
  void cut_runner_from_all() {
    std::vector<std::string> all;
    for (const auto& n : this->cell.nodes) {
      all.push_back(n->name);
    }
    this->cut_runner(all, this->between(1'000, 14'000));
  }
  void cut_runner(const std::vector<std::string>& daemons, millis duration) {
    fake_runner& runner = this->any_runner();
    this->log("runner_cut", runner.entry.id, duration);
    runner.partitioned.insert(daemons.begin(), daemons.end());
    this->later(duration, [&runner, daemons] {
      for (const std::string& daemon : daemons) {
        runner.partitioned.erase(daemon);
      }
    });
  }
  void lose_answers() {
    fake_runner& runner = this->any_runner();
    const millis duration = this->between(1'000, 10'000);
    this->log("runner_loses_answers", runner.entry.id, duration);
    runner.lost_answers = this->fraction(0.2, 1.0);
    this->later(duration, [&runner] { runner.lost_answers = 0; });
  }
  void delay_commands() {
    fake_runner& runner = this->any_runner();
    const millis duration = this->between(1'000, 8'000);
    this->log("runner_late", runner.entry.id, duration);
    this->vary_delay(runner);
    runner.late_commands = this->fraction(0.1, 0.6);
    this->later(duration, [&runner] { runner.late_commands = 0; });
  }
  void delay_starts() {
    fake_runner& runner = this->any_runner();
    const millis duration = this->between(1'000, 8'000);
    this->log("starts_late", runner.entry.id, duration);
    this->vary_delay(runner);
    runner.late_starts = this->fraction(0.5, 1.0);
    this->later(duration, [&runner] { runner.late_starts = 0; });
  }
  // Some late commands arrive before a successor's first poll, some after it.
  void vary_delay(fake_runner& runner) {
    const bool is_short = this->cell.random() % 2 == 0;
    runner.shortest_delay = millis{is_short ? 300 : 2'000};
    runner.delay_span = millis{is_short ? 3'000 : 10'000};
  }
  void slow_down_link() {
    fake_runner& runner = this->any_runner();
    const millis duration = this->between(1'000, 10'000);
    this->log("runner_slow_link", runner.entry.id, duration);
    runner.slow_link = this->between(50, 280);
    this->later(duration, [&runner] { runner.slow_link = millis{0}; });
  }
  void silence_agents() {
    const millis duration = this->between(1'000, 8'000);
    this->log("agents_turn_silent", "", duration);
    this->cell.frames.turns_silent = this->fraction(0.01, 0.2);
    this->later(duration, [this] { this->cell.frames.turns_silent = 0; });
  }

  void list(const fake_runner& runner) { this->cell.store.put("runners", runner.entry.id, "1"); }
  void unlist(const std::string& id) { this->cell.store.put("runners", id, ""); }
  void unlist_runner() {
    fake_runner& runner = this->any_runner();
    const millis duration = this->between(100, 5'000);
    this->unlist_for(runner, duration);
  }
  void unlist_for(fake_runner& runner, millis duration) {
    if (!runner.up) {
      return;
    }
    this->log("unlisted", runner.entry.id, duration);
    this->unlist(runner.entry.id);
    this->later(duration, [this, &runner] {
      if (runner.up) {
        this->list(runner);
      }
    });
  }
  // The entries of some runners expire meanwhile, and the leader is lost.
  void unlist_in_store_outage() {
    const millis duration = this->between(500, 6'000);
    this->log("store_down", "", duration);
    this->cell.store.down = true;
    this->later(duration, [this] { this->cell.store.down = false; });
    this->unlist_for(this->any_runner(), duration + this->between(1, 2'000));
    this->unlist_for(this->any_runner(), duration + this->between(1, 2'000));
    this->later(this->between(0, static_cast<int>(duration.value)),
                [this] { this->lose(this->leader_or_any()); });
  }

  // The runner drains and leaves. Another one is at its address later.
  void retire_runner() {
    fake_runner& runner = this->any_runner();
    if (!runner.up || runner.entry.draining) {
      return;
    }
    const millis drain = this->between(500, 6'000);
    this->log("drains", runner.entry.id, drain);
    runner.entry.draining = true;
    this->list(runner);
    this->later(drain, [this, &runner] { this->replace(runner); });
  }
  void replace(fake_runner& runner) {
    if (!runner.up) {
      return;
    }
    runner.leave();
    runner.renamed_on_return = true;
    this->later(this->between(0, 3'000), [this, id = runner.entry.id] { this->unlist(id); });
    this->later(this->between(300, 3'000), [this, &runner] { this->bring_back(runner); });
  }
  void bring_back(fake_runner& runner) {
    if (!runner.up) {
      const std::string former = runner.entry.id;
      runner.restart();
      if (runner.entry.id != former) {
        this->unlist(former);
      }
      runner.renamed_on_return = false;
    }
    runner.entry.draining = false;
    this->list(runner);
  }
  void restart_runner() {
    fake_runner& runner = this->any_runner();
    if (!this->restarts || !runner.up || runner.entry.draining) {
      this->kill_leader();
      return;
    }
    const millis outage =
        this->cell.random() % 2 == 0 ? this->between(250, 600) : this->between(600, 6'000);
    this->log("restart", runner.entry.id, outage);
    runner.crash();
    this->later(outage, [this, &runner] { this->bring_back(runner); });
  }

  fake_cell& cell;
  const bool restarts;
  bool ended = false;
};

}  // namespace monsoonmux::cell
