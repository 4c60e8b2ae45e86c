#include "daemon/operator_api.h"

#include <algorithm>
#include <array>
#include <charconv>

#include "daemon/api_json.h"

namespace monsoonmux {
namespace {

using json = nlohmann::ordered_json;

constexpr millis patch_deadline{8'000};
constexpr std::size_t max_author_bytes = 64;

constexpr std::array<std::string_view, 8> paths = {
    "/v1/config",  "/v1/config/history", "/v1/workers",  "/v1/runners",
    "/v1/members", "/v1/placers",        "/v1/timeline", "/v1/jobs-all"};

json config_json(const config_view& view) {
  json out;
  out["version"] = view.version.value;
  out["config"] = json::parse(view.text);
  return out;
}

}  // namespace

bool operator_api::matches(const std::string& path) {
  return std::find(paths.begin(), paths.end(), path) != paths.end();
}

void operator_api::handle(const http_request& request, const http_respond& respond) {
  const caller_identity caller = identify(request, this->core);
  if (!caller.operator_key) {
    respond(error_response(
        not_run(caller.team.empty() ? error_code::unauthorized : error_code::forbidden,
                "this needs the operators' key")));
    return;
  }
  if (request.path == "/v1/config" && request.method == "PATCH") {
    this->patch(request, respond);
  } else if (request.method == "GET") {
    respond(this->view(request));
  } else {
    http_response out = error_response(not_run(error_code::bad_request, "method not allowed here"));
    out.status = 405;
    respond(out);
  }
}

http_response operator_api::view(const http_request& request) {
  json body = json::array();
  if (request.path == "/v1/config") {
    return ok_response(config_json(*this->core.state.config()));
  }
  if (request.path == "/v1/config/history") {
    for (const config_change& change : this->core.state.config_history()) {
      body.push_back(change_json(change));
    }
  } else if (request.path == "/v1/workers") {
    for (const auto& placer : this->core.placers()) {
      for (const worker_view& worker : placer->workers()) {
        body.push_back(worker_json(worker));
      }
    }
  } else if (request.path == "/v1/runners") {
    return this->runners();
  } else if (request.path == "/v1/members") {
    const instant now = this->core.time.now();
    for (const member& m : this->core.members.all(now)) {
      body.push_back(member_json(m, now));
    }
  } else if (request.path == "/v1/placers") {
    for (const auto& placer : this->core.placers()) {
      body.push_back(placer_json(placer->status()));
    }
  } else if (request.path == "/v1/timeline") {
    for (const std::string& line : this->core.events.recent()) {
      body.push_back(json::parse(line));
    }
  }
  return ok_response(body);
}

http_response operator_api::runners() const {
  json body = json::array();
  for (const runner_host& host : this->core.hosts.hosts()->runners) {
    json item;
    item["runner"] = host.runner.text;
    item["pool"] = host.pool.text;
    item["domain"] = host.domain.text;
    item["address"] = host.address;
    item["slots"] = host.slots;
    item["free_here"] = this->core.slots.free(host.runner.text);
    item["leaving"] = host.leaving;
    body.push_back(item);
  }
  return ok_response(body);
}

// A patch request states in the header If-Match the configuration version that the
// patch was made against.
void operator_api::patch(const http_request& request, const http_respond& respond) {
  std::int64_t base = -1;
  const std::string given = request.header("If-Match");
  const char* last = given.data() + given.size();
  const auto parsed = std::from_chars(given.data(), last, base);
  if (given.empty() || parsed.ec != std::errc{} || parsed.ptr != last || base < 0) {
    respond(
        error_response(not_run(error_code::bad_request,
                               "If-Match: expected the version that the patch was made against")));
    return;
  }
  const config_ptr current = this->core.state.config();
  if (current->version.value != base) {
    this->on_patch_outcome(record_outcome::lost_race, {base}, respond);
    return;
  }
  const auto checked = patch_document(current->text, request.body);
  if (checked.has_error()) {
    respond(error_response(checked.error()));
    return;
  }
  config_patch value;
  value.base = {base};
  value.patch = request.body;
  value.author = request.header("X-Author").substr(0, max_author_bytes);
  value.wall_ms = this->core.time.wall_ms();
  this->core.writer.append(value, this->core.time.now() + patch_deadline,
                           [this, base, respond](const result<record_outcome>& outcome) {
                             if (outcome.has_error()) {
                               respond(error_response(outcome.error()));
                             } else {
                               this->on_patch_outcome(outcome.value(), {base}, respond);
                             }
                           });
}

void operator_api::on_patch_outcome(const record_outcome& outcome, config_version base,
                                    const http_respond& respond) {
  const config_ptr current = this->core.state.config();
  if (outcome == record_outcome::applied) {
    this->core.metrics.count("config_patches");
    json body;
    body["version"] = base.value + 1;
    respond(ok_response(body));
    return;
  }
  if (outcome == record_outcome::invalid) {
    respond(error_response(
        not_run(error_code::bad_request, "the patch does not fit its base version")));
    return;
  }
  http_response out = error_response(not_run(
      error_code::conflict, "the patch was made against version " + std::to_string(base.value) +
                                ", the current one is " + std::to_string(current->version.value)));
  out.headers.push_back({"ETag", std::to_string(current->version.value)});
  respond(out);
}

}  // namespace monsoonmux
