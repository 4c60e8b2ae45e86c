#include "daemon/node_core.h"

#include <asio/post.hpp>

namespace monsoonmux {
namespace {

constexpr int log_threads = 3;
constexpr int worker_threads = 8;
// A daemon is taken for dead after this many heartbeat intervals without a
// heartbeat. Daemons of other domains send every tenth heartbeat only, so their limit
// is higher.
constexpr std::int64_t max_missed_heartbeats = 5;
constexpr std::int64_t remote_max_missed_heartbeats = 25;
constexpr std::size_t max_waiting_requests = 10'000;

placer_options placer_options_of(const settings& config) {
  placer_options out;
  out.domain_lease.ttl = config.elector_lease;
  out.links.task_lease = config.task_lease;
  return out;
}

}  // namespace

node_core::node_core(const settings& options)
    : config(options),
      incarnation(this->time.wall_ms()),
      events(this->config.daemon, this->incarnation, this->time, this->logical),
      log_clients(log_threads, max_waiting_requests),
      worker_clients(worker_threads, max_waiting_requests),
      log(this->log_clients, this->config.log.url()),
      host_list(this->log_clients, this->config.hosts.url()),
      workers(this->worker_clients, this->time),
      members(membership_options{
          this->config.domain, this->config.heartbeat * max_missed_heartbeats,
          this->config.heartbeat * remote_max_missed_heartbeats, millis{600'000}}),
      writer(this->config.daemon, this->incarnation, this->log, this->state, this->time, {}),
      peer_source(this->members, this->time, this->config.daemon),
      follower(this->log, this->peer_source, this->state, this->time, this->events, {}),
      slots(this->time, this->incarnation),
      call_threads(static_cast<std::size_t>(this->config.call_threads)) {}

// Stops the threads that use the other members before those are destroyed.
node_core::~node_core() {
  this->log_clients.stop();
  this->worker_clients.stop();
  this->call_threads.stop();
  this->call_threads.join();
}

std::shared_ptr<call_dispatcher> node_core::dispatcher(const pool_id& pool) {
  const std::lock_guard guard(this->lock);
  auto& dispatcher = this->dispatcher_map[pool];
  if (!dispatcher) {
    dispatcher = std::make_shared<call_dispatcher>(
        pool, this->time, this->slots, this->runners, this->events,
        [this](std::function<void()> action) { asio::post(this->call_threads, std::move(action)); },
        call_dispatcher_options{});
    dispatcher->set_runners(this->hosts.hosts()->runners);
  }
  return dispatcher;
}

std::vector<std::shared_ptr<call_dispatcher>> node_core::dispatchers() const {
  const std::lock_guard guard(this->lock);
  std::vector<std::shared_ptr<call_dispatcher>> out;
  for (const auto& [pool, dispatcher] : this->dispatcher_map) {
    out.push_back(dispatcher);
  }
  return out;
}

std::shared_ptr<domain_placer> node_core::placer(const domain_id& domain) {
  const std::lock_guard guard(this->lock);
  auto& placer = this->placer_map[domain];
  if (!placer) {
    const std::string holder = this->config.daemon.text + "#" + std::to_string(this->incarnation);
    placer = std::make_shared<domain_placer>(domain, this->config.daemon, holder, this->time,
                                             this->state, this->writer, this->workers, this->events,
                                             placer_options_of(this->config));
  }
  return placer;
}

std::vector<std::shared_ptr<domain_placer>> node_core::placers() const {
  const std::lock_guard guard(this->lock);
  std::vector<std::shared_ptr<domain_placer>> out;
  for (const auto& [domain, placer] : this->placer_map) {
    out.push_back(placer);
  }
  return out;
}

}  // namespace monsoonmux
