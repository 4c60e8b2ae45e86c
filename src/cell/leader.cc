#include "cell/leader.h"

#include <algorithm>
#include <string_view>

namespace monsoonmux::cell {
namespace {

// Allows for a command of a previous leader that a runner was executing when its lease
// expired.
constexpr millis inherited_margin{300};
// Delay of the next query for a step after one without an answer.
constexpr millis advice_retry{150};
// Subtracted from the lifetime of a ticket, for the time that it took to arrive.
constexpr millis ticket_transit_time{120};

// Why the placement, which was decided at `placed_at`, must not be sent any more; empty if
// it may be.
std::string_view why_outdated(runner_table& runners, const placement& p, instant placed_at) {
  const runner_state* const runner = runners.find(p.runner);
  if (runner == nullptr || !runner->admitted) {
    return "runner_not_admitted";
  }
  if (runner->entry.incarnation != p.runner_incarnation) {
    return "runner_restarted";
  }
  // All that is placed there counts, also what is not sent yet.
  if (!runner->used.fits(runner->entry.capacity)) {
    return "runner_shrank";
  }
  const bool untracked_found = std::any_of(
      runner->allocations.begin(), runner->allocations.end(), [placed_at](const auto& entry) {
        return entry.second.untracked && entry.second.since >= placed_at;
      });
  return untracked_found || runners.has_untracked_run(p.task) ? "untracked_run_found" : "";
}

// The steps with outdated placements, and why one of them is.
std::map<step_ref, std::string_view> outdated_steps(cell_state& state,
                                                    const std::vector<placement>& starts) {
  std::map<step_ref, std::string_view> steps;
  for (const placement& p : starts) {
    const auto it = state.jobs.find(p.task.in.job);
    const live_task* const task = it == state.jobs.end() ? nullptr : it->second.find(p.task);
    const std::string_view why =
        task != nullptr ? why_outdated(state.runners, p, task->placed_at) : "";
    if (!why.empty()) {
      steps.emplace(p.task.in, why);
    }
  }
  return steps;
}

}  // namespace

leader::leader(const leader_services& given, daemon_id name, epoch new_epoch,
               const inherited_leases& previous, const leader_options& settings,
               leader_handlers handlers)
    : services(given),
      self(std::move(name)),
      own_epoch(new_epoch),
      options(settings),
      on(std::move(handlers)),
      planner(this->state, settings.placement),
      writer(
          given.io, given.log, given.time, given.events, new_epoch,
          [this](const job_id& job) { return this->newest_record(job); },
          [this](const logged_record& record) { this->on.on_record(record); },
          [this] { this->on.on_epoch_over("fenced in the log by a newer leader"); }),
      contacts(this->writer, given.time),
      dispatcher(given.peers, given.advice, given.time, given.events, this->self,
                 [this](const step_ref& step, const std::vector<std::string>& asked, bool answered,
                        const std::vector<ticket>& tickets) {
                   this->advice_received(step, asked, answered, tickets);
                 }),
      agents(given.io, given.runners, given.dialer, given.time, given.events, given.metrics,
             settings.agents,
             [this](const start_command& command) { return this->may_send(command); }),
      gate(given.io, this->agents, given.time, given.events, given.metrics, this->on.may_command,
           this->on.may_start),
      plan_timer(given.io),
      ticker(given.io),
      inherited(previous) {
  this->inherited.until.in_time = this->inherited.until.in_time + inherited_margin;
  this->inherited.until.if_late = this->inherited.until.if_late + inherited_margin;
}

leader::~leader() = default;

void leader::fence(const std::function<void(std::int64_t)>& on_fenced) {
  this->writer.fence(on_fenced);
}

runner_session& leader::session_of(const std::string& runner) {
  auto& session = this->sessions[runner];
  if (!session) {
    session = std::make_unique<runner_session>(
        this->gate, this->services.time, this->services.events, *this, runner, this->own_epoch,
        this->inherited.on(runner), this->options.session);
  }
  return *session;
}

std::int64_t leader::wall_ms() const {
  return this->wall.at(this->services.time.now(), this->services.time.wall_ms());
}

void leader::configure(const cell_config& config) {
  this->keep_attempts_of_removed_queues(config);
  this->state.config = config;
  this->update_attempts_when_current();
  this->request_plan();
}

void leader::submitted(const job_record& record) {
  if (!this->is_active || this->state.jobs.contains(record.submission->job)) {
    return;
  }
  this->adopt(record, this->services.time.now());
  this->request_plan();
}

void leader::cancelled(const job_id& id) {
  const auto it = this->state.jobs.find(id);
  if (!this->is_active || it == this->state.jobs.end() || is_final(it->second.phase())) {
    return;
  }
  it->second.cancel();
  this->services.events.write("job_cancelled", {{"job", id.text}});
  this->writer.write(id);
  this->stop_runs(it->second);
  this->forget_if_final(id);
}

void leader::stop_runs(const live_job& job) {
  for (auto& [runner, run_state] : this->state.runners.all()) {
    for (const auto& [key, run] : run_state.allocations) {
      if (key.task.in.job == job.submission().job) {
        this->session_of(runner).stop(key);
      }
    }
  }
}

void leader::runner_listed(const runner_entry& entry) {
  runner_state* const before = this->state.runners.find(entry.id);
  const bool was_draining = before != nullptr && before->entry.draining;
  this->state.runners.update(entry);
  this->agents.runner_listed(entry.id, entry.domain);
  this->contacts.listed(entry);
  this->confirm_suspects(entry);
  if (entry.draining && !was_draining) {
    this->services.events.write("runner_draining", {{"runner", entry.id}});
  }
  runner_session& session = this->session_of(entry.id);
  session.update(entry);
  this->state.runners.find(entry.id)->admitted = session.is_announced();
  this->domains.note(entry.id, entry.domain, session.is_announced(), this->services.time.now());
}

void leader::runner_unlisted(const std::string& id) {
  this->services.events.write("runner_unlisted", {{"runner", id}});
  this->state.runners.mark_unlisted(id, this->services.time.now());
  this->contacts.unlisted(id);
  const auto it = this->sessions.find(id);
  if (it != this->sessions.end()) {
    it->second->unlist();
  }
  this->note_presence(id);
}

void leader::runner_entry_unreadable(const std::string& id) {
  this->state.runners.mark_unreadable(id);
  this->note_presence(id);
}

void leader::runner_admitted(const std::string& id) {
  if (runner_state* const runner = this->state.runners.find(id)) {
    runner->admitted = true;
  }
  this->note_presence(id);
  this->disprove_suspects(id);
  this->check_capacity(id);
  this->request_plan();
}

void leader::runner_unresponsive(const std::string& id) {
  if (runner_state* const runner = this->state.runners.find(id)) {
    runner->admitted = false;
  }
  this->note_presence(id);
}

void leader::note_presence(const std::string& id) {
  const runner_state* const runner = this->state.runners.find(id);
  const bool present = runner != nullptr && runner->listed && runner->admitted;
  this->domains.note(id, present, this->services.time.now());
}

void leader::checkpoint_reported(const std::string&, const run_key& run,
                                 const std::string& checkpoint) {
  const auto it = this->state.jobs.find(run.task.in.job);
  if (it == this->state.jobs.end()) {
    return;
  }
  live_task* const task = it->second.find(run.task);
  if (task != nullptr && task->phase == task_phase::placed && task->run == run.run) {
    task->checkpoint = checkpoint;
  }
}

void leader::ticket_refused(const std::string& runner, const run_key& run) {
  this->state.advice.drop_ticket(run.task.in, runner);
}

// A run of unknown need may take all that is left.
bool leader::has_room(const std::string& id) {
  const runner_state* const runner = this->state.runners.find(id);
  if (runner == nullptr) {
    return true;
  }
  return runner->runs_of_unknown_need == 0 && runner->used.fits(runner->entry.capacity);
}

bool leader::may_send(const start_command& command) {
  return this->has_room(command.target.instance);
}

void leader::token_refused(const std::string& runner) {
  this->on.on_epoch_over("runner " + runner + " has seen a higher fencing token");
}

void leader::on_hello(const std::string& daemon, const peer_address& from,
                      const hello_message& hello) {
  this->dispatcher.on_hello(daemon, from);
  this->agents.on_hello(daemon, from, hello.domain, hello.relative_capacity);
  if (hello.wall_ms != 0) {
    this->wall.add_sample(daemon, hello.wall_ms, this->services.time.now());
  }
}

void leader::advice_answered(const advice_answer_message& answer) {
  this->dispatcher.answered(answer);
}

void leader::advice_received(const step_ref& step, const std::vector<std::string>& asked,
                             bool answered, const std::vector<ticket>& tickets) {
  const auto it = this->state.jobs.find(step.job);
  if (it == this->state.jobs.end()) {
    return;
  }
  const instant now = this->services.time.now();
  const queue_config* const queue = this->state.config.find_queue(it->second.submission().queue);
  if (!answered || queue == nullptr || !queue->advice) {
    advice_cache::step_advice& advice = this->state.advice.entry_for(step);
    advice.query_pending = false;
    advice.retry_at = now + advice_retry;
    return;
  }
  this->state.advice.answer(queue->name, step, asked, tickets,
                            now + queue->advice->ticket_lifetime - ticket_transit_time);
  this->request_plan();
}

void leader::tick() {
  this->ticker.start(this->options.tick, [this] { this->tick(); });
  const instant begin = this->services.time.now();
  this->dispatcher.tick();
  if (!this->gate.is_open()) {
    return;  // A successor may already rely on this leader sending no more commands.
  }
  for (auto& [id, session] : this->sessions) {
    if (session->is_due(begin)) {
      session->tick();
    }
  }
  this->note_ending_runs();
  this->acquit_tasks();
  this->note_lasted_runs();
  this->judge_suspects();
  this->state.runners.check_stalled(this->services.time.now());
  this->report_quarantines();
  this->tick_time += this->services.time.now() - begin;
  this->report_load();
  this->save_run_times();
  this->forget_departed_runners();
  this->request_plan();
}

// Saves the run-time estimates in the log for the next leader. The record is part of the
// next batch of progress records, so it costs no append of its own.
void leader::save_run_times() {
  const instant now = this->services.time.now();
  const std::int64_t version = this->state.run_times.version();
  if (version == this->saved_version || now - this->saved_at < this->options.save_interval) {
    return;
  }
  this->saved_version = version;
  this->saved_at = now;
  this->writer.write(run_times_id);
}

void leader::request_plan() {
  if (!this->is_active || this->plan_timer.pending()) {
    return;
  }
  const instant earliest = this->plan_ended + this->plan_duration * this->options.plan_pause_factor;
  const millis pause = earliest - this->services.time.now();
  this->plan_timer.start(std::max(this->options.plan_delay, pause), [this] {
    const instant begin = this->services.time.now();
    this->make_plan();
    this->plan_ended = this->services.time.now();
    this->plan_duration = this->plan_ended - begin;
    this->planning_time += this->plan_duration;
    this->services.metrics.observe("plan", this->plan_duration);
  });
}

void leader::open_due(instant now, std::int64_t wall_ms) {
  const bool agreed = now - this->active_since >= this->options.clock_agreement_delay;
  for (auto& [id, job] : this->state.jobs) {
    if (!is_final(job.phase()) && (agreed || !job.spec().timed())) {
      job.open_due(wall_ms);
    }
  }
}

void leader::make_plan() {
  if (!this->gate.passes_starts() || this->writer.stalled_for() > this->options.writer_stall) {
    return;  // Nothing that is placed now could be started; tick() requests the next plan.
  }
  const instant now = this->services.time.now();
  const std::int64_t wall_ms = this->wall_ms();
  this->open_due(now, wall_ms);
  this->state.advising_daemons = this->dispatcher.daemons();
  this->state.sendable_bytes = this->agents.sendable_bytes() - this->unsent_start_bytes;
  const plan decided = this->planner.decide(now, wall_ms);
  this->planning += decided.work;
  std::map<job_id, std::vector<placement>> by_job;
  for (const placement& p : decided.placements) {
    by_job[p.task.in.job].push_back(p);
    this->report_placed_again(p);
  }
  for (auto& [job, starts] : by_job) {
    this->services.events.write("placed", {{"job", job.text},
                                           {"step", starts.front().task.in.text()},
                                           {"tasks", starts.size()},
                                           {"first_runner", starts.front().runner},
                                           {"waiting_tasks", decided.waiting_tasks}});
    const std::int64_t bytes = start_command_bytes(this->state.jobs.at(job).spec().payload) *
                               static_cast<std::int64_t>(starts.size());
    this->unsent_start_bytes += bytes;
    this->writer.write(job, [this, bytes, starts = std::move(starts)] {
      this->unsent_start_bytes -= bytes;
      this->send_starts(starts);
    });
  }
  this->preempt(decided.preemptions);
  this->waiting_tasks = decided.waiting_tasks;
  ++this->plan_rounds;
  this->deferred_queries = decided.deferred_queries;
  this->longest_query_wait = decided.longest_query_wait;
  this->undispatched_queries = 0;
  std::map<std::string, std::int64_t> without_daemon;
  for (const advice_query& query : decided.advice_queries) {
    // A long query for which no daemon is free must not keep a later, short one from being
    // sent.
    const bool asked = this->dispatcher.ask(query);
    advice_cache::step_advice& advice = this->state.advice.entry_for(query.step);
    if (asked) {
      advice.sent(query.out_of_turn);
    } else {
      advice.put_off(now);
    }
    this->undispatched_queries += asked ? 0 : 1;
    if (!asked) {
      ++without_daemon[query.pool.text];
    }
    this->services.metrics.count("queries_out_of_turn", asked && query.out_of_turn ? 1 : 0);
  }
  this->report_waiting(decided, without_daemon);
  this->services.metrics.gauge("waiting_tasks", decided.waiting_tasks);
  this->services.metrics.gauge("open_jobs", static_cast<std::int64_t>(this->state.jobs.size()));
}

void leader::preempt(const std::vector<preemption>& runs) {
  for (const preemption& p : runs) {
    this->services.events.write("preempted", {{"task", p.run.task.text()},
                                              {"run", p.run.run},
                                              {"runner", p.runner},
                                              {"in_favour_of", p.in_favour_of.text()}});
    this->services.metrics.count("runs_preempted");
    this->session_of(p.runner).stop(p.run);
  }
}

void leader::send_starts(const std::vector<placement>& starts) {
  const instant now = this->services.time.now();
  // No member of a gang is sent unless all are.
  const std::map<step_ref, std::string_view> outdated = outdated_steps(this->state, starts);
  for (const placement& p : starts) {
    const auto it = this->state.jobs.find(p.task.in.job);
    const live_task* const task = it == this->state.jobs.end() ? nullptr : it->second.find(p.task);
    const run_key run{p.task, p.run};
    const bool still_current = task != nullptr && task->phase == task_phase::placed &&
                               task->run == p.run && !is_final(it->second.phase()) &&
                               this->gate.passes_starts();
    if (!still_current) {
      this->run_lost(p.runner, run, "no_longer_wanted");
      continue;
    }
    if (const auto why = outdated.find(p.task.in); why != outdated.end()) {
      this->run_lost(p.runner, run, why->second);
      continue;
    }
    // The append may have taken long: the ticket may have expired, or a newer one arrived.
    const held_ticket ticket = this->state.advice.ticket_for(p.task.in, p.runner, now);
    if (!p.ticket.empty() && ticket.text.empty()) {
      this->run_lost(p.runner, run, "ticket_expired_before_start");
      continue;
    }
    this->services.metrics.count("starts_sent");
    const instant refused_after = ticket.text.empty() ? never : ticket.until + ticket_transit_time;
    const bool lasts =
        it->second.spec().steps[static_cast<std::size_t>(p.task.in.step)].long_running;
    this->session_of(p.runner).start(run, it->second.spec().payload, {ticket.text, refused_after},
                                     p.checkpoint, lasts);
  }
}

keyed_record leader::newest_record(const job_id& id) const {
  if (id == run_times_id) {
    return {key_of(record_kind::run_times, id),
            encode(this->state.run_times.snapshot(this->own_epoch))};
  }
  const auto it = this->state.jobs.find(id);
  if (it == this->state.jobs.end()) {
    return {};
  }
  return {key_of(record_kind::progress, id), encode(it->second.progress(this->own_epoch))};
}

}  // namespace monsoonmux::cell
