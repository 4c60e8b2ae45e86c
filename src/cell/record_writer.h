#pragma once

#include <functional>
#include <optional>
#include <string>

#include "base/clock.h"
#include "base/failure.h"
#include "base/ids.h"
#include "model/cell_record.h"

namespace monsoonmux::cell {

// What became of a record.
enum class write_status {
  stored,
  not_stored,  // And never will be.
  unknown,
};

// How a caller addressed its queue, for a daemon that has to judge it again.
struct caller_credentials {
  std::string host;
  std::string path;
  std::string key;
  config_version version;  // Of the configuration under which it was let in.
};

struct write_request {
  keyed_record record;
  instant deadline;
  caller_credentials from;
};

struct write_outcome {
  write_status status = write_status::unknown;
  std::optional<failure> refusal;  // Why it was not stored, if another daemon says so.
};

// Gets callers' records into the log. A record's key makes a second append of it
// harmless.
class record_writer {
 public:
  using on_outcome = std::function<void(const write_outcome&)>;

  virtual ~record_writer() = default;
  virtual void write(write_request request, on_outcome done) = 0;
  // True if records get into the log though it does not answer here.
  virtual bool can_forward() const = 0;
};

}  // namespace monsoonmux::cell
