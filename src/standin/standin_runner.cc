#include "standin/standin_runner.h"

#include <asio/steady_timer.hpp>

namespace monsoonmux {

standin_runner::standin_runner(runner_host host, int port, const standin_faults& faults,
                               history_recorder& recorder, asio::io_context& timers)
    : host(std::move(host)), faults(faults), recorder(recorder), timers(timers) {
  server_options options;
  options.port = port;
  options.threads = 1;
  options.max_connections = static_cast<std::size_t>(this->host.connections);
  this->server = std::make_unique<http_server>(
      options, [this](const http_request& request, const http_respond& respond) {
        this->handle(request, respond);
      });
}

void standin_runner::handle(const http_request& request, const http_respond& respond) {
  const int busy_now = ++this->busy;
  int current_max = this->max_busy;
  while (current_max < busy_now && !this->max_busy.compare_exchange_weak(current_max, busy_now)) {
  }
  history_event e;
  e.kind = history_kind::call_ran;
  e.subject = this->host.runner.text;
  e.task = request.header("X-Call-Id");
  this->recorder.add(e);
  const std::string work = request.header("X-Work-Ms");
  const std::int64_t duration = (work.empty() ? 0 : std::stoll(work)) + this->faults.runner_slow_ms;
  if (duration == 0) {
    this->finish(request, respond);
    return;
  }
  auto timer =
      std::make_shared<asio::steady_timer>(this->timers, std::chrono::milliseconds(duration));
  timer->async_wait(
      [this, timer, request, respond](const asio::error_code&) { this->finish(request, respond); });
}

void standin_runner::finish(const http_request& request, const http_respond& respond) {
  --this->busy;
  ++this->served;
  if (this->unresponsive) {
    return;
  }
  http_response answer;
  answer.content_type = "text/plain";
  answer.headers.push_back({"X-Call-Id", request.header("X-Call-Id")});
  answer.body = request.body.empty() ? "answer from " + this->host.runner.text : request.body;
  respond(answer);
}

}  // namespace monsoonmux
