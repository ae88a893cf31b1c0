#include "carobshift/base/digest.h"

#include <catch2/catch.hpp>

namespace carobshift {

TEST_CASE("SHA-256 and HMAC match their published vectors") {
  CHECK(Sha256Hex("abc") ==
        "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
  CHECK(HexEncode(HmacSha256("Jefe", "what do ya want for nothing?")) ==
        "5bdcc146bf60754e6a042426089575c75a003f089d2739839dec58b964ec3843");
}

TEST_CASE("comparison in constant time tells equal from different") {
  CHECK(ConstantTimeEqual("same", "same"));
  CHECK_FALSE(ConstantTimeEqual("same", "sane"));
  CHECK_FALSE(ConstantTimeEqual("same", "sam"));
}

}  // namespace carobshift
