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

ControlDocument SampleDocument() {
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

// Guards against a part of the configuration being lost in encoding or
// decoding.
TEST_CASE("A document is unchanged by encoding and decoding") {
  const ControlDocument document = SampleDocument();
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

// Guards against loading configuration from a corrupt or missing part.
TEST_CASE("A part must match its digest") {
  const ControlDocument document = SampleDocument();
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

// Guards against a malformed head being decoded as a valid one.
TEST_CASE("Malformed heads are rejected") {
  const std::string text =
      GENERATE(as<std::string>{}, "", "[]", "{}", R"({"version":-1})",
               R"({"version":1,"roster_epoch":0,"parts":{},"recent":[]})",
               R"({"version":1,"roster_epoch":0,"parts":[],"recent":[]})");
  CHECK_FALSE(ControlHead::FromJson(text).ok());
}

// Guards against a change that is applied although its target does not exist or
// already exists.
TEST_CASE("Changes that cannot be applied are rejected") {
  const ControlDocument document = SampleDocument();
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

// Guards against a replica that fetches parts it already has, takes a part that
// does not match its digest, or adopts an older version.
TEST_CASE(
    "A replica fetches only changed parts and never adopts an older version") {
  const ControlDocument first = SampleDocument();
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

// Guards against a declaration being applied to another base version than the
// one that the operator reviewed, and against a lost answer being reported as a
// conflict.
TEST_CASE(
    "Of two concurrent declarations one is written and the other conflicts") {
  const ControlDocument base = SampleDocument();
  const MonotonicTime now;
  const PeerContacts contacts(EntryName("i1"), ZoneName("z1"), now);
  ChangeAcceptance loser(
      {ChangeId("mine"), ApplyDeclaration{"x"}, base.version()});
  REQUIRE(loser.Start(base, contacts, now).size() == 1);
  loser.OnWriteAnswered(WriteAnswer::kConflict, contacts, now);
  const ControlDocument other = Apply(base, ApplyDeclaration{"y"}, "theirs");
  const std::vector<ChangeAction> conflict_actions =
      loser.OnHeadRead(other.Head(), contacts, now);
  REQUIRE(conflict_actions.size() == 1);
  CHECK(std::get<TellConflict>(conflict_actions.front()).winning_change ==
        ChangeId("theirs"));

  ChangeAcceptance winner(
      {ChangeId("theirs"), ApplyDeclaration{"y"}, base.version()});
  winner.Start(base, contacts, now);
  winner.OnWriteAnswered(WriteAnswer::kLost, contacts, now);
  const std::vector<ChangeAction> written_actions =
      winner.OnHeadRead(other.Head(), contacts, now);
  CHECK(std::get<TellWritten>(written_actions.front()).version ==
        other.version());
}

}  // namespace
}  // namespace daisyroad
