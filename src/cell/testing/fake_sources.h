#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cell/cell_sources.h"
#include "cell/testing/fake_runners.h"

namespace monsoonmux::cell {

// Decodes the test's configuration and runner entries. The records in the log are only
// placeholders; the values come from the fake cell itself.
class fake_sources final : public cell_sources {
 public:
  fake_sources(const cell_config& config, std::vector<std::unique_ptr<fake_runner>>& runners)
      : config(config), runners(runners) {}
  static constexpr const char* unreadable = "unreadable";  // The value of such an entry.
  static constexpr const char* unborn = "unborn";          // Of an entry that names no incarnation.

  std::string config_topic() const override { return "op"; }
  std::string config_key() const override { return "config"; }
  std::string runner_topic() const override { return "runners"; }
  result<cell_config> read_config(const std::string& value) const override {
    if (this->pinned) {
      return *this->pinned;
    }
    const auto published = this->by_value.find(value);
    return published != this->by_value.end() ? published->second : this->config;
  }
  result<runner_entry> read_runner(const std::string& id, const std::string& value) const override {
    if (value == unreadable) {
      return not_run(error_code::bad_request, value);
    }
    for (const auto& runner : this->runners) {
      if (runner->entry.id == id) {
        runner_entry entry = runner->entry;
        entry.clock_ms = runner->clock();
        entry.incarnation = value == unborn ? 0 : entry.incarnation;
        return entry;
      }
    }
    return this->read_former(id);
  }

  // The configuration that the daemon reads in place of newer ones, which are late for it.
  std::optional<cell_config> pinned;
  // The configurations of records with these values; of others it is the present one.
  std::map<std::string, cell_config> by_value;

 private:
  // The entry of a runner that is back under another id.
  result<runner_entry> read_former(const std::string& id) const {
    for (const auto& runner : this->runners) {
      for (const runner_entry& entry : runner->former) {
        if (entry.id == id) {
          return entry;
        }
      }
    }
    return not_run(error_code::not_found, id);
  }

  const cell_config& config;
  std::vector<std::unique_ptr<fake_runner>>& runners;
};

}  // namespace monsoonmux::cell
