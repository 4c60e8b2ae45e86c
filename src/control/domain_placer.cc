// The workers' reports are authoritative for what runs, and the log for what has
// ended. All state in memory can be rebuilt from the two, so a takeover needs no
// state from the previous placer. Invariant: a new run of a task is queued only
// after its previous run was reported ended, was never started, or can no longer
// hold a lease. Recording each start before sending it would be simpler, but costs
// one append per placement and stops all placement while the log is down.

#include "control/domain_placer.h"

#include <algorithm>

namespace monsoonmux {

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
      domain_lease(this->domain, std::move(holder), options.domain_lease),
      links(this->domain, options.links),
      health(options.health),
      budgets(this->domain, state) {}

void domain_placer::emit(std::string_view kind, std::vector<event_field> fields) {
  fields.push_back({"domain", this->domain.text});
  fields.push_back({"epoch", std::to_string(this->domain_lease.number().value)});
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
    this->renew_placement_lease(now);
    if (this->phase == placer_phase::idle) {
      return;
    }
    this->sync_workers(now);
    this->register_workers();
    if (this->phase == placer_phase::recovering) {
      if (this->recovered(now)) {
        this->finish_recovery(now);
      }
      return;
    }
    this->load_changes(now);
    this->check_unresponsive(now);
    this->update_teams();
    this->update_workers(now);
    this->queue_ready(now);
    this->decide(now);
    this->retry_stops(now);
    this->check_unsatisfiable(now);
    this->flush_updates(now, false);
  });
}

void domain_placer::renew_placement_lease(instant now) {
  const config_ptr config = this->state.config();
  const auto it = config->doc.domains.find(this->domain);
  if (it != config->doc.domains.end()) {
    this->domain_lease.configure(it->second.electors, now);
  }
  const bool held = this->domain_lease.held(now);
  if (!held && this->phase != placer_phase::idle) {
    this->step_down(now);
  }
  if (held && this->phase == placer_phase::idle && !this->resigned) {
    this->begin_recovery(now);
  }
  if (this->resigned && held && now >= this->release_at) {
    for (const placement_lease_manager::elector_request& sent_request :
         this->domain_lease.resign(now)) {
      this->send_elector_request(sent_request);
    }
    return;
  }
  for (const placement_lease_manager::elector_request& sent_request :
       this->domain_lease.due_requests(now, this->candidate)) {
    this->send_elector_request(sent_request);
  }
}

void domain_placer::send_elector_request(
    const placement_lease_manager::elector_request& sent_request) {
  auto self = this->shared_from_this();
  this->out.emplace_back([self, sent_request] {
    self->port.acquire(sent_request.elector, sent_request.request,
                       [self, sent_request](const result<placement_lease_answer>& a) {
                         if (a.has_value()) {
                           self->locked([&](instant now) {
                             self->domain_lease.on_answer(sent_request, a.value(), now);
                           });
                         }
                       });
  });
}

void domain_placer::begin_recovery(instant now) {
  ++this->generation;
  this->phase = placer_phase::recovering;
  this->acquired_at = now;
  this->schedule = std::make_unique<scheduler>(this->options.schedule);
  this->tasks = task_table();
  this->jobs_to_queue.clear();
  this->recovery_reports.clear();
  this->updates.clear();
  this->acks.clear();
  this->flushing = false;
  this->budgets.reset();
  this->fenced = false;
  this->first_ever = false;
  this->teams_version = {-1};
  for (auto& [id, link] : this->links.all()) {
    const worker_host host = link.host;
    const bool listed = link.listed;
    link = worker_link();
    link.host = host;
    link.listed = listed;
  }
  this->emit("placer_won", {});
  this->append_fencing_record();
}

void domain_placer::step_down(instant) {
  this->emit("placer_lost", {});
  ++this->generation;
  this->phase = placer_phase::idle;
  this->schedule.reset();
  this->tasks = task_table();
}

void domain_placer::append_fencing_record() {
  auto self = this->shared_from_this();
  const std::int64_t generation = this->generation;
  const fencing_record fence{this->domain, this->domain_lease.number(), this->daemon};
  this->out.emplace_back([self, generation, fence] {
    self->writer.append(fence, never, [self, generation](const result<record_outcome>& outcome) {
      self->locked([&](instant) {
        if (!self->active(generation) || outcome.has_error()) {
          return;
        }
        if (outcome.value() == record_outcome::applied) {
          self->fenced = true;
          self->first_ever =
              self->domain_lease.number().value == 1 && self->state.fence_count(self->domain) == 1;
          self->budgets.set_confirmed();
        } else {
          self->domain_lease.raise(self->state.fence_epoch(self->domain));
        }
      });
    });
  });
}

void domain_placer::resign() {
  this->locked([this](instant now) {
    this->resigned = true;
    this->candidate = false;
    // The grants are released only after commands in flight have taken effect.
    this->release_at = now + this->options.links.command_bound;
    if (this->phase != placer_phase::idle) {
      this->flush_updates(now, true);
      this->step_down(now);
    }
  });
}

bool domain_placer::released() const {
  const unique_guard guard(this->lock);
  return this->resigned && !this->domain_lease.held(this->time.now());
}

std::vector<budget_request> domain_placer::budget_requests() const {
  const unique_guard guard(this->lock);
  std::vector<budget_request> requests;
  if (this->phase != placer_phase::placing) {
    return requests;
  }
  for (const auto& [team, account] : this->schedule->teams().all()) {
    if (team.empty() || account.waiting.empty()) {
      continue;
    }
    const resources shortfall = account.used + account.waiting.demand() - account.allowance;
    const resources amount = {std::max(shortfall.cpu, millicores{}),
                              std::max(shortfall.memory, mebibytes{}),
                              std::max(shortfall.accelerators, devices{})};
    if (!amount.zero()) {
      requests.push_back({team, this->domain, amount});
    }
  }
  return requests;
}

void domain_placer::on_budget_request(const budget_request& request) {
  this->locked([&](instant) {
    if (this->phase != placer_phase::placing) {
      return;
    }
    const team_account* account = this->schedule->teams().find(request.team);
    const resources own_demand =
        account == nullptr ? resources{} : account->used + account->waiting.demand();
    const auto transfer =
        this->budgets.begin_transfer(request, own_demand, this->domain_lease.number());
    if (!transfer) {
      return;
    }
    this->update_teams();
    this->emit("budget_given", {{"team", request.team.text}, {"to", request.to.text}});
    const std::int64_t generation = this->generation;
    this->out.emplace_back([self = this->shared_from_this(), generation, value = *transfer] {
      self->writer.append(value, never, [self, generation, value](const result<record_outcome>&) {
        self->locked([&](instant) {
          if (self->active(generation)) {
            self->budgets.finish_transfer(value);
          }
        });
      });
    });
  });
}

placer_status domain_placer::status() const {
  const unique_guard guard(this->lock);
  placer_status s;
  s.domain = this->domain;
  s.phase = this->phase;
  s.number = this->domain_lease.number();
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
  s.quarantined = this->health.quarantined_count(this->time.now());
  return s;
}

std::vector<worker_view> domain_placer::workers() const {
  const unique_guard guard(this->lock);
  const instant now = this->time.now();
  std::vector<worker_view> views;
  for (const auto& [id, link] : this->links.all()) {
    worker_view v;
    v.host = link.host;
    v.since_report = now - link.last_report;
    v.quarantined = this->health.quarantined(id, now);
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
