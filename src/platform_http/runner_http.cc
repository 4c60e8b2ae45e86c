// Idle connections form a stack: the connection used last is reused first, so that
// surplus connections age and are closed, and a call gets a connection that worked
// a moment ago. A failed call also closes the idle connections to its runner, since
// the fault that broke one connection has often broken all of them. A call that
// must run at most once is sent on a new connection (see
// client_request::fresh_connection).

#include "platform_http/runner_http.h"

namespace monsoonmux {
namespace {

const std::string call_id_header = "X-Call-Id";

client_request to_client(const std::string& address, const runner_request& request) {
  client_request out;
  out.method = request.method;
  out.url = "http://" + address + request.path;
  for (const http_header& h : request.headers) {
    out.headers.push_back({h.name, h.value});
  }
  out.headers.push_back({call_id_header, request.call_id});
  out.body = request.body;
  out.timeout = request.timeout;
  out.fresh_connection = request.once;
  return out;
}

}  // namespace

void runner_http::set_hosts(const std::vector<runner_host>& hosts) {
  const std::lock_guard guard(this->lock);
  std::map<runner_id, channel> kept;
  for (const runner_host& host : hosts) {
    channel& c = kept[host.runner];
    const auto known = this->channels.find(host.runner);
    if (known != this->channels.end() && known->second.address == host.address) {
      c = std::move(known->second);
    }
    c.address = host.address;
  }
  this->channels = std::move(kept);
}

result<runner_answer> runner_http::call(const runner_id& runner, const runner_request& request) {
  std::unique_ptr<http_client> client;
  std::string address;
  {
    const std::lock_guard guard(this->lock);
    const auto it = this->channels.find(runner);
    if (it == this->channels.end()) {
      return not_run(error_code::not_found, "the runner is not known");
    }
    address = it->second.address;
    if (!it->second.idle.empty()) {
      client = std::move(it->second.idle.back());
      it->second.idle.pop_back();
    }
  }
  if (!client) {
    client = std::make_unique<http_client>();
  }
  auto answer = client->send(to_client(address, request));
  const std::lock_guard guard(this->lock);
  const auto it = this->channels.find(runner);
  if (answer.has_error()) {
    if (it != this->channels.end()) {
      it->second.idle.clear();
    }
    return answer.error();
  }
  client_answer& a = answer.value();
  if (a.header(call_id_header) != request.call_id) {
    return may_have_run(error_code::malformed_answer, "the answer belongs to another call");
  }
  if (it != this->channels.end()) {
    it->second.idle.push_back(std::move(client));
  }
  return runner_answer{a.status, request.call_id, a.header("Content-Type"), std::move(a.body)};
}

}  // namespace monsoonmux
