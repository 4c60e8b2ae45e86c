// Recovery: how a new placer finds the running tasks. Invariant: the placer starts
// nothing before every run that a previous placer can have started was reported or
// can no longer hold a lease. Once it has read its own fencing record back, it has also
// read everything that previous placers wrote to the log. Asking the previous placer
// would be simpler, but fails when that placer has crashed or is unreachable.

#include <algorithm>

#include "control/domain_placer.h"

namespace monsoonmux {
namespace {

// Added to the longest lease, for the last commands of a previous placer to arrive.
constexpr millis arrival_margin{500};

}  // namespace

void domain_placer::sync_workers(instant now) {
  auto self = this->shared_from_this();
  const std::int64_t generation = this->generation;
  for (auto& sent_request :
       this->links.due_syncs(now, this->domain_lease.number(), this->domain_lease.held_until(),
                             this->phase == placer_phase::recovering)) {
    this->out.emplace_back([self, generation, sent_request] {
      self->port.sync(sent_request.worker, sent_request.request,
                      [self, generation, sent_request](const result<worker_report>& answer) {
                        self->on_sync(sent_request, answer, generation);
                      });
    });
  }
}

void domain_placer::on_sync(const worker_links::sync& sent_request,
                            const result<worker_report>& answer, std::int64_t generation) {
  this->locked([&](instant now) {
    if (!this->active(generation)) {
      return;
    }
    if (answer.has_error()) {
      this->links.on_failure(sent_request, now);
      return;
    }
    this->links.on_report(sent_request, answer.value(), now);
    if (this->phase == placer_phase::recovering) {
      this->recovery_reports[sent_request.worker] = answer.value();
    } else {
      this->process_report(sent_request.worker, answer.value(), sent_request.sent, now);
    }
  });
}

// A worker is used only after its worker_joined record is in the log. A later placer
// that has read the log then knows that it needs a report from this worker.
void domain_placer::register_workers() {
  const std::set<worker_id> known = this->state.workers(this->domain);
  for (auto& [id, link] : this->links.all()) {
    link.registered = known.count(id) != 0;
    if (link.registered || link.registration_sent || !link.listed || !this->fenced) {
      continue;
    }
    link.registration_sent = true;
    const worker_joined joined{id, this->domain};
    this->out.emplace_back(
        [self = this->shared_from_this(), joined] { self->writer.append(joined, never, nullptr); });
  }
}

bool domain_placer::recovered(instant now) const {
  const link_options& limits = this->links.limits();
  const instant latest_lease_end =
      this->links.lease_end(this->acquired_at + limits.command_bound) + arrival_margin;
  if (now >= latest_lease_end) {
    return true;
  }
  if (!this->fenced) {
    return false;
  }
  const auto has_reported = [&](const worker_id& id) {
    const auto it = this->links.all().find(id);
    return it != this->links.all().end() && it->second.last_report >= this->acquired_at;
  };
  const std::set<worker_id> known = this->state.workers(this->domain);
  return !this->links.all().empty() && std::all_of(known.begin(), known.end(), has_reported);
}

// The reports received during recovery are complete: no other placer may start
// anything after `acquired_at`, and commands of previous placers took effect before
// then.
void domain_placer::finish_recovery(instant now) {
  this->phase = placer_phase::placing;
  this->update_teams();
  this->state.changed_since(this->change_cursor);
  this->state.for_each_open_job(this->domain, [&](const job& j) { this->load_job(j, now); });
  this->update_workers(now);
  for (const auto& [worker, report] : this->recovery_reports) {
    for (const task_report& task : report.tasks) {
      this->process_task(worker, task, now);
    }
  }
  this->recovery_reports.clear();
  for (auto& [id, job] : this->tasks.all()) {
    for (auto& [index, task] : job.tasks) {
      const bool lost = task.may_have_run && task.stage == task_stage::waiting;
      task.may_have_run = false;
      if (lost && !job.spec.idempotent) {
        this->end_task(job, {id, index}, task, task_phase::failed);
      }
    }
  }
  this->emit("placer_ready", {{"jobs", std::to_string(this->tasks.size())},
                              {"fenced", this->fenced ? "true" : "false"}});
}

void domain_placer::load_changes(instant now) {
  const auto changed = this->state.changed_since(this->change_cursor);
  if (!changed) {
    this->state.for_each_open_job(this->domain, [&](const job& j) { this->load_job(j, now); });
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
  job_entry& job = this->tasks.load(value, this->domain, now);
  if (!job.cancelled) {
    this->jobs_to_queue.insert(job.spec.id);
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

}  // namespace monsoonmux
