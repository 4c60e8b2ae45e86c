// An encoded record is one byte with the format version, followed by a binary archive of
// cereal. The version byte lets later builds tell formats apart. Archives are in the
// host's byte order, so all hosts of a cell must have the same one.

#include "model/cell_record.h"

#include <algorithm>
#include <cereal/archives/binary.hpp>
#include <sstream>

#include "model/progress_codec.h"

namespace monsoonmux::cell {
namespace {

constexpr char format_version = 2;

template <class Record>
std::string encode_record(const Record& value) {
  std::ostringstream out;
  out.put(format_version);
  cereal::BinaryOutputArchive archive(out);
  archive(value);
  return out.str();
}

// Fields that a record has behind its usual ones.
template <class... Field>
std::string archived(const Field&... fields) {
  std::ostringstream out;
  cereal::BinaryOutputArchive archive(out);
  archive(fields...);
  return out.str();
}

// `read_rest` reads what follows the record's usual fields, if anything does. It is given a
// function that tells whether anything is left.
template <class Record, class ReadRest>
std::optional<Record> decode_record(const std::string& bytes, ReadRest read_rest) {
  if (bytes.empty() || bytes.front() != format_version) {
    return std::nullopt;
  }
  try {
    std::istringstream in(bytes.substr(1));
    cereal::BinaryInputArchive archive(in);
    Record value;
    archive(value);
    const auto is_more = [&in] { return in.peek() != std::istringstream::traits_type::eof(); };
    if (is_more()) {
      read_rest(archive, value, is_more);
    }
    return value;
  } catch (const std::exception&) {
    // The caller logs the record's key; cereal's message about bytes that are not a record
    // would add nothing.
    return std::nullopt;
  }
}

template <class Record>
std::optional<Record> decode_record(const std::string& bytes) {
  return decode_record<Record>(bytes, [](auto&, Record&, const auto&) {});
}

}  // namespace

std::string occurrence_progress::packed_tasks() const {
  return pack(this->tasks);
}

void occurrence_progress::unpack_tasks(const std::string& packed) {
  this->tasks = unpack(packed);
}

std::string_view to_string(job_phase phase) {
  switch (phase) {
    case job_phase::queued:
      return "queued";
    case job_phase::running:
      return "running";
    case job_phase::completed:
      return "completed";
    case job_phase::failed:
      return "failed";
    case job_phase::cancelled:
      return "cancelled";
  }
  return "unknown";
}

std::string key_of(record_kind kind, const job_id& job) {
  return static_cast<char>(kind) + job.text;
}

std::string key_of_contact(const std::string& runner) {
  return static_cast<char>(record_kind::contact) + runner;
}

std::optional<parsed_key> parse_key(std::string_view key) {
  if (key.size() < 2) {
    return std::nullopt;
  }
  const auto kind = static_cast<record_kind>(key.front());
  if (kind != record_kind::submission && kind != record_kind::cancellation &&
      kind != record_kind::progress && kind != record_kind::run_times &&
      kind != record_kind::contact) {
    return std::nullopt;
  }
  return parsed_key{kind, job_id(std::string(key.substr(1)))};
}

std::string encode(const job_submission& value) {
  const std::string bytes = encode_record(value);
  return value.max_attempts == 0 ? bytes
                                 : bytes + archived(value.max_attempts, value.accepted_under);
}
std::string encode(const job_progress& value) {
  const std::string bytes = encode_record(value);
  if (!value.lasted.empty()) {
    return bytes + archived(value.max_attempts, value.gang_crashes, value.lasted);
  }
  const bool usual = value.max_attempts == 0 && value.gang_crashes.empty();
  return usual ? bytes : bytes + archived(value.max_attempts, value.gang_crashes);
}
std::string encode(const run_time_stats& value) {
  return encode_record(value);
}
std::string encode(const leader_claim& value) {
  return encode_record(value);
}
std::string encode(const lease_bounds& value) {
  std::vector<std::optional<millis>> late;
  for (const runner_lease_bound& bound : value.runners) {
    late.push_back(bound.remaining_if_late);
  }
  const std::string bytes = encode_record(value);
  const bool any_late =
      value.longest_if_late ||
      std::any_of(late.begin(), late.end(), [](auto& each) { return each.has_value(); });
  return any_late ? bytes + archived(value.longest_if_late, late) : bytes;
}
std::string encode(const runner_contact& value) {
  return encode_record(value);
}

std::optional<job_submission> decode_submission(const std::string& bytes) {
  return decode_record<job_submission>(bytes,
                                       [](auto& archive, job_submission& value, const auto&) {
                                         archive(value.max_attempts, value.accepted_under);
                                       });
}
std::optional<job_progress> decode_progress(const std::string& bytes) {
  return decode_record<job_progress>(bytes,
                                     [](auto& archive, job_progress& value, const auto& is_more) {
                                       archive(value.max_attempts, value.gang_crashes);
                                       if (is_more()) {
                                         archive(value.lasted);
                                       }
                                     });
}
std::optional<run_time_stats> decode_run_time_stats(const std::string& bytes) {
  return decode_record<run_time_stats>(bytes);
}
std::optional<leader_claim> decode_claim(const std::string& bytes) {
  return decode_record<leader_claim>(bytes);
}
std::optional<lease_bounds> decode_lease_bounds(const std::string& bytes) {
  return decode_record<lease_bounds>(bytes, [](auto& archive, lease_bounds& value, const auto&) {
    std::vector<std::optional<millis>> late;
    archive(value.longest_if_late, late);
    for (std::size_t i = 0; i < late.size() && i < value.runners.size(); ++i) {
      value.runners[i].remaining_if_late = late[i];
    }
  });
}
std::optional<runner_contact> decode_runner_contact(const std::string& bytes) {
  return decode_record<runner_contact>(bytes);
}

}  // namespace monsoonmux::cell
