#include "carobshift/base/shared_bytes.h"

#include <catch2/catch.hpp>
#include <string>
#include <utility>

namespace carobshift {
namespace {

// Guards against bytes that leave the budget while a connection still holds
// them.
TEST_CASE("shared bytes are reserved until their last owner drops them") {
  ByteBudget budget(1000);
  ByteReservation reserved(&budget, ByteImportance::kRequest);
  REQUIRE(reserved.GrowTo(600));
  SharedBytes request(std::string(600, 'x'), std::move(reserved));
  SharedBytes connection = request;
  CHECK(connection.view().data() == request.view().data());
  request = SharedBytes();
  CHECK(request.empty());
  CHECK(budget.held() == 600);
  CHECK(connection.size() == 600);
  connection = SharedBytes();
  CHECK(budget.held() == 0);
}

}  // namespace
}  // namespace carobshift
