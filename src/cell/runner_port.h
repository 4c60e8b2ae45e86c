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

// Where an order goes, and under which token.
struct command_target {
  std::string address;
  std::string instance;  // Any other incarnation at the address refuses.
  epoch token;

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
  std::int64_t lease_until_ms = 0;  // Lease end, on the runner's clock.
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
  fenced,         // The runner has seen a higher token.
  stale_run,      // That run, or a later one, has ended or was stopped there.
  lease_expired,  // The lease end has passed.
  no_capacity,
  no_ticket,
  refused,  // Nothing was done, for another reason.
  other_instance,
  not_sent,  // No connection; nothing was done.
  unknown,   // No answer: done, not done, or done later.
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

// Extends the lease of all that runs there, notes ends as seen, and looks.
struct poll_request {
  command_target target;
  std::optional<std::int64_t> lease_until_ms;
  std::int64_t acked_up_to = 0;  // Ends up to this number may be forgotten.
  millis wait{0};                // For an end to happen.

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
  poll_report report;  // With done.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->status, this->report);
  }
};

// Orders to runners.
class runner_port {
 public:
  virtual ~runner_port() = default;
  virtual void start(const start_command& command,
                     std::function<void(command_answer)> on_answer) = 0;
  virtual void stop(const stop_command& command, std::function<void(command_answer)> on_answer) = 0;
  virtual void poll(const poll_request& command, std::function<void(poll_answer)> on_answer) = 0;
};

}  // namespace monsoonmux::cell
