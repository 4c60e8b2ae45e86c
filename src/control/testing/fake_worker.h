#pragma once

#include <map>

#include "control/testing/fake_world.h"
#include "history/history_event.h"
#include "platform/host_list.h"
#include "platform/worker_port.h"
#include "right/elector.h"

namespace monsoonmux {

// A simulated worker. It runs tasks under leases, has a clock with an offset of its
// own, keeps ended runs until they are acknowledged, and records starts and ends in
// the history. The command "run:MS" succeeds after MS milliseconds, and "fail:MS"
// fails.
class fake_worker {
 public:
  fake_worker(fake_world& world, history& recorded, worker_host host)
      : host(std::move(host)),
        world(world),
        recorded(recorded),
        boot(world.time.now() - millis{60'000}),
        local_elector(this->boot),
        offset(world.pick(1'000'000)) {}

  const worker_host host;
  bool up = true;
  bool fails_all = false;
  bool loses_stops = false;        // Stop commands are lost on their way.
  bool enforces_deadlines = true;  // False only to verify that the checks can fail.

  placement_lease_answer acquire(const placement_lease_request& r) {
    return this->local_elector.on_request(r, this->now());
  }

  result<worker_report> sync(const sync_request& r) {
    this->expire();
    if (this->deadline_passed(r.not_after)) {
      return not_run(error_code::deadline_exceeded, "deadline passed");
    }
    for (const task_run& run : r.ended) {
      const auto it = this->tasks.find(run);
      if (it != this->tasks.end() && it->second.phase != report_phase::running) {
        this->tasks.erase(it);
      }
    }
    worker_report out;
    out.now = this->clock_now();
    out.uptime = this->now() - this->boot;
    out.number = this->changes;
    out.whole = r.since < this->first_change || r.since > this->changes;
    for (auto& [run, t] : this->tasks) {
      if (t.phase == report_phase::running && r.lease.value > 0) {
        t.lease_until = this->now() + r.lease;
      }
      if (out.whole || t.changed > r.since) {
        out.tasks.push_back({run.task, run.attempt, t.phase, t.amount, t.amount,
                             this->now() - t.started, this->now() - t.started});
      }
    }
    return out;
  }

  result<void> start(const start_request& r) {
    this->expire();
    if (this->deadline_passed(r.not_after)) {
      return not_run(error_code::deadline_exceeded, "deadline passed");
    }
    if (this->tasks.count(r.run) != 0) {
      return BOOST_OUTCOME_V2_NAMESPACE::success();
    }
    task t;
    t.amount = r.amount;
    t.started = this->now();
    t.lease_until = this->now() + r.lease;
    t.fails = this->fails_all || r.command.rfind("fail:", 0) == 0;
    t.changed = ++this->changes;
    t.ends = this->now() + millis{std::stol(r.command.substr(r.command.find(':') + 1))};
    this->tasks[r.run] = t;
    this->write(history_kind::task_started, r.run.task, "", r.amount);
    this->world.at(t.ends, [this, boot = this->boot] {
      if (boot == this->boot && this->up) {
        this->expire();
      }
    });
    this->world.at(t.lease_until, [this, boot = this->boot] {
      if (boot == this->boot && this->up) {
        this->expire();
      }
    });
    return BOOST_OUTCOME_V2_NAMESPACE::success();
  }

  result<void> stop(const stop_request& r) {
    this->expire();
    if (this->loses_stops) {
      return may_have_run(error_code::connection_lost, "request lost");
    }
    const auto it = this->tasks.find(r.run);
    if (it != this->tasks.end() && it->second.phase == report_phase::running) {
      this->end(it->first, it->second, report_phase::stopped);
    }
    return BOOST_OUTCOME_V2_NAMESPACE::success();
  }

  // Restarts the worker: all its tasks end and are forgotten.
  void restart() {
    this->expire();
    for (auto& [run, t] : this->tasks) {
      if (t.phase == report_phase::running) {
        this->end(run, t, report_phase::stopped);
      }
    }
    this->tasks.clear();
    this->boot = this->world.time.now();
    this->changes = std::max(this->changes + 1, this->boot.value);
    this->first_change = this->changes;
    this->local_elector = elector(this->boot);
    this->up = true;
  }

  std::map<std::string, team_id>* teams = nullptr;  // Team of each job, for the history.

 private:
  struct task {
    report_phase phase = report_phase::running;
    resources amount;
    instant started;
    instant ends;
    instant lease_until;
    bool fails = false;
    std::int64_t changed = 0;
  };

  instant now() const { return this->world.time.now(); }
  worker_time clock_now() const { return this->now().value + this->offset; }
  bool deadline_passed(worker_time not_after) const {
    return this->enforces_deadlines && not_after != no_deadline && this->clock_now() >= not_after;
  }

  // Ends the runs that are due, and schedules a check at the end of each remaining
  // run or lease.
  void expire() {
    for (const auto& [run, t] : this->tasks) {
      const bool over = t.ends <= this->now() || t.lease_until <= this->now();
      if (t.phase == report_phase::running && !over) {
        this->world.at(std::min(t.lease_until, t.ends), [this, boot = this->boot] {
          if (boot == this->boot && this->up) {
            this->end_due();
          }
        });
      }
    }
    this->end_due();
  }

  void end_due() {
    for (auto& [run, t] : this->tasks) {
      if (t.phase != report_phase::running) {
        continue;
      }
      if (t.ends <= this->now() && t.ends <= t.lease_until) {
        this->end(run, t, t.fails ? report_phase::failed : report_phase::succeeded);
      } else if (t.lease_until <= this->now()) {
        this->end(run, t, report_phase::stopped);
      }
    }
  }

  void end(const task_run& run, task& t, report_phase phase) {
    t.phase = phase;
    t.changed = ++this->changes;
    const char* name = phase == report_phase::succeeded ? "succeeded"
                       : phase == report_phase::failed  ? "failed"
                                                        : "stopped";
    this->write(history_kind::task_stopped, run.task, name, t.amount);
  }

  void write(history_kind kind, const task_id& id, const std::string& phase,
             const resources& amount) {
    history_event e;
    e.at_ms = this->now().value;
    e.kind = kind;
    e.subject = this->host.worker.text;
    e.task = id.text();
    e.phase = phase;
    e.amount = amount;
    if (this->teams != nullptr) {
      e.team = (*this->teams)[id.job.text].text;
    }
    this->recorded.push_back(e);
  }

  fake_world& world;
  history& recorded;
  instant boot;
  elector local_elector;
  std::int64_t offset;
  std::int64_t changes = this->boot.value;  // Report number; starts at the clock's time.
  std::int64_t first_change = this->changes;
  std::map<task_run, task> tasks;
};

}  // namespace monsoonmux
