#include "daemon/job_api.h"

#include <charconv>

#include "daemon/api_json.h"
#include "daemon/domain_chooser.h"
#include "daemon/job_parser.h"

namespace monsoonmux {
namespace {

constexpr millis accept_deadline{5'000};
constexpr std::int64_t max_wait_ms = 600'000;
constexpr std::int64_t default_wait_ms = 30'000;
constexpr std::size_t max_waits = 1'000;
constexpr std::size_t max_listed = 1'000;
const std::string root = "/v1/jobs";

bool same_submission(const job_spec& a, const job_spec& b) {
  return a.team == b.team && a.queue == b.queue && a.kind == b.kind && a.tasks == b.tasks &&
         a.per_task == b.per_task && a.command == b.command && a.priority == b.priority;
}

http_response method_not_allowed() {
  http_response out = error_response(not_run(error_code::bad_request, "method not allowed here"));
  out.status = 405;
  return out;
}

}  // namespace

void job_api::handle(const http_request& request, const http_respond& respond) {
  const std::string rest = request.path.substr(root.size());
  const caller_identity caller = identify(request, this->core);
  if (rest.empty() || rest == "/") {
    if (request.method == "POST") {
      this->submit(request, respond);
    } else if (request.method == "GET") {
      this->list(caller, request, respond);
    } else {
      respond(method_not_allowed());
    }
    return;
  }
  const std::size_t slash = rest.find('/', 1);
  const job_id id(rest.substr(1, slash == std::string::npos ? slash : slash - 1));
  const std::string action = slash == std::string::npos ? "" : rest.substr(slash);
  if (action == "/wait" && request.method == "GET") {
    this->begin_wait(caller, id, request, respond);
  } else if (action.empty() && request.method == "GET") {
    this->show(caller, id, respond);
  } else if (action.empty() && request.method == "DELETE") {
    this->cancel(caller, id, respond);
  } else {
    respond(method_not_allowed());
  }
}

void job_api::submit(const http_request& request, const http_respond& respond) {
  const caller_identity caller = identify(request, this->core);
  auto parsed = parse_job(request);
  if (parsed.has_error()) {
    respond(error_response(parsed.error()));
    return;
  }
  job value;
  value.spec = parsed.value();
  const auto queue = caller.config->doc.queues.find(value.spec.queue);
  if (queue == caller.config->doc.queues.end() || queue->second.kind != queue_kind::jobs) {
    respond(error_response(not_run(
        error_code::not_found, "no queue for jobs is named \"" + value.spec.queue.text + "\"")));
    return;
  }
  const auto team = authorized_team(caller, queue->second);
  if (team.has_error()) {
    respond(error_response(team.error()));
    return;
  }
  value.spec.team = team.value();
  value.spec.pool = queue->second.pool;
  const std::string key =
      value.spec.idempotency_key.empty() ? make_key() : value.spec.idempotency_key;
  value.spec.id = job_id_of(value.spec.team, key);
  const auto limit = caller.config->doc.teams.at(value.spec.team).limit.tasks;
  const resources min_request = value.spec.kind == work_kind::gang
                                    ? value.spec.per_task * value.spec.tasks
                                    : value.spec.per_task;
  if (!min_request.fits(limit)) {
    respond(error_response(
        not_run(error_code::unsatisfiable, "it needs more at once than the team's upper limit")));
    return;
  }
  const auto alive = this->core.members.alive(this->core.time.now());
  const auto hosts = this->core.hosts.hosts();
  const auto parts = domain_chooser(*hosts, alive).choose(value.spec);
  if (parts.has_error()) {
    respond(error_response(parts.error()));
    return;
  }
  value.parts = parts.value();
  value.tasks.resize(static_cast<std::size_t>(value.spec.tasks));
  value.accepted_ms = this->core.time.wall_ms();
  this->append(value, respond);
}

// Appends the job's record to the log. The job counts as accepted once the record has
// been read back from the log.
void job_api::append(const job& value, const http_respond& respond) {
  const instant deadline = this->core.time.now() + accept_deadline;
  this->core.writer.append(
      job_record{value}, deadline,
      [this, spec = value.spec, respond](const result<record_outcome>& outcome) {
        if (outcome.has_error()) {
          respond(error_response(outcome.error()));
          return;
        }
        const auto accepted = this->core.state.find_job(spec.id);
        if (!accepted || !same_submission(accepted->spec, spec)) {
          respond(error_response(
              not_run(error_code::conflict, "the idempotency key belongs to a different job")));
          return;
        }
        http_response answer = ok_response(job_json(*accepted));
        const bool created = outcome.value() == record_outcome::applied;
        answer.status = created ? 201 : 200;
        if (created) {
          this->core.metrics.count("jobs_accepted");
          this->core.events.emit("job_accepted", {{"job", spec.id.text}, {"team", spec.team.text}});
        }
        respond(answer);
      });
}

result<job> job_api::find(const caller_identity& caller, const job_id& id) const {
  if (caller.team.empty() && !caller.operator_key) {
    return not_run(error_code::unauthorized, "a key is needed");
  }
  const auto found = this->core.state.find_job(id);
  if (!found || (!caller.operator_key && found->spec.team != caller.team)) {
    return not_run(error_code::not_found, "no job of this team is named \"" + id.text + "\"");
  }
  return *found;
}

void job_api::list(const caller_identity& caller, const http_request&,
                   const http_respond& respond) const {
  if (caller.team.empty() && !caller.operator_key) {
    respond(error_response(not_run(error_code::unauthorized, "a key is needed")));
    return;
  }
  nlohmann::ordered_json body = nlohmann::ordered_json::array();
  for (const job& j :
       this->core.state.jobs(caller.operator_key ? team_id() : caller.team, max_listed)) {
    body.push_back(job_json(j));
  }
  respond(ok_response(body));
}

void job_api::show(const caller_identity& caller, const job_id& id,
                   const http_respond& respond) const {
  const auto found = this->find(caller, id);
  respond(found.has_error() ? error_response(found.error()) : ok_response(job_json(found.value())));
}

void job_api::cancel(const caller_identity& caller, const job_id& id, const http_respond& respond) {
  const auto found = this->find(caller, id);
  if (found.has_error()) {
    respond(error_response(found.error()));
    return;
  }
  const instant deadline = this->core.time.now() + accept_deadline;
  this->core.writer.append(job_cancel{id}, deadline,
                           [this, id, respond](const result<record_outcome>& outcome) {
                             if (outcome.has_error()) {
                               respond(error_response(outcome.error()));
                               return;
                             }
                             this->core.events.emit("job_cancelled", {{"job", id.text}});
                             respond(ok_response(job_json(*this->core.state.find_job(id))));
                           });
}

void job_api::begin_wait(const caller_identity& caller, const job_id& id,
                         const http_request& request, const http_respond& respond) {
  const auto found = this->find(caller, id);
  if (found.has_error()) {
    respond(error_response(found.error()));
    return;
  }
  std::int64_t timeout = default_wait_ms;
  const std::string given = request.parameter("timeout_ms");
  const char* last = given.data() + given.size();
  const auto parsed = std::from_chars(given.data(), last, timeout);
  if (!given.empty() &&
      (parsed.ec != std::errc{} || parsed.ptr != last || timeout < 0 || timeout > max_wait_ms)) {
    respond(error_response(
        not_run(error_code::bad_request, "timeout_ms: expected an integer from 0 to 600000")));
    return;
  }
  const std::lock_guard guard(this->lock);
  if (this->waits.size() >= max_waits) {
    respond(
        error_response(not_run(error_code::overloaded, "too many requests wait on this daemon")));
    return;
  }
  this->waits.push_back({id, this->core.time.now() + millis{timeout}, respond});
}

void job_api::answer_due_waits() {
  std::vector<wait> due;
  {
    const std::lock_guard guard(this->lock);
    const instant now = this->core.time.now();
    std::erase_if(this->waits, [&](const wait& w) {
      const auto found = this->core.state.find_job(w.id);
      if (w.deadline > now && found && !found->finished()) {
        return false;
      }
      due.push_back(w);
      return true;
    });
  }
  for (const wait& w : due) {
    const auto found = this->core.state.find_job(w.id);
    w.respond(found ? ok_response(job_json(*found))
                    : error_response(not_run(error_code::not_found, "the job was forgotten")));
  }
}

std::int64_t job_api::open_waits() const {
  const std::lock_guard guard(this->lock);
  return static_cast<std::int64_t>(this->waits.size());
}

}  // namespace monsoonmux
