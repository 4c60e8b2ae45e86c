#pragma once

#include <compare>
#include <cstddef>
#include <optional>
#include <string>
#include <unordered_map>

namespace monsoonmux::cell {

// A short name of a runner within this process, to index and compare by. The ids of runners are
// strings, and a planning round compares hundreds of thousands.
struct runner_number {
  std::size_t value = 0;

  constexpr auto operator<=>(const runner_number&) const = default;
};

// Numbers runners from 0 on, in the order in which their ids are first named. A number is never
// used for another runner.
class runner_numbers {
 public:
  runner_number of(const std::string& id) {
    return this->by_id.try_emplace(id, runner_number{this->by_id.size()}).first->second;
  }
  // Empty if the runner has no number.
  std::optional<runner_number> find(const std::string& id) const {
    const auto it = this->by_id.find(id);
    return it == this->by_id.end() ? std::nullopt : std::optional(it->second);
  }
  std::size_t size() const { return this->by_id.size(); }

 private:
  std::unordered_map<std::string, runner_number> by_id;
};

}  // namespace monsoonmux::cell
