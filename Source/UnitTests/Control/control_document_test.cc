#include <catch2/catch.hpp>

#include "Core/Control/change_acceptance.h"
#include "Core/Control/control_change.h"
#include "Core/Control/control_document.h"
#include "Core/Control/control_replica.h"

namespace daisyroad {
namespace {

ControlDocument Apply(const ControlDocument& base,
                      const ControlChange& change,
                      const std::string& id) {
  Result<ControlDocument> result = ApplyChange(base, change, ChangeId(id));
  REQUIRE(result.ok());
  return std::move(result).value();
}

ControlDocument Sample() {
  ControlDocument document;
  document = Apply(document, ApplyDeclaration{"[team.a]\n"}, "a");
  document = Apply(document, TakeZoneOut{ZoneName("z1")}, "b");
  document =
      Apply(document,
            RosterJoin{{EntryName("i1"), ZoneName("z1"), "127.0.0.1:1"}}, "c");
  return Apply(
      document,
      GiveKey{{KeyId("k"), TeamKey{TeamName("a")}, {"00", "11"}, false}}, "d");
}

// Guards against a codec that loses a part of the configuration.
TEST_CASE("A document survives its codec") {
  const ControlDocument document = Sample();
  const Result<ControlHead> head =
      ControlHead::FromJson(document.Head().ToJson());
  REQUIRE(head.ok());
  const Result<ControlDocument> decoded =
      ControlDocument::FromParts(head.value(), document.Parts());
  REQUIRE(decoded.ok());
  CHECK(decoded.value() == document);
  CHECK(document.version() == 4);
  CHECK(document.roster_epoch() == 1);
}

// Guards against configuration taken from a damaged or missing part.
TEST_CASE("A part must match its digest") {
  const ControlDocument document = Sample();
  for (const auto& [digest, text] : document.Parts()) {
    std::map<PartDigest, std::string> parts = document.Parts();
    parts[digest] += " ";
    CHECK(ControlDocument::FromParts(document.Head(), parts).error().code ==
          Errc::kProtocol);
    parts.erase(digest);
    CHECK(ControlDocument::FromParts(document.Head(), parts).error().code ==
          Errc::kNotFound);
  }
}

// Guards against a malformed head that is read as a valid one.
TEST_CASE("Malformed heads are refused") {
  const std::string text =
      GENERATE(as<std::string>{}, "", "[]", "{}", R"({"version":-1})",
               R"({"version":1,"roster_epoch":0,"parts":{},"recent":[]})",
               R"({"version":1,"roster_epoch":0,"parts":[],"recent":[]})");
  CHECK_FALSE(ControlHead::FromJson(text).ok());
}

// Guards against a change that edits what it does not name.
TEST_CASE("Changes that cannot be made are refused") {
  const ControlDocument document = Sample();
  const ChangeId id("x");
  CHECK_FALSE(ApplyChange(document, WithdrawKey{KeyId("none")}, id));
  CHECK_FALSE(ApplyChange(document, RosterLeave{EntryName("none")}, id));
  CHECK_FALSE(ApplyChange(document, RosterJoin{{EntryName("i1"), {}, ""}}, id));
  CHECK_FALSE(ApplyChange(document, GiveKey{{KeyId("k"), {}, {}, false}}, id));
  CHECK(Apply(document, TakeZoneIn{ZoneName("z1")}, "x").zones_out().empty());
  CHECK(Apply(document, WithdrawKey{KeyId("k")}, "x")
            .keys()
            .records()
            .at(KeyId("k"))
            .withdrawn);
}

// Guards against a replica that fetches what it has or adopts an older version.
TEST_CASE("A replica fetches only what changed and never goes back") {
  const ControlDocument first = Sample();
  const ControlDocument second = Apply(first, TakeZoneIn{ZoneName("z1")}, "e");
  const MonotonicTime now;
  ControlReplica replica;
  replica.OnHead(first.Head(), StoreSource{}, now);
  for (const auto& [digest, text] : first.Parts()) {
    replica.OnPart(digest, text);
  }
  REQUIRE(replica.document() == first);
  const std::vector<ReplicaAction> actions =
      replica.OnHead(second.Head(), PeerSource{EntryName("i2")}, now);
  REQUIRE(actions.size() == 1);
  const FetchPart& fetch = std::get<FetchPart>(actions.front());
  CHECK(fetch.source == ControlSource(PeerSource{EntryName("i2")}));
  CHECK(replica.OnPart(fetch.digest, "[\"forged\"]").empty());
  CHECK(replica.OnPart(fetch.digest, "[]").size() == 1);
  CHECK(replica.document() == second);
  CHECK(replica.OnHead(first.Head(), StoreSource{}, now).empty());
  CHECK(replica.document() == second);
}

// Guards against an operator's reviewed declaration being applied to another
// base, and against a lost answer reported as a conflict.
TEST_CASE("Racing operators: one wins and the other learns the winner") {
  const ControlDocument base = Sample();
  const MonotonicTime now;
  const PeerContacts contacts(EntryName("i1"), ZoneName("z1"), now);
  ChangeAcceptance loser(
      {ChangeId("mine"), ApplyDeclaration{"x"}, base.version()});
  REQUIRE(loser.Start(base, contacts, now).size() == 1);
  loser.OnWriteAnswered(WriteAnswer::kConflict, contacts, now);
  const ControlDocument other = Apply(base, ApplyDeclaration{"y"}, "theirs");
  const std::vector<ChangeAction> told =
      loser.OnHeadRead(other.Head(), contacts, now);
  REQUIRE(told.size() == 1);
  CHECK(std::get<TellConflict>(told.front()).winning_change ==
        ChangeId("theirs"));

  ChangeAcceptance winner(
      {ChangeId("theirs"), ApplyDeclaration{"y"}, base.version()});
  winner.Start(base, contacts, now);
  winner.OnWriteAnswered(WriteAnswer::kLost, contacts, now);
  const std::vector<ChangeAction> found =
      winner.OnHeadRead(other.Head(), contacts, now);
  CHECK(std::get<TellWritten>(found.front()).version == other.version());
}

}  // namespace
}  // namespace daisyroad
