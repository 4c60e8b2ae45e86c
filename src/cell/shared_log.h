#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/failure.h"
#include "base/quantity.h"
#include "model/cell_record.h"

namespace monsoonmux::cell {

// Identifies an append as one of a sequence by the leader of an epoch. The log refuses
// appends of lower epochs, and answers a repeated sequence number with the first answer.
struct producer_stamp {
  std::string name;
  epoch at;
  std::int64_t sequence = 0;
};

struct append_request {
  std::string topic;
  std::vector<keyed_record> records;         // Appended atomically. If empty, only sets the epoch.
  std::optional<std::int64_t> expected_end;  // Append only if this is the end of the topic.
  std::optional<producer_stamp> producer;
};

enum class append_status {
  done,
  end_mismatch,     // The topic did not end at `expected_end`; nothing was appended.
  fenced,           // The log has seen a higher epoch; nothing was appended.
  out_of_sequence,  // Another sequence number was expected; nothing was appended.
  refused,          // Nothing was appended; the append may be retried later.
  unknown,          // No answer: the append took effect, did not, or still may.
};

struct append_answer {
  append_status status = append_status::unknown;
  std::int64_t end = 0;                // End of the topic; set with done and end_mismatch.
  std::int64_t expected_sequence = 0;  // Set with out_of_sequence.
  std::int64_t first = 0;              // Offset of the first record; set with done.
};

struct logged_record {
  std::int64_t offset = 0;
  keyed_record record;  // An empty value means that the key was deleted.
};

struct read_answer {
  std::vector<logged_record> records;
  std::int64_t next = 0;         // Offset to continue at.
  std::int64_t end = 0;          // End of the topic at the time of the read.
  bool history_dropped = false;  // The requested offset is no longer kept; call newest() again.
};

struct newest_answer {
  std::vector<logged_record> records;
  std::int64_t end = 0;
  bool has_more = false;  // Continue with newest() after the last key.
};

// The platform's log of keyed records. The newest record of each key in a topic is never
// dropped. Each topic has one partition.
class shared_log {
 public:
  virtual ~shared_log() = default;
  virtual void append(append_request request, std::function<void(append_answer)> on_answer) = 0;
  // Answers as soon as there is a record at or after the offset `from`, or after `wait`.
  virtual void read(const std::string& topic, std::int64_t from, millis wait,
                    reply<read_answer> on_answer) = 0;
  // Answers with a page of the newest records of the keys after `after_key`.
  virtual void newest(const std::string& topic, const std::string& after_key,
                      reply<newest_answer> on_answer) = 0;
};

}  // namespace monsoonmux::cell
