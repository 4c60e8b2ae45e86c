#pragma once

#include <deque>
#include <mutex>

#include "platform/log_service.h"

namespace monsoonmux {

// A cache of the newest log entries, served to other daemons that cannot reach the
// platform. Its size is bounded in bytes; the oldest entries are evicted first.
class entry_cache {
 public:
  explicit entry_cache(std::size_t max_bytes) : max_bytes(max_bytes) {}

  // Adds an entry. If its offset does not follow the last one, the cache is emptied
  // first.
  void add(const log_entry& entry);
  // Reads entries from offset `from` on, at most about `max_page_bytes`. Returns
  // false if the cache does not reach back that far.
  bool read(log_offset from, std::size_t max_page_bytes, log_page& out) const;
  // Removes all entries. Needed when the log became shorter and reuses offsets.
  void clear();

 private:
  const std::size_t max_bytes;
  mutable std::mutex lock;
  std::deque<log_entry> entries;
  std::size_t cached_bytes = 0;
};

}  // namespace monsoonmux
