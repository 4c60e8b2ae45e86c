#include "platform_http/worker_http.h"

#include "platform_http/json_reply.h"
#include "platform_http/worker_json.h"

namespace monsoonmux {
namespace {

constexpr millis command_timeout{1'500};

reply<client_answer> discard_body(const reply<void>& done) {
  return [done](const result<client_answer>& answer) {
    auto checked = read_json<bool>(answer, [](const nlohmann::json&) { return true; });
    if (checked.has_error()) {
      done(checked.error());
    } else {
      done(BOOST_OUTCOME_V2_NAMESPACE::success());
    }
  };
}

}  // namespace

void worker_http::set_hosts(const std::vector<worker_host>& hosts) {
  const std::lock_guard guard(this->lock);
  for (const worker_host& host : hosts) {
    this->addresses[host.worker] = host.address;
  }
}

std::string worker_http::url(const worker_id& worker, const std::string& verb) const {
  const std::lock_guard guard(this->lock);
  const auto it = this->addresses.find(worker);
  return it == this->addresses.end() ? "" : "http://" + it->second + "/" + verb;
}

void worker_http::post(const worker_id& worker, const std::string& verb, const std::string& body,
                       instant send_by, reply<client_answer> done) {
  const std::string to = this->url(worker, verb);
  if (to.empty()) {
    // A port never invokes the callback before the call returns, so the pool gets a
    // request whose check fails.
    this->clients.send(
        {}, [] { return false; }, std::move(done));
    return;
  }
  client_request request;
  request.method = "POST";
  request.url = to;
  request.headers = {{"Content-Type", "application/json"}};
  request.body = body;
  request.timeout = command_timeout;
  std::function<bool()> check;
  if (send_by != instant{}) {
    check = [this, send_by] { return this->time.now() < send_by; };
  }
  this->clients.send(std::move(request), std::move(check), std::move(done));
}

void worker_http::acquire(const worker_id& worker, placement_lease_request request,
                          reply<placement_lease_answer> done) {
  this->post(worker, "acquire", to_json(request).dump(), {},
             [done](const result<client_answer>& a) {
               done(read_json<placement_lease_answer>(a, read_placement_lease_answer));
             });
}

void worker_http::sync(const worker_id& worker, sync_request request, reply<worker_report> done) {
  this->post(worker, "sync", to_json(request).dump(), request.send_by,
             [done](const result<client_answer>& a) {
               done(read_json<worker_report>(a, read_worker_report));
             });
}

void worker_http::start(const worker_id& worker, start_request request, reply<void> done) {
  this->post(worker, "start", to_json(request).dump(), request.send_by, discard_body(done));
}

void worker_http::stop(const worker_id& worker, stop_request request, reply<void> done) {
  this->post(worker, "stop", to_json(request).dump(), {}, discard_body(done));
}

}  // namespace monsoonmux
