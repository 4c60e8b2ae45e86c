#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/resources.h"

namespace monsoonmux::cell {

// What a runner says of itself in the discovery list.
struct runner_entry {
  std::string id;
  pool_id pool;
  std::string address;  // "ip:port"
  domain_id domain;
  bool draining = false;
  resources capacity;
  std::vector<std::string> labels;  // Its kind and its rack.
  std::string rack;
  std::int64_t incarnation = 0;  // Unix time in ms of its start; tells incarnations apart.
  std::int64_t clock_ms = 0;     // Its own clock when it wrote the entry.
};

}  // namespace monsoonmux::cell
