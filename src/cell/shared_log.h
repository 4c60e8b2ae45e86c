#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/failure.h"
#include "base/quantity.h"
#include "model/cell_record.h"

namespace monsoonmux::cell {

// Marks an append as one of a sequence by a holder of an epoch. The log refuses
// lower epochs, and gives a repeated number its first answer again.
struct producer_stamp {
  std::string name;
  epoch at;
  std::int64_t sequence = 0;
};

struct append_request {
  std::string topic;
  std::vector<keyed_record> records;         // All or nothing. Empty: only sets the epoch.
  std::optional<std::int64_t> expected_end;  // Append only if the topic ends there.
  std::optional<producer_stamp> producer;
};

enum class append_status {
  done,
  end_mismatch,     // The topic did not end at `expected_end`; nothing was done.
  fenced,           // A higher epoch was seen; nothing was done.
  out_of_sequence,  // Another number was expected; nothing was done.
  refused,          // Nothing was done; may be repeated later.
  unknown,          // No answer: done, not done, or done later.
};

struct append_answer {
  append_status status = append_status::unknown;
  std::int64_t end = 0;                // Where the topic ends; with done and end_mismatch.
  std::int64_t expected_sequence = 0;  // With out_of_sequence.
  std::int64_t first = 0;              // Offset of the first record; with done.
};

struct logged_record {
  std::int64_t offset = 0;
  keyed_record record;  // An empty value: the key was dropped.
};

struct read_answer {
  std::vector<logged_record> records;
  std::int64_t next = 0;         // Where to read on.
  std::int64_t end = 0;          // Of the topic when it was read.
  bool history_dropped = false;  // The offset asked for is gone; read newest() again.
};

struct newest_answer {
  std::vector<logged_record> records;
  std::int64_t end = 0;
  bool has_more = false;  // Continue after the last key.
};

// The platform's log of keyed records: per topic, the newest record of each key is
// kept for ever. One partition per topic.
class shared_log {
 public:
  virtual ~shared_log() = default;
  virtual void append(append_request request, std::function<void(append_answer)> on_answer) = 0;
  // Answers as soon as there is a record at or after `from`, or after `wait`.
  virtual void read(const std::string& topic, std::int64_t from, millis wait,
                    reply<read_answer> on_answer) = 0;
  virtual void newest(const std::string& topic, const std::string& after_key,
                      reply<newest_answer> on_answer) = 0;
};

}  // namespace monsoonmux::cell
