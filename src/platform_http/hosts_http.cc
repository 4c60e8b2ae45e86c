#include "platform_http/hosts_http.h"

#include "platform_http/json_reply.h"

namespace monsoonmux {
namespace {

constexpr millis fetch_timeout{3'000};
constexpr int not_modified = 304;

worker_host read_worker(const nlohmann::json& item) {
  worker_host w;
  w.worker = worker_id(item.at("worker").get<std::string>());
  w.pool = pool_id(item.at("pool").get<std::string>());
  w.domain = domain_id(item.at("domain").get<std::string>());
  w.rack = rack_id(item.at("rack").get<std::string>());
  w.total = {{item.at("cpu")}, {item.at("memory")}, {item.at("accelerators")}};
  w.address = item.at("address");
  w.leaving = item.value("leaving", false);
  return w;
}

runner_host read_runner(const nlohmann::json& item) {
  runner_host r;
  r.runner = runner_id(item.at("runner").get<std::string>());
  r.pool = pool_id(item.at("pool").get<std::string>());
  r.domain = domain_id(item.at("domain").get<std::string>());
  r.address = item.at("address");
  r.slots = item.at("slots");
  r.connections = item.at("connections");
  r.leaving = item.value("leaving", false);
  return r;
}

host_snapshot read_snapshot(const nlohmann::json& body) {
  host_snapshot out;
  for (const auto& item : body.at("workers")) {
    out.workers.push_back(read_worker(item));
  }
  for (const auto& item : body.at("runners")) {
    out.runners.push_back(read_runner(item));
  }
  return out;
}

}  // namespace

void hosts_http::fetch(reply<host_snapshot> done) {
  client_request request;
  request.url = this->url + "/hosts";
  request.timeout = fetch_timeout;
  {
    const std::lock_guard guard(this->cache->lock);
    if (!this->cache->etag.empty()) {
      request.headers.push_back({"If-None-Match", this->cache->etag});
    }
  }
  this->clients.send(std::move(request), nullptr,
                     [done, cache = this->cache](const result<client_answer>& answer) {
                       if (answer.has_value() && answer.value().status == not_modified) {
                         host_snapshot same;
                         {
                           const std::lock_guard guard(cache->lock);
                           same = cache->value;
                         }
                         done(std::move(same));
                         return;
                       }
                       auto read = read_json<host_snapshot>(answer, read_snapshot);
                       if (read.has_value()) {
                         const std::lock_guard guard(cache->lock);
                         cache->etag = answer.value().header("ETag");
                         cache->value = read.value();
                       }
                       done(std::move(read));
                     });
}

}  // namespace monsoonmux
