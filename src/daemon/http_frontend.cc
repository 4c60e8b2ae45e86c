#include "daemon/http_frontend.h"

#include "daemon/api_json.h"

namespace monsoonmux {
namespace {

constexpr std::chrono::milliseconds wait_check_interval{10};
const std::string jobs_root = "/v1/jobs";

server_options server_options_of(const settings& config) {
  server_options out;
  out.address = config.http.address;
  out.port = config.http.port;
  out.threads = config.http_threads;
  out.max_body_bytes = static_cast<std::size_t>(config.max_body_bytes);
  out.max_connections = static_cast<std::size_t>(config.max_connections);
  out.read_timeout = config.header_timeout;
  return out;
}

}  // namespace

http_frontend::http_frontend(node& daemon)
    : daemon(daemon), calls(daemon.parts()), jobs(daemon.parts()), operators(daemon.parts()) {
  this->server = std::make_unique<http_server>(
      server_options_of(daemon.parts().config),
      [this](const http_request& request, const http_respond& respond) {
        ++this->open;
        this->handle(request, [this, respond](http_response answer) {
          if (this->daemon.is_draining()) {
            answer.headers.push_back({"Connection", "close"});
          }
          respond(std::move(answer));
          --this->open;
        });
      });
  this->wait_thread = std::thread([this] {
    while (!this->stopping) {
      this->jobs.answer_due_waits();
      std::this_thread::sleep_for(wait_check_interval);
    }
  });
}

http_frontend::~http_frontend() {
  this->stopping = true;
  this->wait_thread.join();
  this->server.reset();
}

// A draining daemon first reports 503 to the load balancer here and still serves the
// requests that arrive meanwhile, so that no request is refused that another daemon
// would have accepted.
http_response http_frontend::health() const {
  nlohmann::ordered_json body;
  body["state"] = this->daemon.is_draining() ? "draining" : "serving";
  http_response out = ok_response(body);
  out.status = this->daemon.is_draining() ? 503 : 200;
  return out;
}

void http_frontend::handle(const http_request& request, const http_respond& respond) {
  if (request.path == "/healthz") {
    respond(this->health());
  } else if (request.path == "/metrics") {
    respond({200, "text/plain; version=0.0.4", {}, this->daemon.parts().metrics.text()});
  } else if (call_api::matches(request.path)) {
    this->calls.handle(request, respond);
  } else if (operator_api::matches(request.path)) {
    this->operators.handle(request, respond);
  } else if (request.path == jobs_root || request.path.rfind(jobs_root + "/", 0) == 0) {
    this->jobs.handle(request, respond);
  } else {
    respond(error_response(not_run(error_code::not_found, "no such path: " + request.path)));
  }
}

}  // namespace monsoonmux
