#pragma once

#include <mutex>
#include <string>
#include <vector>

#include "http/http_message.h"
#include "standin/standin_faults.h"

namespace monsoonmux {

// Simulates the platform's log in memory. Reads return only the newest `retention`
// entries.
class standin_log {
 public:
  standin_log(const standin_faults& faults, std::size_t retention)
      : faults(faults), retention(retention) {}

  http_response handle(const http_request& request);
  std::size_t appends() const;

 private:
  http_response append(const std::string& bytes);
  http_response read(std::int64_t from) const;

  const standin_faults& faults;
  const std::size_t retention;
  mutable std::mutex lock;
  std::vector<std::string> entries;
};

}  // namespace monsoonmux
