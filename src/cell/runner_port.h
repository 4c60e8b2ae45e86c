#pragma once

#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "base/failure.h"
#include "base/quantity.h"
#include "decide/live_job.h"

namespace monsoonmux::cell {

// The runner that a command is for, and the fencing token that it carries.
struct command_target {
  std::string address;
  std::string instance;  // Any other instance at the address refuses the command.
  fencing_token token;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->address, this->instance, this->token);
  }
};

struct start_command {
  command_target target;
  std::string task;
  std::int32_t run = 0;
  std::string payload;
  std::int64_t lease_until_ms = 0;  // End of the lease, on the runner's clock.
  std::string checkpoint;
  std::string ticket;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->target, this->task, this->run, this->payload, this->lease_until_ms,
            this->checkpoint, this->ticket);
  }
};

enum class command_status {
  done,
  fenced,         // The runner has seen a higher fencing token; not executed.
  stale_run,      // This run or a later one of the task has ended or was stopped.
  lease_expired,  // The end of the lease had passed.
  no_capacity,
  no_ticket,
  refused,  // Not executed, for another reason.
  other_instance,
  not_sent,  // Not executed, for lack of a connection.
  unknown,   // No answer: executed, not executed, or still to be executed.
};
std::string_view to_string(command_status status);

struct command_answer {
  command_status status = command_status::unknown;
  std::optional<std::int64_t> clock_ms;  // The runner's clock.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->status, this->clock_ms);
  }
};

struct stop_command {
  command_target target;
  std::string task;
  std::int32_t run = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->target, this->task, this->run);
  }
};

// Extends the lease of all runs on the runner, acknowledges ends, and asks for a report.
struct poll_request {
  command_target target;
  std::optional<std::int64_t> lease_until_ms;
  std::int64_t acked_up_to = 0;  // The runner may forget ends up to this number.
  millis wait{0};                // How long the answer may wait for a run to end.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->target, this->lease_until_ms, this->acked_up_to, this->wait);
  }
};

struct running_run {
  std::string task;
  std::int32_t run = 0;
  std::string checkpoint;
  std::int32_t percent = 100;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->task, this->run, this->checkpoint, this->percent);
  }
};

struct finished_run {
  std::int64_t number = 0;
  std::string task;
  std::int32_t run = 0;
  run_outcome how = run_outcome::lost;
  std::string checkpoint;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->number, this->task, this->run, this->how, this->checkpoint);
  }
};

struct poll_report {
  std::int64_t incarnation = 0;
  std::int64_t clock_ms = 0;
  std::vector<running_run> running;
  std::vector<finished_run> finished;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->incarnation, this->clock_ms, this->running, this->finished);
  }
};

struct poll_answer {
  command_status status = command_status::unknown;
  poll_report report;  // Only with status done.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->status, this->report);
  }
};

// Sends commands to runners.
class runner_port {
 public:
  virtual ~runner_port() = default;
  virtual void start(const start_command& command,
                     std::function<void(command_answer)> on_answer) = 0;
  virtual void stop(const stop_command& command, std::function<void(command_answer)> on_answer) = 0;
  virtual void poll(const poll_request& request, std::function<void(poll_answer)> on_answer) = 0;
};

}  // namespace monsoonmux::cell
