#include "dandelionstand/config/Replica.h"

#include "ConfigFixtures.h"
#include "support/Golden.h"

#include <catch2/catch.hpp>

#include <sstream>

using namespace dandelionstand::common;
using namespace dandelionstand::config;
using namespace dandelionstand::tests;

namespace {

const char* NameOf(AcceptOutcome aOutcome)
{
  switch (aOutcome) {
    case AcceptOutcome::kAccepted:
      return "accepted";
    case AcceptOutcome::kConflict:
      return "conflict";
    case AcceptOutcome::kInvalid:
      return "invalid";
    case AcceptOutcome::kGarbage:
      return "garbage";
    case AcceptOutcome::kOld:
      return "old";
    case AcceptOutcome::kSnapshot:
      return "snapshot";
  }
  return "";
}

//! Feeds events to a replica and writes them and what follows, a line each.
class Session
{
public:
  void Record(std::uint64_t aOffset, const std::string& aWhat, const std::string& aData)
  {
    text_ << "in  record " << aOffset << " " << aWhat << "\n";
    Write(replica_.OnRecord(Offset(aOffset - 1), { Offset(aOffset), aData }));
  }

  void Gap(std::uint64_t aFirst)
  {
    text_ << "in  gap first " << aFirst << "\n";
    replica_.OnGap(Offset(aFirst));
    WriteState();
  }

  void PeerSnapshot(const ConfigState& aState, std::uint64_t aThrough)
  {
    text_ << "in  peer snapshot version " << aState.version_.Get() << " through " << aThrough
          << "\n";
    Findings findings;
    std::vector<EvaluatedRecord> evaluated;
    const auto snapshot =
      DecodeSnapshotRecord(EncodeSnapshot(aState, Offset(aThrough)), "", findings);
    WriteAdoption(replica_.OnSnapshot(*snapshot, evaluated));
    Write(evaluated);
  }

  void PeerDelta(const ConfigState& aState, std::uint64_t aThrough, std::uint64_t aFrom)
  {
    text_ << "in  peer delta from " << aFrom << " to " << aState.version_.Get() << "\n";
    std::vector<EvaluatedRecord> evaluated;
    const auto delta = DeltaSince(aState, Offset(aThrough), Version(aFrom));
    WriteAdoption(replica_.OnDelta(*delta, evaluated));
    Write(evaluated);
  }

  std::string Text() const { return text_.str(); }

private:
  void WriteAdoption(AdoptOutcome aOutcome)
  {
    const char* const names[] = { "adopted", "not newer", "refused" };
    text_ << "out " << names[static_cast<int>(aOutcome)] << "\n";
  }

  void Write(const std::vector<EvaluatedRecord>& aEvaluated)
  {
    for (const EvaluatedRecord& evaluated : aEvaluated) {
      text_ << "out record " << evaluated.offset_.Get() << " " << NameOf(evaluated.result_.outcome_)
            << "\n";
      for (const Finding& finding : evaluated.result_.findings_.All()) {
        text_ << "out finding " << finding.ToString() << "\n";
      }
    }
    WriteState();
  }

  void WriteState()
  {
    text_ << "    version " << replica_.State()->version_.Get() << " through "
          << replica_.AppliedOffset().Get() << " next read " << replica_.NextOffset().Get()
          << (replica_.HasGap() ? " gap" : "") << " hash " << HashOf(*replica_.State()).Get()
          << "\n";
  }

  Replica replica_;
  std::ostringstream text_;
};

} // namespace

TEST_CASE("A replica's session over races, garbage, a gap and peers reads as approved",
          "[config][replica][golden]")
{
  const ConfigStatePtr first = Publish({}, 1, ShopRecord());
  const ConfigStatePtr second = Publish(*first, 2, SlotsRecord(*first, 5));
  const ConfigStatePtr fifth = Publish(*second, 5, TimeoutRecord(*second, 700));
  const ConfigStatePtr ninth = Publish(*fifth, 9, SlotsRecord(*fifth, 6));
  Session session;
  session.Record(1, "publish", EncodePublishRecord(ShopRecord()));
  session.Record(2, "slots 5", EncodePublishRecord(SlotsRecord(*first, 5)));
  session.Record(3, "slots 7 on an old base", EncodePublishRecord(SlotsRecord(*first, 7)));
  session.Record(2, "slots 5 again", EncodePublishRecord(SlotsRecord(*first, 5)));
  session.Record(4, "garbage", "garbage");
  session.Record(6, "out of order", EncodePublishRecord(SlotsRecord(*second, 9)));
  session.PeerDelta(*fifth, 5, 2);
  session.PeerDelta(*fifth, 5, 2);
  session.PeerSnapshot(*second, 4);
  session.Gap(9);
  session.Record(9, "slots 6", EncodePublishRecord(SlotsRecord(*fifth, 6)));
  session.Record(10, "snapshot through 6", EncodeSnapshot(*fifth, Offset(6)));
  session.PeerSnapshot(*fifth, 8);
  session.Record(11, "snapshot through 9", EncodeSnapshot(*ninth, Offset(9)));
  CheckGolden("config/replica-session.txt", session.Text());
}
