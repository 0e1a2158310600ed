#include "state/pool/run_time_model.h"

#include <catch2/catch.hpp>

namespace hickorystall::tests {

using state::pool::run_time_model;
using std::chrono::milliseconds;

// Guards against planning with meaningless declarations: the actual times are around 2.5 s whatever is
// declared.
TEST_CASE("meaningless declarations are replaced by the mean of the queue", "[pool]") {
  run_time_model model;
  const int declared[] = {200, 13'000, 900, 6'000, 300, 2'500, 11'000, 450};
  const int actual[] = {2'600, 2'300, 2'500, 2'400, 2'700, 2'500, 2'600, 2'400};
  for (int i = 0; i < 8; ++i) model.Learn("q", milliseconds(declared[i]), milliseconds(actual[i]));
  CHECK(model.Predict("q", milliseconds(300)) > milliseconds(1'500));
  CHECK(model.Predict("q", milliseconds(12'000)) < milliseconds(4'500));
}

// Guards against discarding accurate declarations.
TEST_CASE("accurate declarations are used", "[pool]") {
  run_time_model model;
  for (const int time : {1'000, 4'000, 9'000, 2'000, 7'000}) {
    model.Learn("q", milliseconds(time), milliseconds(time * 11 / 10));
  }
  CHECK(model.Predict("q", milliseconds(8'000)) > milliseconds(7'500));
  CHECK(model.Predict("q", milliseconds(1'500)) < milliseconds(2'000));
}

TEST_CASE("declarations of an unknown queue are used unchanged", "[pool]") {
  CHECK(run_time_model().Predict("q", milliseconds(1'234)) == milliseconds(1'234));
}

}  // namespace hickorystall::tests
