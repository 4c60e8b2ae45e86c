#pragma once

#include <map>
#include <mutex>
#include <string>

#include "base/clock.h"
#include "http/client_pool.h"
#include "platform/host_list.h"
#include "platform/worker_port.h"

namespace monsoonmux {

// Sends commands to workers over HTTP; docs/PLATFORM.md specifies the format. The
// addresses come from the platform's list of hosts. A command with a `send_by` is
// not sent at or after that time: the clock is read just before sending.
class worker_http final : public worker_port {
 public:
  worker_http(client_pool& clients, const clock& time) : clients(clients), time(time) {}

  void set_hosts(const std::vector<worker_host>& hosts);

  void acquire(const worker_id& worker, placement_lease_request request,
               reply<placement_lease_answer> done) override;
  void sync(const worker_id& worker, sync_request request, reply<worker_report> done) override;
  void start(const worker_id& worker, start_request request, reply<void> done) override;
  void stop(const worker_id& worker, stop_request request, reply<void> done) override;

 private:
  // "http://ADDRESS/VERB", or empty if the worker is unknown.
  std::string url(const worker_id& worker, const std::string& verb) const;
  void post(const worker_id& worker, const std::string& verb, const std::string& body,
            instant send_by, reply<client_answer> done);

  client_pool& clients;
  const clock& time;
  mutable std::mutex lock;
  std::map<worker_id, std::string> addresses;
};

}  // namespace monsoonmux
