// Drives one domain. The idea: the workers' reports are the truth about what
// runs, the log is the truth about what has ended, and everything in memory can
// be rebuilt from the two, so a takeover needs no state of its predecessor. The
// invariant is that a task's new run is queued only after its former run was
// reported ended, was never started, or can no longer hold a lease. Recording
// each start before sending it, the obvious way, costs an append per placement
// and stops all placement while the log is down.

#include "control/domain_placer.h"

#include <algorithm>

namespace monsoonmux {
namespace {

constexpr instant never{INT64_MAX};
// After the longest lease, for the last commands of a predecessor to arrive.
constexpr millis settle{500};

task_run run_of(const task_id& id, const task_entry& task) {
  return {id, task.attempt};
}

}  // namespace

std::string_view to_string(placer_phase phase) {
  switch (phase) {
    case placer_phase::idle:
      return "idle";
    case placer_phase::recovering:
      return "recovering";
    case placer_phase::placing:
      return "placing";
  }
  return "idle";
}

domain_placer::domain_placer(domain_id domain, daemon_id daemon, std::string holder,
                             const clock& time, replica& state, log_writer& writer,
                             worker_port& workers, event_sink& events, placer_options options)
    : domain(std::move(domain)),
      daemon(std::move(daemon)),
      time(time),
      state(state),
      writer(writer),
      port(workers),
      events(events),
      options(options),
      right(this->domain, std::move(holder), options.right),
      links(this->domain, options.links),
      health(options.health),
      desk(this->domain, state) {}

template <class Action>
void domain_placer::locked(Action action) {
  outbox to_send;
  {
    const std::lock_guard hold(this->lock);
    action(this->time.now());
    to_send.swap(this->out);
  }
  for (const auto& send : to_send) {
    send();
  }
}

void domain_placer::emit(std::string_view kind, std::vector<event_field> fields) {
  fields.push_back({"domain", this->domain.text});
  fields.push_back({"epoch", std::to_string(this->right.number().value)});
  this->events.emit(kind, std::move(fields));
}

void domain_placer::set_hosts(const std::vector<worker_host>& hosts) {
  this->locked([&](instant) { this->links.set_hosts(hosts); });
}

void domain_placer::set_candidate(bool value) {
  this->locked([&](instant) { this->candidate = value && !this->resigned; });
}

void domain_placer::tick() {
  this->locked([this](instant now) {
    this->keep_right(now);
    if (this->phase == placer_phase::idle) {
      return;
    }
    this->sync_workers(now);
    this->introduce_workers();
    if (this->phase == placer_phase::recovering) {
      if (this->recovered(now)) {
        this->finish_recovery(now);
      }
      return;
    }
    this->load_changes(now);
    this->check_silent(now);
    this->update_terms();
    this->update_workers(now);
    this->queue_ready(now);
    this->decide(now);
    this->repeat_stops(now);
    this->check_hopeless(now);
    this->flush_updates(now, false);
  });
}

// --- The right ---------------------------------------------------------------

void domain_placer::keep_right(instant now) {
  const config_ptr config = this->state.config();
  const auto it = config->doc.domains.find(this->domain);
  if (it != config->doc.domains.end()) {
    this->right.configure(it->second.electors, now);
  }
  const bool held = this->right.held(now);
  if (!held && this->phase != placer_phase::idle) {
    this->lose(now);
  }
  if (held && this->phase == placer_phase::idle && !this->resigned) {
    this->begin(now);
  }
  if (this->resigned && held && now >= this->release_at) {
    for (const right_keeper::ask& asked : this->right.resign(now)) {
      this->ask(asked);
    }
    return;
  }
  for (const right_keeper::ask& asked : this->right.due(now, this->candidate)) {
    this->ask(asked);
  }
}

void domain_placer::ask(const right_keeper::ask& asked) {
  auto self = this->shared_from_this();
  this->out.emplace_back([self, asked] {
    self->port.acquire(asked.elector, asked.request, [self, asked](const result<right_answer>& a) {
      if (a.has_value()) {
        self->locked([&](instant now) { self->right.on_answer(asked, a.value(), now); });
      }
    });
  });
}

void domain_placer::begin(instant now) {
  ++this->era;
  this->phase = placer_phase::recovering;
  this->began = now;
  this->schedule = std::make_unique<scheduler>(this->options.schedule);
  this->book = task_book();
  this->attention.clear();
  this->recovery_reports.clear();
  this->updates.clear();
  this->acks.clear();
  this->flushing = false;
  this->desk.reset();
  this->fenced = false;
  this->first_ever = false;
  this->terms_version = {-1};
  for (auto& [id, link] : this->links.all()) {
    const worker_host host = link.host;
    const bool listed = link.listed;
    link = worker_link();
    link.host = host;
    link.listed = listed;
  }
  this->emit("placer_won", {});
  this->append_fence();
}

void domain_placer::lose(instant) {
  this->emit("placer_lost", {});
  ++this->era;
  this->phase = placer_phase::idle;
  this->schedule.reset();
  this->book = task_book();
}

void domain_placer::append_fence() {
  auto self = this->shared_from_this();
  const std::int64_t era = this->era;
  const placer_fence fence{this->domain, this->right.number(), this->daemon};
  this->out.emplace_back([self, era, fence] {
    self->writer.append(fence, never, [self, era](const result<record_outcome>& outcome) {
      self->locked([&](instant) {
        if (!self->active(era) || outcome.has_error()) {
          return;
        }
        if (outcome.value() == record_outcome::applied) {
          self->fenced = true;
          self->first_ever =
              self->right.number().value == 1 && self->state.fence_count(self->domain) == 1;
          self->desk.set_confirmed();
        } else {
          self->right.raise(self->state.fence_of(self->domain));
        }
      });
    });
  });
}

void domain_placer::resign() {
  this->locked([this](instant now) {
    this->resigned = true;
    this->candidate = false;
    // Commands under way take effect before the grants are given back.
    this->release_at = now + this->options.links.command_bound;
    if (this->phase != placer_phase::idle) {
      this->flush_updates(now, true);
      this->lose(now);
    }
  });
}

bool domain_placer::released() const {
  const guard hold(this->lock);
  return this->resigned && !this->right.held(this->time.now());
}

// --- Workers and their reports -------------------------------------------------

void domain_placer::sync_workers(instant now) {
  auto self = this->shared_from_this();
  const std::int64_t era = this->era;
  for (auto& asked : this->links.due(now, this->right.number(), this->right.held_until(),
                                     this->phase == placer_phase::recovering)) {
    this->out.emplace_back([self, era, asked] {
      self->port.sync(asked.worker, asked.request,
                      [self, era, asked](const result<worker_report>& answer) {
                        self->on_sync(asked, answer, era);
                      });
    });
  }
}

void domain_placer::on_sync(const worker_links::sync& asked, const result<worker_report>& answer,
                            std::int64_t era) {
  this->locked([&](instant now) {
    if (!this->active(era)) {
      return;
    }
    if (answer.has_error()) {
      this->links.on_failure(asked, now);
      return;
    }
    this->links.on_report(asked, answer.value(), now);
    if (this->phase == placer_phase::recovering) {
      this->recovery_reports[asked.worker] = answer.value();
    } else {
      this->take_report(asked.worker, answer.value(), asked.sent, now);
    }
  });
}

// A worker may be used once its record is in the log: a successor that has read
// the log then knows that it must hear from this worker.
void domain_placer::introduce_workers() {
  const std::set<worker_id> known = this->state.workers(this->domain);
  for (auto& [id, link] : this->links.all()) {
    link.introduced = known.count(id) != 0;
    if (link.introduced || link.announced || !link.listed || !this->fenced) {
      continue;
    }
    link.announced = true;
    const worker_joined joined{id, this->domain};
    this->out.emplace_back(
        [self = this->shared_from_this(), joined] { self->writer.append(joined, never, nullptr); });
  }
}

bool domain_placer::recovered(instant now) const {
  const link_options& limits = this->links.limits();
  const instant longest = this->links.lease_end(this->began + limits.command_bound) + settle;
  if (now >= longest) {
    return true;
  }
  if (!this->fenced) {
    return false;
  }
  const auto heard = [&](const worker_id& id) {
    const auto it = this->links.all().find(id);
    return it != this->links.all().end() && it->second.heard >= this->began;
  };
  const std::set<worker_id> known = this->state.workers(this->domain);
  return !this->links.all().empty() && std::all_of(known.begin(), known.end(), heard);
}

// The reports that came during recovery are complete: nobody else may start
// anything since `began`, and commands of predecessors took effect before it.
void domain_placer::finish_recovery(instant now) {
  this->phase = placer_phase::placing;
  this->update_terms();
  this->state.changed_since(this->change_cursor);
  this->state.each_open_job(this->domain, [&](const job& j) { this->load_job(j, now); });
  this->update_workers(now);
  for (const auto& [worker, report] : this->recovery_reports) {
    for (const task_report& task : report.tasks) {
      this->take_task(worker, task, now);
    }
  }
  this->recovery_reports.clear();
  for (auto& [id, job] : this->book.all()) {
    for (auto& [index, task] : job.tasks) {
      const bool lost = task.may_have_run && task.stage == task_stage::waiting;
      task.may_have_run = false;
      if (lost && !job.spec.idempotent) {
        this->end_task(job, {id, index}, task, task_phase::failed);
      }
    }
  }
  this->emit("placer_ready", {{"jobs", std::to_string(this->book.size())},
                              {"fenced", this->fenced ? "true" : "false"}});
}

void domain_placer::load_changes(instant now) {
  const auto changed = this->state.changed_since(this->change_cursor);
  if (!changed) {
    this->state.each_open_job(this->domain, [&](const job& j) { this->load_job(j, now); });
    return;
  }
  for (const job_id& id : *changed) {
    if (const auto value = this->state.find_job(id); value && !value->finished()) {
      this->load_job(*value, now);
    }
  }
}

void domain_placer::load_job(const job& value, instant now) {
  const auto here = [&](const job_part& part) { return part.domain == this->domain; };
  if (std::none_of(value.parts.begin(), value.parts.end(), here)) {
    return;
  }
  job_entry& job = this->book.load(value, this->domain, now);
  if (!job.cancelled) {
    this->attention.insert(job.spec.id);
    return;
  }
  for (const task_stop& s : this->schedule->cancel(job.spec.id, stop_reason::cancelled)) {
    this->stop(s, now);
  }
  for (auto& [index, task] : job.tasks) {
    if (task.stage == task_stage::waiting || task.stage == task_stage::queued) {
      this->end_task(job, {job.spec.id, index}, task, task_phase::cancelled);
    }
  }
}

// --- What workers report -------------------------------------------------------

void domain_placer::take_report(const worker_id& worker, const worker_report& report, instant sent,
                                instant now) {
  for (const task_report& task : report.tasks) {
    this->take_task(worker, task, now);
  }
  if (report.whole) {
    this->take_missing(worker, report, sent, now);
  } else {
    this->ask_for_unsettled(worker, sent);
  }
}

// A start whose answer was lost shows only in a whole report that it is missing.
void domain_placer::ask_for_unsettled(const worker_id& worker, instant sent) {
  const worker_index index = this->schedule->workers().find(worker);
  worker_link* link = this->links.find(worker);
  if (index == no_worker || link == nullptr) {
    return;
  }
  for (const running_task* running : this->schedule->running().on_worker(index)) {
    const task_entry* task = this->book.find(running->id);
    const bool unsettled = task != nullptr && task->stage != task_stage::running &&
                           sent > std::max(task->start_deadline, task->confirmed_at);
    if (unsettled) {
      link->report_number = 0;
    }
  }
}

void domain_placer::take_task(const worker_id& worker, const task_report& report, instant now) {
  job_entry* job = this->job_of(worker, report, now);
  if (job == nullptr) {
    return;
  }
  const auto it = job->tasks.find(report.task.index);
  if (it == job->tasks.end()) {
    // Terminal in the log, or another domain's: this run is not wanted.
    this->stop_unknown(worker, {report.task, report.attempt}, now);
    return;
  }
  if (report.phase == report_phase::running) {
    this->take_running(worker, report, *job, it->second, now);
  } else {
    this->take_end(worker, report, *job, it->second, now);
  }
}

// The job that a report is about. A job that the log does not know is left alone
// until the log was read past this placer's own fence; then its tasks go.
job_entry* domain_placer::job_of(const worker_id& worker, const task_report& report, instant now) {
  if (job_entry* known = this->book.find(report.task.job); known != nullptr) {
    return known;
  }
  const auto in_log = this->state.find_job(report.task.job);
  if (in_log && !in_log->finished()) {
    this->load_job(*in_log, now);
    if (job_entry* loaded = this->book.find(report.task.job); loaded != nullptr) {
      return loaded;
    }
  }
  if (in_log || this->fenced) {
    this->stop_unknown(worker, {report.task, report.attempt}, now);
    return nullptr;
  }
  return report.phase == report_phase::running ? &this->book.load_foreign(report, now) : nullptr;
}

// Ends a run that is not wanted, or acknowledges it if it has ended.
void domain_placer::stop_unknown(const worker_id& worker, const task_run& run, instant now) {
  this->acknowledge(worker, run);
  this->send_stop(worker, run, false, now);
}

void domain_placer::acknowledge(const worker_id& worker, const task_run& run) {
  if (worker_link* link = this->links.find(worker); link != nullptr) {
    link->ended.insert(run);
  }
}

void domain_placer::take_running(const worker_id& worker, const task_report& report, job_entry& job,
                                 task_entry& task, instant now) {
  const task_id& id = report.task;
  if (!task.holds_worker() && task.stage != task_stage::ended &&
      (task.may_have_run || job.foreign || task.attempt <= report.attempt)) {
    this->adopt(worker, report, job, task, now);
  }
  if (!task.holds_worker() || task.worker != worker || task.attempt != report.attempt) {
    this->emit("run_superseded", {{"task", id.text()}, {"worker", worker.text}});
    this->stop_unknown(worker, {id, report.attempt}, now);
    return;
  }
  if (task.stage == task_stage::starting) {
    this->on_start({id, report.attempt}, BOOST_OUTCOME_V2_NAMESPACE::success(), now);
  }
  this->schedule->checkpointed(id, now - report.since_checkpoint);
  if (!this->schedule->grow(id, report.usage) && task.stage == task_stage::running) {
    this->stop({id, worker, stop_reason::oversized}, now);
  }
}

// Takes over a run that a predecessor started.
void domain_placer::adopt(const worker_id& worker, const task_report& report, job_entry& job,
                          task_entry& task, instant now) {
  if (task.stage == task_stage::queued) {
    return;  // Cannot be: units are queued only after all reports were read.
  }
  const worker_link* link = this->links.find(worker);
  if (this->schedule->workers().find(worker) == no_worker && link != nullptr) {
    this->schedule->add_worker({worker, link->host.pool, link->host.rack, link->host.total});
  }
  task.stage = task_stage::running;
  task.attempt = report.attempt;
  task.worker = worker;
  task.confirmed_at = now;
  task.may_have_run = false;
  task.started_ms = this->time.wall_ms() - report.age.value;
  this->schedule->adopt(report.task, task_book::running_unit(job, report.task.index, now), worker,
                        now - report.age);
  this->emit("task_adopted", {{"task", report.task.text()}, {"worker", worker.text}});
  if (job.cancelled) {
    this->stop({report.task, worker, stop_reason::cancelled}, now);
  }
}

void domain_placer::take_end(const worker_id& worker, const task_report& report, job_entry& job,
                             task_entry& task, instant now) {
  const task_run run{report.task, report.attempt};
  if (task.stage == task_stage::ended) {
    if (this->updates.count(report.task) == 0 && !this->flushing) {
      this->acknowledge(worker, run);
    }
    return;
  }
  const bool present =
      task.holds_worker() && task.worker == worker && task.attempt == report.attempt;
  if (report.phase == report_phase::succeeded) {
    this->take_success(worker, report, job, task, now);
    return;
  }
  this->acknowledge(worker, run);
  if (!present) {
    if (!task.holds_worker()) {
      task.attempt = std::max(task.attempt, report.attempt + 1);
    }
    return;
  }
  if (report.phase == report_phase::failed) {
    this->take_failure(worker, report, job, task, now);
  } else {
    this->lose_run(job, report.task, task, now);
  }
}

// The first success of any run counts, also of one that was given up for lost.
void domain_placer::take_success(const worker_id& worker, const task_report& report, job_entry& job,
                                 task_entry& task, instant now) {
  const task_run run{report.task, report.attempt};
  this->health.on_end(worker, job.spec.id, true, now);
  if (job.spec.kind == work_kind::service && !job.cancelled) {
    this->acknowledge(worker, run);
    if (task.holds_worker() && task.worker == worker && task.attempt == report.attempt) {
      this->run_again(job, report.task, task, this->options.restart_first, now);
    }
    return;
  }
  if (task.holds_worker() && (task.worker != worker || task.attempt != report.attempt)) {
    this->send_stop(task.worker, run_of(report.task, task), false, now);
  }
  task.worker = worker;
  task.attempt = report.attempt;
  if (task.started_ms == 0) {
    task.started_ms = this->time.wall_ms() - report.age.value;
  }
  this->acks.push_back({worker, run});
  this->end_task(job, report.task, task, task_phase::succeeded);
}

int domain_placer::counted_failures(const task_entry& task) const {
  return static_cast<int>(
      std::count_if(task.failed_on.begin(), task.failed_on.end(),
                    [&](const worker_id& w) { return !this->health.suspect(w); }));
}

void domain_placer::take_failure(const worker_id& worker, const task_report& report, job_entry& job,
                                 task_entry& task, instant now) {
  if (this->health.on_end(worker, job.spec.id, false, now)) {
    this->emit("worker_aside", {{"worker", worker.text}});
  }
  task.failed_on.insert(worker);
  this->emit("task_failed", {{"task", report.task.text()}, {"worker", worker.text}});
  if (job.spec.kind == work_kind::service) {
    const std::int64_t doublings = std::min(task.quick_ends++, 16);
    const millis delay = std::min(this->options.restart_first * (std::int64_t{1} << doublings),
                                  this->options.restart_most);
    this->run_again(job, report.task, task, delay, now);
  } else if (!job.spec.idempotent || this->counted_failures(task) >= job.spec.max_attempts) {
    this->end_task(job, report.task, task, task_phase::failed);
    this->break_gang(job, now);
  } else {
    this->run_again(job, report.task, task, this->options.restart_first, now);
    this->break_gang(job, now);
  }
}

// Tasks booked on the worker that its report does not list have ended there, or
// never began, provided the report was asked for late enough to tell. Equal times
// tell nothing: the clock counts whole milliseconds.
void domain_placer::take_missing(const worker_id& worker, const worker_report& report, instant sent,
                                 instant now) {
  const worker_index index = this->schedule->workers().find(worker);
  if (index == no_worker) {
    return;
  }
  std::set<task_run> listed;
  for (const task_report& task : report.tasks) {
    listed.insert({task.task, task.attempt});
  }
  std::vector<task_id> here;
  for (const running_task* task : this->schedule->running().on_worker(index)) {
    here.push_back(task->id);
  }
  for (const task_id& id : here) {
    job_entry* job = this->book.find(id.job);
    task_entry* task = this->book.find(id);
    if (job == nullptr || task == nullptr || listed.count(run_of(id, *task)) != 0) {
      continue;
    }
    const bool never_began = task->stage == task_stage::starting && sent > task->start_deadline;
    const bool gone = task->stage != task_stage::starting && sent > task->confirmed_at;
    if (never_began || gone) {
      this->lose_run(*job, id, *task, now);
    }
  }
}

void domain_placer::check_silent(instant now) {
  for (const auto& [worker, link] : this->links.all()) {
    if (link.missed < this->options.links.misses || now <= link.may_run_until) {
      continue;
    }
    const worker_index index = this->schedule->workers().find(worker);
    if (index == no_worker) {
      continue;
    }
    std::vector<task_id> here;
    for (const running_task* task : this->schedule->running().on_worker(index)) {
      here.push_back(task->id);
    }
    for (const task_id& id : here) {
      job_entry* job = this->book.find(id.job);
      task_entry* task = this->book.find(id);
      if (job != nullptr && task != nullptr) {
        this->lose_run(*job, id, *task, now);
      }
    }
  }
}

// --- Ends of runs ----------------------------------------------------------------

// A run is over without success or failure of its own: stopped, lapsed, or lost
// with its worker.
void domain_placer::lose_run(job_entry& job, const task_id& id, task_entry& task, instant now) {
  const bool was_gang = job.spec.kind == work_kind::gang;
  this->emit("run_over",
             {{"task", id.text()},
              {"worker", task.worker.text},
              {"reason",
               task.stage == task_stage::stopping ? std::string(to_string(task.reason)) : "lost"}});
  const bool oversized =
      task.stage == task_stage::stopping && task.reason == stop_reason::oversized;
  if (oversized) {
    task.failed_on.insert(task.worker);
  }
  const bool began = task.stage != task_stage::starting && !job.foreign;
  const bool may_not_repeat = began && !job.spec.idempotent;
  const bool tried_enough =
      oversized && static_cast<int>(task.failed_on.size()) >= job.spec.max_attempts;
  if (job.cancelled) {
    this->end_task(job, id, task, task_phase::cancelled);
  } else if (may_not_repeat || tried_enough) {
    this->end_task(job, id, task, task_phase::failed);
  } else {
    this->run_again(job, id, task, {}, now);
  }
  if (was_gang) {
    this->break_gang(job, now);
  }
}

void domain_placer::run_again(job_entry& job, const task_id& id, task_entry& task, millis delay,
                              instant now) {
  this->schedule->finish(id);
  ++task.attempt;
  task.stage = task_stage::waiting;
  task.ready = now + delay;
  task.worker = {};
  task.started_ms = 0;
  this->record_state(id, task, task_phase::pending);
  this->attention.insert(job.spec.id);
}

void domain_placer::end_task(job_entry& job, const task_id& id, task_entry& task,
                             task_phase phase) {
  if (task.stage == task_stage::queued) {
    this->requeue_all(job);
  }
  this->schedule->finish(id);
  task.stage = task_stage::ended;
  this->record_state(id, task, phase);
  this->emit("task_ended", {{"task", id.text()},
                            {"team", job.spec.team.text},
                            {"worker", task.worker.text},
                            {"phase", std::string(to_string(phase))}});
}

// Takes all of the job's waiting units out of the queue, to be formed anew.
void domain_placer::requeue_all(job_entry& job) {
  this->schedule->withdraw(job.spec.id);
  for (auto& [index, task] : job.tasks) {
    if (task.stage == task_stage::queued) {
      task.stage = task_stage::waiting;
    }
  }
  this->attention.insert(job.spec.id);
}

// A gang runs with all its tasks or not at all: the others stop, and start again
// together once all of them have.
void domain_placer::break_gang(job_entry& job, instant now) {
  if (job.spec.kind != work_kind::gang) {
    return;
  }
  for (auto& [index, task] : job.tasks) {
    if (task.stage == task_stage::starting || task.stage == task_stage::running) {
      this->stop({{job.spec.id, index}, task.worker, stop_reason::gang_broken}, now);
    }
  }
}

void domain_placer::record_state(const task_id& id, const task_entry& task, task_phase phase) {
  task_state state;
  state.phase = phase;
  state.attempt = task.attempt;
  state.worker = task.worker;
  state.failures = static_cast<std::int32_t>(task.failed_on.size());
  state.started_ms = task.started_ms;
  state.ended_ms = terminal(phase) ? this->time.wall_ms() : 0;
  this->updates[id].merge(state);
}

// One record is under way at a time; while the log is down, what would be many
// records merges into one. Ends are acknowledged to workers once recorded, so an
// end that was never recorded is reported again to the next placer.
void domain_placer::flush_updates(instant now, bool at_once) {
  const bool due = now >= this->last_flush + this->options.update_gap && !this->flushing;
  if (this->updates.empty() || (!due && !at_once)) {
    return;
  }
  this->last_flush = now;
  this->flushing = true;
  task_updates value;
  for (const auto& [id, state] : this->updates) {
    value.updates.push_back({id, state});
  }
  this->updates.clear();
  const std::vector<ack> done = std::move(this->acks);
  this->acks.clear();
  const std::int64_t era = this->era;
  this->out.emplace_back([self = this->shared_from_this(), era, value, done] {
    self->writer.append(value, never, [self, era, value, done](const result<record_outcome>& r) {
      self->locked([&](instant) {
        if (!self->active(era)) {
          return;
        }
        self->flushing = false;
        for (const ack& a : done) {
          if (r.has_value()) {
            self->acknowledge(a.worker, a.run);
          }
        }
        for (const task_update& u : value.updates) {
          const job_entry* job = self->book.find(u.id.job);
          if (job != nullptr && job->all_ended()) {
            self->book.erase(u.id.job);
            self->attention.erase(u.id.job);
          }
        }
      });
    });
  });
}

// --- Deciding and commanding -----------------------------------------------------

void domain_placer::update_terms() {
  const config_ptr config = this->state.config();
  constexpr std::int64_t plenty = INT64_MAX / 4;
  this->schedule->set_team(team_id(), 1, {{plenty}, {plenty}, {plenty}});
  for (const auto& [team, account] : this->schedule->teams().all()) {
    if (!team.empty() && config->doc.teams.count(team) == 0) {
      this->schedule->set_team(team, 1, {});
    }
  }
  for (const auto& [team, terms] : config->doc.teams) {
    this->schedule->set_team(team, terms.share, this->desk.allowance(team));
  }
}

void domain_placer::update_workers(instant now) {
  for (const auto& [worker, link] : this->links.all()) {
    if (link.heard < this->began || !link.introduced) {
      continue;
    }
    if (this->schedule->workers().find(worker) == no_worker) {
      this->schedule->add_worker({worker, link.host.pool, link.host.rack, link.host.total});
    }
    const bool usable =
        link.listed && !link.host.leaving && link.missed == 0 && !this->health.aside(worker, now);
    this->schedule->set_usable(worker, usable);
    if (!link.host.leaving) {
      continue;
    }
    const auto here = this->schedule->running().on_worker(this->schedule->workers().find(worker));
    for (const running_task* task : here) {
      const task_entry* entry = this->book.find(task->id);
      if (task->unit->preemptible && entry != nullptr && entry->stage == task_stage::running) {
        this->stop({task->id, worker, stop_reason::leaving}, now);
      }
    }
  }
}

void domain_placer::queue_ready(instant now) {
  for (auto it = this->attention.begin(); it != this->attention.end();) {
    job_entry* job = this->book.find(*it);
    if (job == nullptr) {
      it = this->attention.erase(it);
      continue;
    }
    for (const unit_ptr& unit : this->book.take_ready(*job, now)) {
      const bool again = job->tasks[unit->tasks.front()].attempt > 1;
      if (again) {
        this->schedule->resubmit(unit);
      } else {
        this->schedule->submit(unit);
      }
    }
    const bool more = std::any_of(job->tasks.begin(), job->tasks.end(), [](const auto& item) {
      return item.second.stage == task_stage::waiting;
    });
    it = more ? std::next(it) : this->attention.erase(it);
  }
}

void domain_placer::decide(instant now) {
  const plan decided = this->schedule->decide(now);
  for (const task_stop& s : decided.stops) {
    this->stop(s, now);
  }
  for (const unit_start& s : decided.starts) {
    this->start(s, now);
  }
}

void domain_placer::start(const unit_start& unit, instant now) {
  const job_entry* job = this->book.find(unit.unit->job);
  for (const task_start& placed : unit.tasks) {
    task_entry* task = this->book.find(placed.task);
    if (job == nullptr || task == nullptr) {
      this->schedule->finish(placed.task);
      continue;
    }
    this->start_task(placed, *job, *task, now);
  }
}

void domain_placer::start_task(const task_start& placed, const job_entry& job, task_entry& task,
                               instant now) {
  task.stage = task_stage::starting;
  task.worker = placed.worker;
  task.started_ms = this->time.wall_ms();
  if (job.spec.idempotent) {
    this->send_start(placed.task, placed.worker, job, task, now);
  } else {
    this->record_then_start(placed, task);
  }
}

// Work that may not be repeated is recorded as running before it starts, so no
// successor can take it for work that never ran. Costs one record per task.
void domain_placer::record_then_start(const task_start& placed, task_entry& task) {
  task.start_deadline = never;
  task_state state;
  state.phase = task_phase::running;
  state.attempt = task.attempt;
  state.worker = placed.worker;
  state.started_ms = task.started_ms;
  const task_updates value{{{placed.task, state}}};
  const std::int64_t era = this->era;
  this->out.emplace_back([self = this->shared_from_this(), era, value, placed] {
    self->writer.append(value, never, [self, era, placed](const result<record_outcome>& r) {
      self->locked([&](instant now) {
        const job_entry* job = self->book.find(placed.task.job);
        task_entry* entry = self->book.find(placed.task);
        if (!self->active(era) || r.has_error() || job == nullptr || entry == nullptr ||
            entry->stage != task_stage::starting) {
          return;
        }
        self->send_start(placed.task, placed.worker, *job, *entry, now);
      });
    });
  });
}

void domain_placer::send_start(const task_id& id, const worker_id& worker, const job_entry& job,
                               task_entry& task, instant now) {
  const instant right_end = this->right.held_until();
  start_request request;
  request.domain = this->domain;
  request.number = this->right.number();
  request.not_after = this->links.command_deadline(worker, now, right_end);
  request.send_by = this->links.command_end(now, right_end);
  request.run = run_of(id, task);
  request.amount = job.spec.per_task;
  request.lease = this->options.links.task_lease;
  request.command = job.spec.command;
  task.start_deadline = request.send_by;
  this->emit("task_start", {{"task", id.text()},
                            {"team", job.spec.team.text},
                            {"worker", worker.text},
                            {"attempt", std::to_string(task.attempt)}});
  const std::int64_t era = this->era;
  this->out.emplace_back([self = this->shared_from_this(), era, worker, request] {
    self->port.start(worker, request, [self, era, run = request.run](const result<void>& answer) {
      self->locked([&](instant later) {
        if (self->active(era)) {
          self->on_start(run, answer, later);
        }
      });
    });
  });
}

// An answer that was lost leaves the task as starting; the next report that was
// asked for after the start's deadline settles it.
void domain_placer::on_start(const task_run& run, const result<void>& answer, instant now) {
  job_entry* job = this->book.find(run.task.job);
  task_entry* task = this->book.find(run.task);
  if (job == nullptr || task == nullptr || task->attempt != run.attempt ||
      (task->stage != task_stage::starting && task->stage != task_stage::stopping)) {
    return;
  }
  if (answer.has_value()) {
    task->confirmed_at = now;
    if (task->stage == task_stage::starting) {
      task->stage = task_stage::running;
      this->record_state(run.task, *task, task_phase::running);
    }
    return;
  }
  if (answer.error().effect == verdict::not_run && task->stage == task_stage::starting) {
    constexpr millis pause{500};
    this->run_again(*job, run.task, *task, pause, now);
    this->break_gang(*job, now);
  }
}

void domain_placer::stop(const task_stop& value, instant now) {
  task_entry* task = this->book.find(value.task);
  if (task == nullptr || !task->holds_worker() || task->stage == task_stage::stopping) {
    return;
  }
  if (task->stage == task_stage::starting) {
    task->confirmed_at = task->start_deadline;
  }
  task->stage = task_stage::stopping;
  task->reason = value.reason;
  task->next_stop = now + this->options.stop_repeat;
  this->emit("task_stop", {{"task", value.task.text()},
                           {"worker", value.worker.text},
                           {"reason", std::string(to_string(value.reason))}});
  this->send_stop(value.worker, run_of(value.task, *task), value.reason != stop_reason::cancelled,
                  now);
}

void domain_placer::send_stop(const worker_id& worker, const task_run& run, bool checkpoint,
                              instant now) {
  stop_request request;
  request.domain = this->domain;
  request.number = this->right.number();
  request.not_after = this->links.command_deadline(worker, now, this->right.held_until());
  request.run = run;
  request.checkpoint = checkpoint;
  this->out.emplace_back([self = this->shared_from_this(), worker, request] {
    self->port.stop(worker, request, [](const result<void>&) {});
  });
  if (worker_link* link = this->links.find(worker); link != nullptr) {
    link->next_sync = std::min(link->next_sync, now + this->options.update_gap);
  }
}

void domain_placer::repeat_stops(instant now) {
  std::vector<task_id> due;
  for (const auto& [id, job] : this->book.all()) {
    if (!job.any_holds_worker()) {
      continue;
    }
    for (const auto& [index, task] : job.tasks) {
      if (task.stage == task_stage::stopping && task.next_stop <= now) {
        due.push_back({id, index});
      }
    }
  }
  for (const task_id& id : due) {
    task_entry* task = this->book.find(id);
    task->next_stop = now + this->options.stop_repeat;
    this->send_stop(task->worker, run_of(id, *task), task->reason != stop_reason::cancelled, now);
  }
}

// A job that would not fit if nothing else ran is told so, once the workers have
// had time to be found, and holds up nobody.
void domain_placer::check_hopeless(instant now) {
  constexpr millis between{1'000};
  if (!this->fenced || now < this->last_hopeless + between ||
      now < this->began + this->options.hopeless_after) {
    return;
  }
  this->last_hopeless = now;
  std::vector<job_id> hopeless;
  for (const auto& [team, account] : this->schedule->teams().all()) {
    for (const auto& [shape, line] : account.waiting.by_shape()) {
      const pending_unit& unit = *line.front();
      if (unit.avoid.empty() && now >= unit.since + this->options.hopeless_after &&
          !this->schedule->fits_empty(unit)) {
        hopeless.push_back(unit.job);
      }
    }
  }
  for (const job_id& id : hopeless) {
    this->schedule->cancel(id, stop_reason::cancelled);
    this->emit("job_unsatisfiable", {{"job", id.text}});
    const job_unsatisfiable told{id, "no worker of the domain is large enough for its tasks"};
    this->out.emplace_back(
        [self = this->shared_from_this(), told] { self->writer.append(told, never, nullptr); });
    this->book.erase(id);
    this->attention.erase(id);
  }
}

// --- Budgets and views -------------------------------------------------------------

std::vector<budget_wish> domain_placer::wishes() const {
  const guard hold(this->lock);
  std::vector<budget_wish> out_wishes;
  if (this->phase != placer_phase::placing) {
    return out_wishes;
  }
  for (const auto& [team, account] : this->schedule->teams().all()) {
    if (team.empty() || account.waiting.empty()) {
      continue;
    }
    const resources lack = account.used + account.waiting.demand() - account.allowance;
    const resources wanted = {std::max(lack.cpu, millicores{}), std::max(lack.memory, mebibytes{}),
                              std::max(lack.accelerators, devices{})};
    if (!wanted.zero()) {
      out_wishes.push_back({team, this->domain, wanted});
    }
  }
  return out_wishes;
}

void domain_placer::on_wish(const budget_wish& wish) {
  this->locked([&](instant) {
    if (this->phase != placer_phase::placing) {
      return;
    }
    const team_account* account = this->schedule->teams().find(wish.team);
    const resources busy =
        account == nullptr ? resources{} : account->used + account->waiting.demand();
    const auto transfer = this->desk.give(wish, busy, this->right.number());
    if (!transfer) {
      return;
    }
    this->update_terms();
    this->emit("budget_given", {{"team", wish.team.text}, {"to", wish.to.text}});
    const std::int64_t era = this->era;
    this->out.emplace_back([self = this->shared_from_this(), era, value = *transfer] {
      self->writer.append(value, never, [self, era, value](const result<record_outcome>&) {
        self->locked([&](instant) {
          if (self->active(era)) {
            self->desk.settled(value);
          }
        });
      });
    });
  });
}

placer_status domain_placer::status() const {
  const guard hold(this->lock);
  placer_status s;
  s.domain = this->domain;
  s.phase = this->phase;
  s.number = this->right.number();
  s.fenced = this->fenced;
  s.first_ever = this->first_ever;
  s.workers = this->links.all().size();
  if (this->schedule) {
    for (const auto& row : this->schedule->workers().all()) {
      s.capacity += row.usable ? row.info.total : resources{};
      s.free += row.usable ? row.free : resources{};
    }
    s.running = this->schedule->running().size();
    s.waiting = this->schedule->waiting();
  }
  s.aside = this->health.aside_count(this->time.now());
  return s;
}

std::vector<worker_view> domain_placer::workers() const {
  const guard hold(this->lock);
  const instant now = this->time.now();
  std::vector<worker_view> views;
  for (const auto& [id, link] : this->links.all()) {
    worker_view v;
    v.host = link.host;
    v.silent = now - link.heard;
    v.aside = this->health.aside(id, now);
    if (this->schedule) {
      const worker_index index = this->schedule->workers().find(id);
      if (index != no_worker) {
        const auto& row = this->schedule->workers()[index];
        v.free = row.free;
        v.tasks = static_cast<std::size_t>(row.tasks);
        v.usable = row.usable;
      }
    }
    views.push_back(std::move(v));
  }
  return views;
}

}  // namespace monsoonmux
