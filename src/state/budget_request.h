#pragma once

#include "base/ids.h"
#include "base/resources.h"

namespace monsoonmux {

// One domain asks the others for part of a team's upper limit.
struct budget_request {
  team_id team;
  domain_id to;
  resources amount;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(team, to, amount);
  }
};

}  // namespace monsoonmux
