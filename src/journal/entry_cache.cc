#include "journal/entry_cache.h"

namespace monsoonmux {

void entry_cache::add(const log_entry& entry) {
  const std::lock_guard guard(this->lock);
  if (!this->entries.empty() && this->entries.back().offset.value + 1 != entry.offset.value) {
    this->entries.clear();
    this->cached_bytes = 0;
  }
  this->entries.push_back(entry);
  this->cached_bytes += entry.bytes.size();
  while (this->cached_bytes > this->max_bytes && this->entries.size() > 1) {
    this->cached_bytes -= this->entries.front().bytes.size();
    this->entries.pop_front();
  }
}

bool entry_cache::read(log_offset from, std::size_t max_page_bytes, log_page& out) const {
  const std::lock_guard guard(this->lock);
  if (this->entries.empty() || from < this->entries.front().offset) {
    return false;
  }
  out.first_kept = this->entries.front().offset;
  out.end = {this->entries.back().offset.value + 1};
  std::size_t bytes = 0;
  const auto skip = from.value - this->entries.front().offset.value;
  for (auto i = static_cast<std::size_t>(skip); i < this->entries.size() && bytes < max_page_bytes;
       ++i) {
    out.entries.push_back(this->entries[i]);
    bytes += this->entries[i].bytes.size();
  }
  return true;
}

void entry_cache::clear() {
  const std::lock_guard guard(this->lock);
  this->entries.clear();
  this->cached_bytes = 0;
}

}  // namespace monsoonmux
