#include "Core/Keys/key_table.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <cstdio>
#include <string>

#include "Core/Common/json.h"

namespace daisyroad {
namespace {

NewKey GenerateOrFail() {
  Result<NewKey> key = GenerateKey();
  REQUIRE(key.ok());
  return std::move(key).value();
}

KeyTable TableWith(const NewKey& key) {
  KeyTable table;
  REQUIRE(table.Add({key.id, TeamKey{TeamName("bookings")}, key.hash, false}));
  return table;
}

// Guards against a key that authenticates the wrong team or is rejected.
TEST_CASE("A key authenticates its holder") {
  const NewKey key = GenerateOrFail();
  const Result<KeyHolder> holder = TableWith(key).Authenticate(key.text);
  REQUIRE(holder.ok());
  CHECK(std::get<TeamKey>(holder.value()).team == TeamName("bookings"));
}

// Guards against accepting a key that matches only in its id or a prefix.
TEST_CASE("Any altered key is refused and not repeated in the error") {
  const NewKey key = GenerateOrFail();
  const KeyTable table = TableWith(key);
  for (std::size_t i = 0; i < key.text.size(); ++i) {
    std::string altered = key.text;
    altered[i] = altered[i] == '0' ? '1' : '0';
    const Result<KeyHolder> holder = table.Authenticate(altered);
    REQUIRE_FALSE(holder.ok());
    CHECK(holder.error().code == Errc::kUnauthorized);
    CHECK(holder.error().ToString().find(altered.substr(20)) ==
          std::string::npos);
  }
  CHECK_FALSE(table.Authenticate(""));
  CHECK_FALSE(table.Authenticate(key.text + "0"));
  CHECK_FALSE(table.Authenticate(key.text.substr(0, key.text.size() - 1)));
}

// Guards against a withdrawn key that is accepted again or no longer listed.
TEST_CASE("A withdrawn key stays listed and its id is not reused") {
  const NewKey key = GenerateOrFail();
  KeyTable table = TableWith(key);
  REQUIRE(table.Withdraw(key.id));
  REQUIRE(table.Withdraw(key.id));
  CHECK_FALSE(table.Authenticate(key.text));
  CHECK(table.records().size() == 1);
  CHECK_FALSE(table.Add({key.id, OperatorKey{"eva"}, key.hash, false}));
  CHECK_FALSE(table.Withdraw(KeyId("0000")));
}

// Guards against JSON that loses a withdrawal or contains the secret.
TEST_CASE("The key table round-trips through JSON without the secret") {
  const NewKey key = GenerateOrFail();
  KeyTable table = TableWith(key);
  const NewKey other = GenerateOrFail();
  REQUIRE(table.Add({other.id, OperatorKey{"eva"}, other.hash, false}));
  REQUIRE(table.Withdraw(key.id));
  const std::string text = WriteJson(table.ToJson());
  CHECK(text.find(key.text.substr(20)) == std::string::npos);
  const Result<KeyTable> decoded = KeyTable::FromJson(ParseJson(text).value());
  REQUIRE(decoded.ok());
  CHECK(decoded.value() == table);
}

// Guards against decoding a malformed record as a valid key.
TEST_CASE("Malformed key records are refused") {
  const std::string text = GENERATE(
      as<std::string>{}, "{}", "[{}]", "[1]",
      R"([{"id":"a","salt":"b","digest":"c","withdrawn":false}])",
      R"([{"id":"a","salt":"b","digest":"c","team":"t"}])",
      R"([{"id":"a","salt":"b","digest":"c","team":"t","withdrawn":true},)"
      R"({"id":"a","salt":"b","digest":"c","team":"t","withdrawn":false}])");
  CHECK_FALSE(KeyTable::FromJson(ParseJson(text).value()).ok());
}

}  // namespace
}  // namespace daisyroad
