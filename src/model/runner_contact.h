#pragma once

#include <cereal/types/string.hpp>
#include <cstdint>
#include <string>

#include "base/ids.h"

namespace monsoonmux::cell {

// Where a runner was reached when its entry was last read. It says nothing about whether the
// runner is still there. Written by the leader under the runner's id.
struct runner_contact {
  std::string address;  // "ip:port"
  domain_id domain;
  std::int64_t incarnation = 0;
  bool draining = false;  // It was to leave.

  bool operator==(const runner_contact&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->address, this->domain, this->incarnation, this->draining);
  }
};

}  // namespace monsoonmux::cell
