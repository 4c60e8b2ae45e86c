#include "daemon/call_api.h"

#include <array>
#include <charconv>
#include <chrono>

#include "daemon/api_json.h"

namespace monsoonmux {
namespace {

const std::string root = "/v1/queues/";
const std::string infix = "/calls";

// Headers that concern only the connection or this daemon. They are not forwarded to
// the runner.
constexpr std::array<std::string_view, 8> unforwarded_headers = {
    "authorization", "connection",        "host",      "content-length",
    "keep-alive",    "transfer-encoding", "x-call-id", "x-deadline-ms"};

bool is_forwarded(const std::string& name) {
  std::string lower = name;
  std::transform(lower.begin(), lower.end(), lower.begin(),
                 [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  return std::find(unforwarded_headers.begin(), unforwarded_headers.end(), lower) ==
         unforwarded_headers.end();
}

// A call is idempotent if HTTP defines its method as safe or idempotent, or if it
// carries an idempotency key, by which the backend server recognises a retry.
bool is_idempotent(const http_request& request) {
  const std::string& m = request.method;
  return m == "GET" || m == "HEAD" || m == "OPTIONS" || m == "PUT" || m == "DELETE" ||
         !request.header("Idempotency-Key").empty();
}

result<millis> timeout_of(const http_request& request, millis max) {
  const std::string given = request.header("X-Deadline-Ms");
  std::int64_t value = max.value;
  const char* last = given.data() + given.size();
  const auto parsed = std::from_chars(given.data(), last, value);
  if (!given.empty() && (parsed.ec != std::errc{} || parsed.ptr != last || value < 1)) {
    return not_run(error_code::bad_request, "X-Deadline-Ms: expected a positive integer");
  }
  return millis{std::min(value, max.value)};
}

}  // namespace

bool call_api::matches(const std::string& path) {
  if (path.rfind(root, 0) != 0) {
    return false;
  }
  const std::size_t at = path.find('/', root.size());
  return at != std::string::npos && path.compare(at, infix.size(), infix) == 0;
}

void call_api::handle(const http_request& request, const http_respond& respond) {
  const std::size_t at = request.path.find('/', root.size());
  const queue_id name(request.path.substr(root.size(), at - root.size()));
  const caller_identity caller = identify(request, this->core);
  const auto queue = caller.config->doc.queues.find(name);
  if (queue == caller.config->doc.queues.end() || queue->second.kind != queue_kind::calls) {
    respond(error_response(
        not_run(error_code::not_found, "no queue for calls is named \"" + name.text + "\"")));
    return;
  }
  const auto team = authorized_team(caller, queue->second);
  const auto timeout = timeout_of(request, queue->second.deadline);
  if (team.has_error() || timeout.has_error()) {
    respond(error_response(team.has_error() ? team.error() : timeout.error()));
    return;
  }
  call_request call;
  call.id = this->core.config.daemon.text + "-" + std::to_string(this->core.incarnation) + "-" +
            std::to_string(++this->next_call);
  call.team = team.value();
  call.queue = name;
  call.pool = queue->second.pool;
  call.method = request.method;
  call.path = request.path.substr(at + infix.size());
  if (call.path.empty()) {
    call.path = "/";
  }
  if (!request.query.empty()) {
    call.path += "?" + request.query;
  }
  for (const header_field& field : request.headers) {
    if (is_forwarded(field.name)) {
      call.headers.push_back({field.name, field.value});
    }
  }
  call.body = request.body;
  call.idempotent = is_idempotent(request);
  call.deadline = this->core.time.now() + timeout.value();
  const auto started = std::chrono::steady_clock::now();
  const auto dispatcher = this->core.dispatcher(call.pool);
  dispatcher->submit(std::move(call), queue->second.waiting,
                     [this, respond, started](const result<call_answer>& answer) {
                       const std::chrono::duration<double, std::milli> took =
                           std::chrono::steady_clock::now() - started;
                       this->core.metrics.observe_ms("call", took.count());
                       if (answer.has_error()) {
                         respond(error_response(answer.error()));
                         return;
                       }
                       const call_answer& a = answer.value();
                       http_response out;
                       out.status = a.answer.status;
                       out.content_type = a.answer.content_type.empty() ? "application/octet-stream"
                                                                        : a.answer.content_type;
                       out.headers = {{"X-Monsoonmux-Verdict", "answered"},
                                      {"X-Monsoonmux-Runner", a.runner.text},
                                      {"X-Monsoonmux-Tries", std::to_string(a.tries)}};
                       out.body = a.answer.body;
                       respond(out);
                     });
}

}  // namespace monsoonmux
