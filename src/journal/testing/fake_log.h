#pragma once

#include <deque>
#include <functional>
#include <vector>

#include "platform/log_service.h"

namespace monsoonmux {

// A log in memory with a switch for each failure mode of the platform's log.
// Replies are queued until deliver(), so that tests choose the order of events.
class fake_log final : public log_service {
 public:
  bool down = false;            // Appends and reads fail without effect.
  bool lose_answers = false;    // Appends take effect, then fail.
  std::int64_t first_kept = 0;  // Entries before this offset have expired.

  void append(std::string bytes, reply<log_offset> done) override {
    if (this->down) {
      this->replies.emplace_back([done] { done(may_have_run(error_code::unavailable, "down")); });
      return;
    }
    this->entries.push_back(std::move(bytes));
    const log_offset at{static_cast<std::int64_t>(this->entries.size()) - 1};
    const bool lost = this->lose_answers;
    this->replies.emplace_back([done, at, lost] {
      if (lost) {
        done(may_have_run(error_code::connection_lost, "answer lost"));
      } else {
        done(at);
      }
    });
  }

  void read(log_offset from, reply<log_page> done) override {
    if (this->down) {
      this->replies.emplace_back([done] { done(not_run(error_code::unavailable, "down")); });
      return;
    }
    log_page page;
    page.first_kept = {this->first_kept};
    page.end = {static_cast<std::int64_t>(this->entries.size())};
    for (auto i = std::max(from.value, this->first_kept); i < page.end.value; ++i) {
      page.entries.push_back({{i}, this->entries[static_cast<std::size_t>(i)]});
    }
    this->replies.emplace_back([done, page] { done(page); });
  }

  // Makes all queued replies, including those queued meanwhile.
  void deliver() {
    while (!this->replies.empty()) {
      const auto next = this->replies.front();
      this->replies.pop_front();
      next();
    }
  }

  std::vector<std::string> entries;

 private:
  std::deque<std::function<void()>> replies;
};

}  // namespace monsoonmux
