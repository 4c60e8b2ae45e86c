#pragma once

#include <cmath>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "cell/advice_port.h"
#include "cell/testing/fake_loop.h"
#include "cell/testing/fake_runners.h"
#include "cell/testing/fake_ticket.h"
#include "model/cell_config.h"

namespace monsoonmux::cell {

// The advice service. Which runners are good for a step never changes.
struct fake_advice_service {
  std::optional<advice_config> terms;  // Empty: there is no service.
  // Each step may run on all runners of the cell but one, in place of on 30% of them.
  bool excludes_one = false;

  bool is_good(const std::string& step, const std::vector<std::unique_ptr<fake_runner>>& runners,
               const std::string& runner) const {
    if (this->excludes_one) {
      const std::size_t bad = std::hash<std::string>{}(step) % runners.size();
      return runner != runners[bad]->entry.id;
    }
    constexpr std::size_t good_percent = 30;
    return std::hash<std::string>{}(step + " on " + runner) % 100 < good_percent;
  }
};

// The advice service as one daemon reaches it. A call takes the time that the terms name; at its
// end the tickets are issued, for the lives that the runners have then.
class fake_advice final : public advice_port {
 public:
  fake_advice(fake_loop& loop, fake_process& process, const fake_advice_service& service,
              const std::vector<std::unique_ptr<fake_runner>>& runners)
      : loop(loop), process(process), service(service), runners(runners) {}

  void advise(const std::string& step, const std::vector<std::string>& asked, millis,
              reply<std::vector<ticket>> on_answer) override {
    if (!this->service.terms) {
      on_answer(not_run(error_code::unavailable, "none"));
      return;
    }
    const advice_config& terms = *this->service.terms;
    const millis duration{
        std::llround(terms.per_call_ms + terms.per_runner_ms * static_cast<double>(asked.size()))};
    auto tickets = std::make_shared<std::vector<ticket>>();
    this->loop.after(duration,
                     [this, step, asked, tickets] { *tickets = this->issue(step, asked); });
    this->process.after(duration,
                        [tickets, on_answer = std::move(on_answer)] { on_answer(*tickets); });
  }

 private:
  std::vector<ticket> issue(const std::string& step, const std::vector<std::string>& asked) const {
    std::vector<ticket> out;
    for (const auto& runner : this->runners) {
      const runner_entry& entry = runner->entry;
      if (std::find(asked.begin(), asked.end(), entry.id) != asked.end() &&
          this->service.is_good(step, this->runners, entry.id)) {
        const fake_ticket issued{step, entry.id, entry.incarnation, this->loop.now()};
        out.push_back({entry.id, issued.text()});
      }
    }
    return out;
  }

  fake_loop& loop;
  fake_process& process;
  const fake_advice_service& service;
  const std::vector<std::unique_ptr<fake_runner>>& runners;
};

}  // namespace monsoonmux::cell
