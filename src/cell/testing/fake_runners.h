#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "async/event_log.h"
#include "cell/runner_port.h"
#include "cell/testing/fake_loop.h"
#include "cell/testing/fake_ticket.h"
#include "cell/testing/run_history.h"
#include "decide/task_ref.h"
#include "model/runner_entry.h"

namespace monsoonmux::cell {

// A runner that behaves as the platform specifies: it keeps leases on its own clock, checks
// fencing tokens and tickets, lists numbered ends until they are acknowledged, and may execute
// commands late. It refuses no run but those that the platform promises to refuse, so it starts a
// higher or lower run of a task beside one that is running.
class fake_runner {
 public:
  fake_runner(fake_loop& loop, run_history& history, event_log& events, std::string id,
              resources capacity, std::uint32_t seed)
      : loop(loop), history(history), events(events), random(seed) {
    this->entry.id = std::move(id);
    this->entry.pool = pool_id("s");
    this->entry.address = this->entry.id + ":1";
    this->entry.capacity = capacity;
    this->entry.labels = {"a", "r1"};
    this->entry.rack = "r1";
    this->entry.incarnation = loop.now().value;
    this->watch();
  }

  runner_entry entry;
  bool up = true;
  std::set<std::string> partitioned;  // Daemons that cannot reach it.
  std::set<std::string> cut_off;      // Daemons beyond the cut around a failure domain.
  std::set<std::string> unanswered;   // Daemons whose commands arrive, but get no answer.
  double lost_answers = 0;            // Fraction of calls executed at once, unanswered.
  bool closes_unanswered = false;     // Their connections close, so their callers need not wait.
  millis slow_link{0};                // Calls and answers take up to so much longer.
  double late_commands = 0;           // Fraction of commands executed seconds later, unanswered.
  double late_polls = 0;              // The same of polls alone.
  double late_starts = 0;             // The same of starts alone.
  millis shortest_delay{2'000};       // Of late commands and polls.
  millis delay_span{10'000};          // From the shortest to the longest delay.
  double clock_rate = 1.0;            // 0.98: 2% slow.
  millis task_time{800};
  // The same for members of a gang, which end together wherever they run.
  std::optional<millis> gang_time;
  std::optional<millis> lasting_time;  // The same for tasks that last.
  millis stop_time{100};
  millis max_lease{6'000};  // The longest that it grants, from the execution of a command.
  double failure_rate = 0;  // Fraction of runs that end as failed.
  double long_rate = 0;     // Fraction of runs that take `long_time`.
  millis long_time{60'000};
  millis crash_delay{50};            // A deadly task crashes its runner so long after its start.
  millis crash_time{3'000};          // A runner that crashes for a while is back after this.
  bool renamed_on_return = false;    // It comes back under another id at its address.
  std::vector<runner_entry> former;  // Its entries under its former ids.
  // A call that was sent while another incarnation was there is refused, as the platform promises.
  bool refuses_earlier_calls = false;
  std::function<void()> on_back;  // Called when it is back; publishes its entry.
  std::int64_t acknowledged = 0;  // The highest end of this incarnation that was acknowledged.
  // Changes the entry of its next incarnation, which may be of another kind.
  std::function<void(runner_entry&)> on_restart;

  // True if it executes a call that was sent while this incarnation was there.
  bool takes_calls_for(std::int64_t incarnation) const {
    return !this->refuses_earlier_calls || incarnation == this->entry.incarnation;
  }

  bool reachable(const std::string& daemon) const {
    return !this->partitioned.contains(daemon) && !this->cut_off.contains(daemon);
  }

  std::int64_t clock() const {
    return static_cast<std::int64_t>(
        static_cast<double>((this->loop.now() - instant{this->entry.incarnation}).value) *
        this->clock_rate);
  }

  // `way`: for how long the command was on its way. The time of its lease counts from its arrival.
  command_answer start(const start_command& command, millis way = millis{0}) {
    command_answer out{command_status::done, this->clock()};
    const std::int64_t until_ms = command.lease_until_ms + way.value;
    if (!this->accept_token(command.target.token)) {
      out.status = command_status::fenced;
      return out;
    }
    if (until_ms <= this->clock()) {
      out.status = command_status::lease_expired;
      return out;
    }
    if (!this->accept_ticket(command)) {
      out.status = command_status::no_ticket;
      return out;
    }
    const auto closed = this->closed.find(command.task);
    if (this->runs.contains({command.task, command.run})) {
      this->extend(until_ms);
      return out;
    }
    if (closed != this->closed.end() && command.run <= closed->second) {
      this->extend(until_ms);
      out.status = command_status::stale_run;
      return out;
    }
    this->extend(until_ms);
    this->begin(command);
    return out;
  }

  command_answer stop(const stop_command& command) {
    command_answer out{command_status::done, this->clock()};
    if (!this->accept_token(command.target.token)) {
      out.status = command_status::fenced;
      return out;
    }
    int& highest = this->closed[command.task];
    highest = std::max(highest, command.run);
    for (auto it = this->runs.lower_bound({command.task, 0});
         it != this->runs.end() && it->first <= run_name{command.task, command.run}; ++it) {
      it->second.ends = std::min(it->second.ends, this->loop.now() + this->stop_time);
      it->second.how = run_outcome::stopped;
    }
    return out;
  }

  poll_answer poll(const poll_request& request, millis way = millis{0}) {
    poll_answer out;
    if (!this->accept_token(request.target.token)) {
      out.status = command_status::fenced;
      return out;
    }
    this->note_lapse();
    this->acknowledged = std::max(this->acknowledged, request.acked_up_to);
    if (request.lease_until_ms) {
      this->extend(*request.lease_until_ms + way.value);
    }
    std::erase_if(this->finished, [&](const finished_run& end) {
      if (end.number > request.acked_up_to) {
        return false;
      }
      // An end is not counted if the runner's lease expired before its acknowledgement.
      if (end.how == run_outcome::done && end.number > this->lapsed_ends) {
        this->history.acknowledge_done(this->loop.now(), end.task,
                                       this->starts_at_end.at(end.number));
      }
      return true;
    });
    out.status = command_status::done;
    out.report.incarnation = this->entry.incarnation;
    out.report.clock_ms = this->clock();
    for (const auto& [run, state] : this->runs) {
      out.report.running.push_back({run.first, run.second, {}, 100});
    }
    out.report.finished = this->finished;
    return out;
  }

  bool has_ends() const { return !this->finished.empty(); }

  void log_event(const std::string& what, const std::string& task, int run) {
    this->events.write(what, {{"task", task}, {"run", run}, {"runner", this->entry.id}});
  }

  // A call arrives that has waited on its way since the incarnation `sent_to` was there.
  void log_late_call(std::int64_t sent_to) {
    this->events.write("late_call_arrives", {{"runner", this->entry.id},
                                             {"sent_to", sent_to},
                                             {"reaches", this->entry.incarnation},
                                             {"executed", this->takes_calls_for(sent_to)}});
  }

  // Stops the runner and all its runs. restart() brings it back under the same id.
  void crash() {
    this->log_event("runner_crashes", "", 0);
    this->history.crashed_incarnations.insert({this->entry.id, this->entry.incarnation});
    for (const auto& [run, state] : this->runs) {
      this->history.crashed_under(run.first);
    }
    for (const finished_run& end : this->finished) {
      ++this->history.crashes_with_end[end.task];
    }
    this->go_down();
  }
  // The same as planned, which is no crash.
  void leave() {
    this->log_event("runner_leaves", "", 0);
    this->go_down();
  }
  // Crashes, and is back under its id after `crash_time`.
  void crash_for_a_while() {
    if (!this->up) {
      return;
    }
    this->crash();
    this->loop.after(this->crash_time, [this] {
      this->restart();
      if (this->on_back) {
        this->on_back();
      }
    });
  }
  void restart() {
    this->up = true;
    if (this->renamed_on_return) {
      this->former.push_back(this->entry);
      this->entry.id += "n";
    }
    if (this->on_restart) {
      this->on_restart(this->entry);
    }
    this->log_event("runner_restarts", "", 0);
    this->finished.clear();
    this->starts_at_end.clear();
    this->acknowledged = 0;
    this->closed.clear();
    this->token = fencing_token{0};
    this->until = 0;
    this->next_end = 1;
    this->lapsed_ends = 0;
    this->entry.incarnation = this->loop.now().value;
  }

 private:
  using run_name = std::pair<std::string, int>;  // The task and the number of the run.

  struct run_state {
    instant ends;
    run_outcome how = run_outcome::done;
    millis waited{0};  // For the other members of its gang.
  };

  void go_down() {
    this->up = false;
    for (const auto& [run, state] : this->runs) {
      this->history.end(this->entry.id, run.first, run.second, false);
    }
    this->runs.clear();
  }

  bool accept_token(fencing_token given) {
    if (given < this->token) {
      return false;
    }
    this->token = given;
    return true;
  }

  // A queue with advice needs a ticket for the step, issued in this life and not long ago.
  bool accept_ticket(const start_command& command) const {
    const auto task = parse_task_ref(command.task);
    const advice_config* const terms = task ? this->history.advice_for(*task) : nullptr;
    if (terms == nullptr) {
      return true;
    }
    const auto given = fake_ticket::parse(command.ticket);
    return given && given->step == task->in.text() && given->runner == this->entry.id &&
           given->incarnation == this->entry.incarnation &&
           this->loop.now() - given->issued <= terms->ticket_lifetime;
  }

  void extend(std::int64_t lease_until_ms) {
    this->until =
        std::max(this->until, std::min(lease_until_ms, this->clock() + this->max_lease.value));
  }

  bool chance(double rate) {
    return std::uniform_real_distribution<double>(0, 1)(this->random) < rate;
  }

  millis run_time(const std::string& task) {
    constexpr millis forever{1'000'000};
    const step_spec* const shape = this->history.shape_of(task);
    if (shape != nullptr && shape->long_running) {
      return this->lasting_time.value_or(forever);
    }
    if (this->history.in_gang(task)) {
      return this->gang_time.value_or(this->task_time);
    }
    const bool is_long = this->long_rate > 0 && this->chance(this->long_rate);
    return is_long ? this->long_time : this->task_time;
  }

  void begin(const start_command& command) {
    this->log_event("runner_starts", command.task, command.run);
    this->history.begin(this->loop.now(), this->entry, command.task, command.run);
    run_state run;
    run.ends = this->loop.now() + this->run_time(command.task);
    const bool fails = this->chance(this->failure_rate);
    run.how = fails ? run_outcome::failed : run_outcome::done;
    this->runs[{command.task, command.run}] = run;
    if (this->history.is_deadly(command.task)) {
      this->loop.after(this->crash_delay, [this, incarnation = this->entry.incarnation] {
        if (this->entry.incarnation == incarnation) {
          this->crash_for_a_while();
        }
      });
    }
  }

  void finish(const run_name& name, run_outcome how) {
    const auto& [task, run] = name;
    this->log_event("runner_ends_" + std::string(to_string(how)), task, run);
    this->starts_at_end[this->next_end] = this->history.starts_of[task];
    this->finished.push_back({this->next_end++, task, run, how, {}});
    int& highest = this->closed[task];
    highest = std::max(highest, run);
    if (how == run_outcome::failed) {
      this->history.failed_runs[task].insert(run);
    }
    this->history.end(this->entry.id, task, run, how == run_outcome::done);
    if (how == run_outcome::failed) {
      ++this->history.failures[task];
    }
  }

  // A member of a gang makes no progress alone, and gives up after a while.
  void wait_for_gangs(millis time) {
    constexpr millis gang_timeout{4'000};
    for (auto& [name, run] : this->runs) {
      if (run.how == run_outcome::stopped || !this->history.alone(name.first, name.second)) {
        continue;
      }
      run.ends = run.ends + time;
      run.waited += time;
      if (run.waited >= gang_timeout) {
        run.how = run_outcome::alone;
        run.ends = this->loop.now();
      }
    }
  }

  // Returns true if the lease has expired. The ends that are listed do not count then.
  bool note_lapse() {
    const bool lapsed = this->clock() >= this->until;
    if (lapsed) {
      this->lapsed_ends = this->next_end - 1;
    }
    return lapsed;
  }
  // Ends the runs whose time is over, and all runs if the lease has expired.
  void watch() {
    constexpr millis step{10};
    this->loop.after(step, [this] { this->watch(); });
    const bool lapsed = this->note_lapse();
    this->wait_for_gangs(step);
    for (auto it = this->runs.begin(); it != this->runs.end();) {
      const bool over = it->second.ends <= this->loop.now();
      if (!over && !lapsed) {
        ++it;
        continue;
      }
      this->finish(it->first, over ? it->second.how : run_outcome::lapsed);
      it = this->runs.erase(it);
    }
  }

  fake_loop& loop;
  run_history& history;
  event_log& events;
  std::mt19937 random;
  std::map<run_name, run_state> runs;
  std::map<std::string, int> closed;  // The highest run of each task that was stopped or has ended.
  std::vector<finished_run> finished;
  // How often the task of a listed end had started when it ended, by the number of the end.
  std::map<std::int64_t, int> starts_at_end;
  fencing_token token{0};
  std::int64_t until = 0;
  std::int64_t next_end = 1;
  std::int64_t lapsed_ends = 0;  // Ends up to this number were listed when the lease expired.
};

}  // namespace monsoonmux::cell
