#pragma once

#include <deque>
#include <mutex>

#include "platform/log_service.h"

namespace monsoonmux {

// The newest entries of the log, kept to be served to other daemons that cannot
// reach the platform. Bounded in bytes; the oldest entries go first.
class entry_cache {
 public:
  explicit entry_cache(std::size_t max_bytes) : max_bytes(max_bytes) {}

  void add(const log_entry& entry);
  // Entries from the offset on, at most about `max_page_bytes`. Nothing if the
  // cache does not reach back that far.
  bool read(log_offset from, std::size_t max_page_bytes, log_page& out) const;
  // Forgets everything, because the log's offsets were used anew.
  void clear();

 private:
  const std::size_t max_bytes;
  mutable std::mutex lock;
  std::deque<log_entry> entries;
  std::size_t cached_bytes = 0;
};

}  // namespace monsoonmux
