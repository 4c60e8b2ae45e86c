#pragma once

#include <asio/thread_pool.hpp>
#include <map>
#include <memory>
#include <mutex>

#include "call/call_dispatcher.h"
#include "config/settings.h"
#include "control/domain_placer.h"
#include "daemon/daemon_metrics.h"
#include "daemon/event_recorder.h"
#include "daemon/peer_log.h"
#include "daemon/shared_host_list.h"
#include "journal/log_writer.h"
#include "member/membership.h"
#include "platform_http/hosts_http.h"
#include "platform_http/log_http.h"
#include "platform_http/runner_http.h"
#include "platform_http/worker_http.h"

namespace monsoonmux {

// The components of one daemon that its control loop and its HTTP front end share,
// constructed and connected to each other. Each component is safe to use from any
// thread.
struct node_core {
  explicit node_core(const settings& options);
  ~node_core();
  node_core(const node_core&) = delete;
  node_core& operator=(const node_core&) = delete;

  // The call dispatcher of a pool, created at the first request for it.
  std::shared_ptr<call_dispatcher> dispatcher(const pool_id& pool);
  std::vector<std::shared_ptr<call_dispatcher>> dispatchers() const;
  // The placer of a domain, created at the first request for it, which is when the
  // configuration first names the domain.
  std::shared_ptr<domain_placer> placer(const domain_id& domain);
  std::vector<std::shared_ptr<domain_placer>> placers() const;

  const settings config;
  const system_clock time;
  const std::int64_t incarnation;
  logical_clock logical;
  event_recorder events;
  daemon_metrics metrics;
  shared_host_list hosts;
  // Separate pools, so that slow workers never delay requests to the log.
  client_pool log_clients;
  client_pool worker_clients;
  log_http log;
  hosts_http host_list;
  worker_http workers;
  runner_http runners;
  replica state;
  membership members;
  log_writer writer;
  peer_log peer_source;
  log_follower follower;
  leased_slots slots;

 private:
  mutable std::mutex lock;
  std::map<domain_id, std::shared_ptr<domain_placer>> placer_map;
  std::map<pool_id, std::shared_ptr<call_dispatcher>> dispatcher_map;
  asio::thread_pool call_threads;
};

}  // namespace monsoonmux
