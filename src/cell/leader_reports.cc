// The load reports of a leader, one a second: the use of the cell's capacity, and why the
// most urgent steps are waiting.

#include "cell/leader.h"

namespace monsoonmux::cell {

void leader::report_load() {
  const instant now = this->services.time.now();
  if (now - this->load_reported < this->options.load_report_interval) {
    return;
  }
  this->load_reported = now;
  std::map<std::string, std::pair<resources, resources>> by_service;
  std::int64_t available = 0;
  for (const auto& [id, runner] : this->state.runners.all()) {
    auto& [used, capacity] = by_service[runner.entry.pool.text];
    used += runner.used;
    if (runner.takes_work(now)) {
      capacity += runner.entry.capacity;
      ++available;
    }
  }
  nlohmann::ordered_json services_load;
  for (const auto& [pool, load] : by_service) {
    const auto& [used, capacity] = load;
    services_load[pool] = {{"cpu_used", used.cpu.value},
                           {"cpu", capacity.cpu.value},
                           {"gpu_used", used.accelerators.value},
                           {"gpu", capacity.accelerators.value}};
  }
  nlohmann::ordered_json traffic;
  for (const auto& [name, total] : this->services.metrics.counts_of("bytes_")) {
    traffic[name] = total - std::exchange(this->bytes_reported[name], total);
  }
  this->services.events.write("cell_load",
                              {{"epoch", this->own_epoch.value},
                               {"open_jobs", this->state.jobs.size()},
                               {"waiting_tasks", this->waiting_tasks},
                               {"runners_taking_work", available},
                               {"wishes_without_daemon", this->undispatched_queries},
                               {"wishes_put_off", this->deferred_queries},
                               {"advising_daemons", this->state.advising_daemons},
                               {"advising_daemons_free", this->dispatcher.capacity().daemons},
                               {"longest_wish_ms", this->longest_query_wait.value},
                               {"plan_ms", this->plan_duration.value},
                               {"rounds", this->plan_rounds},
                               {"planning_ms", this->planning_time.value},
                               {"steps_planned", this->planning.steps},
                               {"looked_at_to_place", this->planning.placing},
                               {"looked_at_to_reserve", this->planning.reserving},
                               {"looked_at_to_query", this->planning.querying},
                               {"ticks_ms", this->tick_time.value},
                               {"services", services_load},
                               {"traffic", traffic}});
  this->plan_rounds = 0;
  this->planning = {};
  this->planning_time = millis{0};
  this->tick_time = millis{0};
}

void leader::report_waiting(const std::vector<waiting_reason>& reasons) {
  const instant now = this->services.time.now();
  if (now - this->waiting_reported < this->options.load_report_interval) {
    return;
  }
  this->waiting_reported = now;
  for (const waiting_reason& why : reasons) {
    this->services.events.write("step_waits", {{"step", why.step.text()},
                                               {"tasks", why.tasks},
                                               {"given_up", why.given_up},
                                               {"takes_no_work", why.takes_no_work},
                                               {"claimed", why.claimed},
                                               {"no_room", why.no_room},
                                               {"not_permitted", why.not_permitted},
                                               {"not_asked", why.not_asked},
                                               {"not_good", why.not_good},
                                               {"no_ticket", why.no_ticket},
                                               {"queries", why.queries},
                                               {"query_wait_ms", why.query_wait.value}});
  }
}

}  // namespace monsoonmux::cell
