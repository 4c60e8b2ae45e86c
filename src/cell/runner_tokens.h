#pragma once

#include "base/quantity.h"

namespace monsoonmux::cell {

// The fencing tokens of one leader's commands to one runner. They are higher than those of all
// previous leaders, and each is higher than the one before: a runner that has seen the newest
// refuses whatever was sent earlier and arrives later.
class runner_tokens {
 public:
  // Epochs up to 2^32 give tokens up to 2^53, which every JSON number holds.
  static constexpr std::int64_t per_epoch = std::int64_t{1} << 21;

  explicit runner_tokens(epoch leader) : newest{leader.value * per_epoch} {}

  fencing_token current() const { return this->newest; }
  // Begins the next token, if the epoch has another one.
  void raise() {
    if ((this->newest.value + 1) % per_epoch != 0) {
      ++this->newest.value;
    }
  }

 private:
  fencing_token newest;
};

}  // namespace monsoonmux::cell
