#include "standin/standin_worker.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "platform_http/worker_json.h"

namespace monsoonmux {
namespace {

// Initial uptime of a worker: long enough that its grants as an elector count
// immediately. Grants do not count until the elector has been up for the duration of
// a placement lease.
constexpr millis initial_uptime{3'600'000};
constexpr millis forever{1'000'000'000};

http_response answer(const nlohmann::json& body) {
  return {200, "application/json", {}, body.dump()};
}

http_response refuse(int status, const std::string& why) {
  return {status, "application/json", {}, nlohmann::json{{"error", why}}.dump()};
}

millis duration_of(const std::string& command) {
  const std::size_t colon = command.find(':');
  return colon == std::string::npos ? forever : millis{std::stoll(command.substr(colon + 1))};
}

}  // namespace

standin_worker::standin_worker(worker_host host, const clock& time, history_recorder& recorder)
    : host(std::move(host)),
      time(time),
      recorder(recorder),
      boot(time.now() - initial_uptime),
      local_elector(this->boot),
      report_number(time.wall_ms()),
      first_report_number(this->report_number) {
  history_event e;
  e.kind = history_kind::worker_size;
  e.subject = this->host.worker.text;
  e.amount = this->host.total;
  this->recorder.add(e);
}

bool standin_worker::deadline_passed(worker_time not_after) const {
  return not_after != no_deadline && this->time.now().value >= not_after;
}

bool standin_worker::is_stale(const domain_id& domain, epoch number) {
  epoch& known = this->epochs[domain];
  known = std::max(known, number);
  return number < known;
}

http_response standin_worker::handle(const std::string& verb, const http_request& request) {
  const std::lock_guard guard(this->lock);
  this->tick_locked();
  try {
    const auto body = nlohmann::json::parse(request.body);
    if (verb == "acquire") {
      return answer(to_json(
          this->local_elector.on_request(read_placement_lease_request(body), this->time.now())));
    }
    if (this->deadline_passed(body.at("not_after").get<worker_time>())) {
      return refuse(408, "command arrived too late: deadline passed");
    }
    if (this->is_stale(domain_id(body.at("domain").get<std::string>()), {body.at("epoch")})) {
      return refuse(409, "command has an earlier epoch");
    }
    if (verb == "sync") {
      return answer(to_json(this->sync(read_sync_request(body))));
    }
    if (verb == "start") {
      this->start(read_start_request(body));
    } else if (verb == "stop") {
      this->stop(read_stop_request(body));
    } else {
      return refuse(404, "no such verb");
    }
    return answer(nlohmann::json::object());
  } catch (const std::exception& error) {
    return refuse(400, error.what());
  }
}

worker_report standin_worker::sync(const sync_request& request) {
  for (const task_run& run : request.ended) {
    const auto it = this->tasks.find(run);
    if (it != this->tasks.end() && it->second.phase != report_phase::running) {
      this->tasks.erase(it);
    }
  }
  const instant now = this->time.now();
  worker_report out;
  out.now = now.value;
  out.uptime = now - this->boot;
  out.number = this->report_number;
  out.whole = request.since < this->first_report_number || request.since > this->report_number;
  for (auto& [run, t] : this->tasks) {
    if (t.phase == report_phase::running && request.lease.value > 0) {
      t.lease_until = now + request.lease;
    }
    if (out.whole || t.changed_in_report > request.since) {
      out.tasks.push_back({run.task, run.attempt, t.phase, t.amount, t.amount, now - t.started,
                           now - t.checkpointed});
    }
  }
  return out;
}

void standin_worker::start(const start_request& request) {
  if (this->tasks.count(request.run) != 0) {
    return;
  }
  const instant now = this->time.now();
  task t;
  t.amount = request.amount;
  t.started = now;
  t.checkpointed = now;
  t.ends_at = now + duration_of(request.command);
  t.lease_until = now + request.lease;
  t.changed_in_report = ++this->report_number;
  t.fails = this->fails_all || request.command.rfind("fail", 0) == 0;
  this->tasks[request.run] = t;
  history_event e;
  e.kind = history_kind::task_started;
  e.subject = this->host.worker.text;
  e.task = request.run.task.text();
  e.number = request.run.attempt;
  e.amount = request.amount;
  this->recorder.add(e);
}

void standin_worker::stop(const stop_request& request) {
  const auto it = this->tasks.find(request.run);
  if (it != this->tasks.end() && it->second.phase == report_phase::running) {
    this->end(it->first, it->second, report_phase::stopped);
  }
}

void standin_worker::end(const task_run& run, task& t, report_phase phase) {
  t.phase = phase;
  t.changed_in_report = ++this->report_number;
  history_event e;
  e.kind = history_kind::task_stopped;
  e.subject = this->host.worker.text;
  e.task = run.task.text();
  e.number = run.attempt;
  e.phase = to_string(phase);
  this->recorder.add(e);
}

void standin_worker::tick() {
  const std::lock_guard guard(this->lock);
  this->tick_locked();
}

void standin_worker::tick_locked() {
  const instant now = this->time.now();
  for (auto& [run, t] : this->tasks) {
    if (t.phase != report_phase::running) {
      continue;
    }
    if (t.ends_at <= now && t.ends_at <= t.lease_until) {
      this->end(run, t, t.fails ? report_phase::failed : report_phase::succeeded);
    } else if (t.lease_until <= now) {
      this->end(run, t, report_phase::stopped);
    }
  }
}

void standin_worker::restart() {
  const std::lock_guard guard(this->lock);
  this->tick_locked();
  for (auto& [run, t] : this->tasks) {
    if (t.phase == report_phase::running) {
      this->end(run, t, report_phase::stopped);
    }
  }
  this->tasks.clear();
  this->epochs.clear();
  this->boot = this->time.now();
  this->report_number = std::max(this->report_number + 1, this->time.wall_ms());
  this->first_report_number = this->report_number;
  this->local_elector = elector(this->boot);
}

void standin_worker::set_unresponsive(bool value) {
  const std::lock_guard guard(this->lock);
  this->unresponsive = value;
}

bool standin_worker::is_unresponsive() const {
  const std::lock_guard guard(this->lock);
  return this->unresponsive;
}

void standin_worker::set_fails_all(bool value) {
  const std::lock_guard guard(this->lock);
  this->fails_all = value;
}

}  // namespace monsoonmux
