#pragma once

#include <algorithm>

namespace monsoonmux {

// Token bucket that limits retries to a fraction of the calls, so that retries do not multiply the
// load of a failing pool. Not thread-safe.
class retry_budget {
 public:
  // A retry costs one token.
  static constexpr double tokens_per_call = 0.1;
  static constexpr double max_tokens = 20.0;

  void on_call() { this->tokens = std::min(max_tokens, this->tokens + tokens_per_call); }
  bool spend() {
    if (this->tokens < 1.0) {
      return false;
    }
    this->tokens -= 1.0;
    return true;
  }

 private:
  double tokens = max_tokens / 2;
};

}  // namespace monsoonmux
