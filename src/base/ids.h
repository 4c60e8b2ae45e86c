#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace monsoonmux {

// An identifier. The tag gives each kind of identifier a type of its own, so that the
// compiler rejects a mix-up.
template <class Tag>
struct id {
  std::string text;

  id() = default;
  explicit id(std::string name) : text(std::move(name)) {}

  auto operator<=>(const id&) const = default;
  bool empty() const { return this->text.empty(); }

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->text);
  }
};

using team_id = id<struct team_tag>;
using key_id = id<struct key_tag>;
using queue_id = id<struct queue_tag>;
using pool_id = id<struct pool_tag>;
using job_id = id<struct job_tag>;
using worker_id = id<struct worker_tag>;
using rack_id = id<struct rack_tag>;
using runner_id = id<struct runner_tag>;
using daemon_id = id<struct daemon_tag>;
using domain_id = id<struct domain_tag>;

// One task of a job: the job and the task's index in it.
struct task_id {
  job_id job;
  std::int32_t index = 0;

  auto operator<=>(const task_id&) const = default;
  // "job/index": the form in which the platform's workers receive the id.
  std::string text() const { return this->job.text + "/" + std::to_string(this->index); }

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->job, this->index);
  }
};

// Inverse of task_id::text(). The index is -1 if `text` has no valid one.
task_id parse_task_id(const std::string& text);

}  // namespace monsoonmux

template <class Tag>
struct std::hash<monsoonmux::id<Tag>> {
  std::size_t operator()(const monsoonmux::id<Tag>& value) const {
    return std::hash<std::string>{}(value.text);
  }
};

template <>
struct std::hash<monsoonmux::task_id> {
  std::size_t operator()(const monsoonmux::task_id& value) const {
    constexpr std::size_t mix = 0x9e3779b97f4a7c15ULL;
    return std::hash<std::string>{}(value.job.text) ^ (mix * (value.index + 1));
  }
};
