#pragma once

#include <vector>

#include "base/failure.h"
#include "base/ids.h"
#include "base/resources.h"

namespace monsoonmux {

struct worker_host {
  worker_id worker;
  pool_id pool;
  domain_id domain;
  rack_id rack;
  resources total;
  std::string address;  // "A.B.C.D:PORT"
  bool leaving = false;

  bool operator==(const worker_host&) const = default;
};

struct runner_host {
  runner_id runner;
  pool_id pool;
  domain_id domain;
  std::string address;            // "A.B.C.D:PORT"
  std::int32_t slots = 8;         // Requests that it processes concurrently.
  std::int32_t connections = 64;  // Connections that it accepts at one time.
  bool leaving = false;

  bool operator==(const runner_host&) const = default;
};

struct host_snapshot {
  std::vector<worker_host> workers;
  std::vector<runner_host> runners;
};

// The platform's list of live and leaving hosts. The list lags behind, so it is a
// hint about which hosts to contact, never a proof that a host is dead.
class host_list {
 public:
  virtual ~host_list() = default;
  virtual void fetch(reply<host_snapshot> done) = 0;
};

}  // namespace monsoonmux
