#include "control/testing/scenario.h"

#include <yaml-cpp/yaml.h>

#include "control/testing/fake_cell.h"
#include "history/checker.h"

namespace monsoonmux {
namespace {

struct script_error {
  std::string detail;
};

[[noreturn]] void throw_script_error(const YAML::Node& at, const std::string& reason) {
  throw script_error{"line " + std::to_string(at.Mark().line + 1) + ": " + reason};
}

template <class T>
T value(const YAML::Node& node, const std::string& key, T fallback) {
  return node[key] ? node[key].as<T>() : fallback;
}

fake_cell::layout layout_of(const YAML::Node& node) {
  fake_cell::layout out;
  if (!node) {
    return out;
  }
  out.domains = value(node, "domains", out.domains);
  out.daemons_per_domain = value(node, "daemons", out.daemons_per_domain);
  out.workers_per_domain = value(node, "workers", out.workers_per_domain);
  out.teams = value(node, "teams", out.teams);
  if (node["limit_cpu"]) {
    out.team_limit.cpu.value = node["limit_cpu"].as<std::int64_t>();
  }
  return out;
}

// One run of a script. Each step is a map whose first key names the action.
class script {
 public:
  script(const YAML::Node& root, unsigned seed) : root(root), cell(seed, layout_of(root["cell"])) {}

  std::string run() {
    this->sample_config();
    this->cell.run({8'000});
    for (const YAML::Node& step : this->root["steps"]) {
      this->step(step);
    }
    this->settle();
    std::string errors;
    for (const violation& v : check_history(this->cell.recorded, {})) {
      errors += std::string(to_string(v.violated)) + " at " + std::to_string(v.at_ms) + ": " +
                v.detail + "\n";
    }
    for (const YAML::Node& item : this->root["expect"]) {
      errors += this->expect(item);
    }
    return errors;
  }

 private:
  void step(const YAML::Node& node) {
    const std::string key = node.begin()->first.as<std::string>();
    const YAML::Node args = node.begin()->second;
    if (key == "run_ms") {
      this->cell.run({args.as<std::int64_t>()});
    } else if (key == "jobs") {
      this->jobs(args);
    } else if (key == "kill_placer") {
      this->each_placer(args.as<int>(), [&](std::size_t i) {
        this->cell.replace_daemon(i, millis{this->cell.world.pick(6'000)});
      });
    } else if (key == "kill_daemons") {
      for (std::size_t i = 0; i < this->cell.daemon_count(); ++i) {
        if (this->cell.daemon(i).home == this->cell.domain(args.as<int>())) {
          this->cell.replace_daemon(i, millis{this->cell.world.pick(6'000)});
        }
      }
    } else if (key == "pause_placer") {
      const millis span{value<std::int64_t>(args, "ms", 10'000)};
      this->each_placer(value(args, "domain", 0),
                        [&](std::size_t i) { this->cell.daemon(i).pause(span); });
    } else if (key == "resign_placer") {
      const domain_id domain = this->cell.domain(args.as<int>());
      this->each_placer(args.as<int>(),
                        [&](std::size_t i) { this->cell.daemon(i).placers.at(domain)->resign(); });
    } else if (!this->platform_step(key, args) && !this->worker_step(key, args)) {
      throw_script_error(node, key + ": unknown step");
    }
  }

  bool platform_step(const std::string& key, const YAML::Node& args) {
    if (key == "log_down") {
      this->cell.log.down = args.as<bool>();
    } else if (key == "log_loses_answers") {
      this->cell.log.lose_answers_percent = args.as<int>();
    } else if (key == "message_loss") {
      this->cell.world.loss_percent = args.as<int>();
    } else if (key == "cut_domain") {
      this->cell.cut_domain(args.as<int>());
    } else if (key == "heal") {
      this->cell.heal();
    } else if (key == "race_patches") {
      for (int i = 0; i < args.as<int>(); ++i) {
        this->cell.patch(R"({"teams":{"r)" + std::to_string(this->patches++) + R"(":{}}})");
      }
    } else if (key == "set_limit") {
      this->set_limit(args);
    } else {
      return false;
    }
    return true;
  }

  bool worker_step(const std::string& key, const YAML::Node& args) {
    if (key == "worker_restart") {
      this->worker(args).restart();
    } else if (key == "worker_dies") {
      fake_worker& w = this->worker(args);
      w.restart();
      w.up = false;
    } else if (key == "worker_returns") {
      this->worker(args).restart();
    } else if (key == "worker_unreachable") {
      for (std::size_t i = 0; i < this->cell.daemon_count(); ++i) {
        this->cell.world.disconnect(this->cell.daemon(i).name, this->worker(args).host.worker.text);
      }
    } else if (key == "worker_fails_all") {
      this->worker(args).fails_all = true;
    } else if (key == "worker_mended") {
      this->worker(args).fails_all = false;
    } else if (key == "cancel_jobs") {
      for (const std::string& job : this->submitted) {
        if (this->cell.world.chance(args.as<int>())) {
          this->cell.cancel(job_id(job));
        }
      }
    } else {
      return false;
    }
    return true;
  }

  fake_worker& worker(const YAML::Node& index) {
    return this->cell.worker(index.as<std::size_t>() % this->cell.worker_count());
  }

  void jobs(const YAML::Node& args) {
    const int count = value(args, "count", 1);
    for (int i = 0; i < count; ++i) {
      job_spec spec;
      spec.id = job_id("job" + std::to_string(this->submitted.size()));
      spec.team = team_id("t" + std::to_string(value(args, "team", 0)));
      spec.pool = pool_id("p");
      const std::string kind = value<std::string>(args, "kind", "batch");
      spec.kind = kind == "gang" ? work_kind::gang : work_kind::batch;
      spec.priority = value(args, "urgent", false) ? urgency::urgent : urgency::normal;
      spec.tasks = value(args, "tasks", 1);
      spec.per_task = {{value<std::int64_t>(args, "cpu", 1'000)}, {512}, {0}};
      spec.idempotent = !value(args, "once", false);
      const std::string run_ms = value<std::string>(args, "run_ms", "3000");
      spec.command = value<std::string>(args, "command", "run") + ":" + run_ms;
      spec.declared_runtime.value = value<std::int64_t>(args, "declared_ms", std::stoll(run_ms));
      const domain_id domain = this->cell.domain(value(args, "domain", 0));
      this->submitted.push_back(spec.id.text);
      if (spec.priority == urgency::urgent) {
        this->urgent[spec.id.text] = this->cell.world.time.now().value;
      }
      this->cell.submit(spec, {{domain, 0, spec.tasks}});
    }
  }

  void set_limit(const YAML::Node& args) {
    const std::string team = "t" + std::to_string(value(args, "team", 0));
    const auto cpu = value<std::int64_t>(args, "cpu", 0);
    this->cell.patch(R"({"teams":{")" + team + R"(":{"limit":{"cpu":)" + std::to_string(cpu) +
                     "}}}}");
    history_event e;
    e.at_ms = this->cell.world.time.now().value;
    e.kind = history_kind::limit_in_force;
    e.team = team;
    e.amount = {{cpu}, {1'000'000'000}, {1'000'000'000}};
    this->cell.recorded.push_back(e);
  }

  template <class Act>
  void each_placer(int domain, Act act) {
    for (std::size_t i = 0; i < this->cell.daemon_count(); ++i) {
      const auto& d = this->cell.daemon(i);
      const auto phase = d.placers.at(this->cell.domain(domain))->status().phase;
      if (d.alive && phase != placer_phase::idle) {
        act(i);
      }
    }
  }

  // Removes all faults and lets accepted jobs finish.
  void settle() {
    this->cell.log.down = false;
    this->cell.log.lose_answers_percent = 0;
    this->cell.world.loss_percent = 0;
    this->cell.heal();
    this->cell.run({value<std::int64_t>(this->root, "settle_ms", 180'000)});
    this->cell.record_ends();
  }

  // Records the configuration version of each live daemon in the history, once a
  // second.
  void sample_config() {
    for (std::size_t i = 0; i < this->cell.daemon_count(); ++i) {
      const auto& d = this->cell.daemon(i);
      if (!d.alive || this->cell.world.time.now() < d.paused_until) {
        continue;
      }
      history_event e;
      e.at_ms = this->cell.world.time.now().value;
      e.kind = history_kind::config_seen;
      e.subject = d.writer_name();
      e.number = d.state.config()->version.value;
      this->cell.recorded.push_back(e);
    }
    this->cell.world.after(millis{1'000}, [this] { this->sample_config(); });
  }

  std::string expect(const YAML::Node& item) {
    const std::string key = item.begin()->first.as<std::string>();
    const auto expected = item.begin()->second.as<std::int64_t>();
    std::int64_t actual = 0;
    if (key == "starts") {
      actual = this->count(history_kind::task_started);
    } else if (key == "most_starts") {
      actual = this->count(history_kind::task_started);
      return actual <= expected ? "" : key + ": " + std::to_string(actual) + "\n";
    } else if (key == "versions") {
      actual = this->cell.daemon(0).state.config()->version.value;
    } else if (key == "failed_tasks") {
      for (const history_event& e : this->cell.recorded) {
        actual += e.kind == history_kind::task_recorded && e.phase == "failed" ? 1 : 0;
      }
    } else if (key == "urgent_within_ms") {
      actual = this->slowest_urgent();
      return actual <= expected ? "" : key + ": " + std::to_string(actual) + "\n";
    } else {
      throw_script_error(item, key + ": unknown expectation");
    }
    return actual == expected ? ""
                              : key + ": expected " + std::to_string(expected) + ", got " +
                                    std::to_string(actual) + "\n";
  }

  std::int64_t count(history_kind kind) const {
    std::int64_t n = 0;
    for (const history_event& e : this->cell.recorded) {
      n += e.kind == kind ? 1 : 0;
    }
    return n;
  }

  std::int64_t slowest_urgent() const {
    std::map<std::string, std::int64_t> first;
    for (const history_event& e : this->cell.recorded) {
      if (e.kind == history_kind::task_started) {
        first.emplace(e.task.substr(0, e.task.rfind('/')), e.at_ms);
      }
    }
    std::int64_t slowest = 0;
    for (const auto& [job, at] : this->urgent) {
      const auto it = first.find(job);
      slowest = std::max(slowest, it == first.end() ? INT64_MAX : it->second - at);
    }
    return slowest;
  }

  const YAML::Node root;
  fake_cell cell;
  std::vector<std::string> submitted;
  std::map<std::string, std::int64_t> urgent;
  int patches = 0;
};

}  // namespace

result<std::string> run_scenario(const std::string& yaml_text, unsigned seed) {
  try {
    const YAML::Node root = YAML::Load(yaml_text);
    return script(root, seed).run();
  } catch (const script_error& error) {
    return not_run(error_code::bad_request, error.detail);
  } catch (const YAML::Exception& error) {
    return not_run(error_code::bad_request, error.what());
  }
}

}  // namespace monsoonmux
