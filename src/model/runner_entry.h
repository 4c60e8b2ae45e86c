#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/resources.h"

namespace monsoonmux::cell {

// The entry that a runner writes about itself in the discovery list.
struct runner_entry {
  std::string id;
  pool_id pool;
  std::string address;  // "ip:port"
  domain_id domain;
  bool draining = false;
  resources capacity;
  std::vector<std::string> labels;  // First the runner's kind, last its rack.
  std::string rack;
  // Unix time in ms at which the runner process started; distinguishes its incarnations.
  std::int64_t incarnation = 0;
  std::int64_t clock_ms = 0;  // The runner's clock when it wrote the entry.
};

}  // namespace monsoonmux::cell
