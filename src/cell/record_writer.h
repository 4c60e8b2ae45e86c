#pragma once

#include <functional>
#include <optional>
#include <string>

#include "base/clock.h"
#include "base/failure.h"
#include "base/ids.h"
#include "model/cell_record.h"

namespace monsoonmux::cell {

// The outcome of writing a record.
enum class write_status {
  stored,
  not_stored,  // The record will never be stored.
  unknown,
};

// The host, path and key that a caller used, so that another daemon can authorize the
// request again.
struct caller_credentials {
  std::string host;
  std::string path;
  std::string key;
  config_version version;  // The configuration under which the caller was authorized.
};

struct write_request {
  keyed_record record;
  instant deadline;
  caller_credentials from;
};

struct write_outcome {
  write_status status = write_status::unknown;
  std::optional<failure> refusal;  // The reason, if another daemon refused the record.
};

// Writes callers' records to the log. The key of a record makes its append idempotent.
class record_writer {
 public:
  using on_outcome = std::function<void(const write_outcome&)>;

  virtual ~record_writer() = default;
  virtual void write(write_request request, on_outcome done) = 0;
  // True if records can be written through another daemon, even while the log does not
  // answer this one.
  virtual bool can_forward() const = 0;
};

}  // namespace monsoonmux::cell
