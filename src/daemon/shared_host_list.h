#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <vector>

#include "platform/host_list.h"

namespace monsoonmux {

// The newest list of hosts from the platform. Thread-safe.
class shared_host_list {
 public:
  void set(host_snapshot value) {
    auto next = std::make_shared<const host_snapshot>(std::move(value));
    const std::lock_guard guard(this->lock);
    this->current = std::move(next);
  }
  std::shared_ptr<const host_snapshot> hosts() const {
    const std::lock_guard guard(this->lock);
    return this->current;
  }

 private:
  mutable std::mutex lock;
  std::shared_ptr<const host_snapshot> current = std::make_shared<const host_snapshot>();
};

}  // namespace monsoonmux
