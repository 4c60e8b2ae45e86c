#pragma once

#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "cell/shared_log.h"
#include "cell/topics.h"

namespace monsoonmux::cell {

// A log that answers nothing by itself: the test decides what is stored and which answers
// arrive.
class recorded_log final : public shared_log {
 public:
  struct append_call {
    append_request request;
    std::function<void(append_answer)> on_answer;
  };

  void append(append_request request, std::function<void(append_answer)> on_answer) override {
    this->appends.push_back({std::move(request), std::move(on_answer)});
  }
  void read(const std::string&, std::int64_t, millis, reply<read_answer> on_answer) override {
    this->read_call = std::move(on_answer);
  }
  void newest(const std::string&, const std::string&, reply<newest_answer> on_answer) override {
    on_answer(this->newest_records());
  }

  std::int64_t end() const { return static_cast<std::int64_t>(this->records.size()); }
  // Stores a record without any call.
  void put(const leader_claim& claim) { this->add({leader_key, encode(claim)}); }
  void put(const lease_bounds& bounds) { this->add({lease_bounds_key, encode(bounds)}); }
  // Executes the append on the log. Its answer does not arrive.
  append_answer execute(const append_request& request) {
    append_answer out{append_status::done, this->end(), 0, 0};
    if (request.expected_end && *request.expected_end != this->end()) {
      out.status = append_status::end_mismatch;
      return out;
    }
    for (const keyed_record& record : request.records) {
      this->add(record);
    }
    out.end = this->end();
    return out;
  }
  // Answers the oldest append that has no answer yet, which must exist.
  void answer(const append_answer& answer) {
    const append_call call = std::move(this->appends.front());
    this->appends.pop_front();
    call.on_answer(answer);
  }
  // Answers the pending read with all records that were not delivered yet.
  void deliver() {
    read_answer out;
    out.next = this->end();
    out.end = this->end();
    for (std::int64_t i = this->delivered; i < this->end(); ++i) {
      out.records.push_back(this->records[static_cast<std::size_t>(i)]);
    }
    this->delivered = this->end();
    std::exchange(this->read_call, {})(out);
  }

  std::deque<append_call> appends;  // Without an answer yet.

 private:
  void add(const keyed_record& record) { this->records.push_back({this->end(), record}); }
  newest_answer newest_records() {
    newest_answer out;
    if (!this->records.empty()) {
      out.records.push_back(this->records.back());
    }
    out.end = this->end();
    this->delivered = this->end();
    return out;
  }

  std::vector<logged_record> records;
  std::int64_t delivered = 0;
  reply<read_answer> read_call;
};

}  // namespace monsoonmux::cell
