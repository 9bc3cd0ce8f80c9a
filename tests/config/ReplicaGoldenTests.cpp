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

//! Passes events to a replica and records events, results and state, one line each.
class ReplicaTranscript
{
public:
  void ReadRecord(std::uint64_t aOffset, const std::string& aDescription, const std::string& aData)
  {
    text_ << "in  record " << aOffset << " " << aDescription << "\n";
    WriteResults(replica_.OnRecord(Offset(aOffset - 1), { Offset(aOffset), aData }));
  }

  void ReportGap(std::uint64_t aFirst)
  {
    text_ << "in  gap first " << aFirst << "\n";
    replica_.OnGap(Offset(aFirst));
    WriteState();
  }

  void ReceiveSnapshot(const ConfigState& aState, std::uint64_t aAppliedOffset)
  {
    text_ << "in  peer snapshot version " << aState.version_.Get() << " through " << aAppliedOffset
          << "\n";
    Findings findings;
    std::vector<EvaluatedRecord> evaluated;
    const auto snapshot =
      DecodeSnapshotRecord(EncodeSnapshot(aState, Offset(aAppliedOffset)), "", findings);
    WriteAdoption(replica_.OnSnapshot(*snapshot, evaluated));
    WriteResults(evaluated);
  }

  void ReceiveDelta(const ConfigState& aState, std::uint64_t aAppliedOffset, std::uint64_t aFrom)
  {
    text_ << "in  peer delta from " << aFrom << " to " << aState.version_.Get() << "\n";
    std::vector<EvaluatedRecord> evaluated;
    const auto delta = DeltaSince(aState, Offset(aAppliedOffset), Version(aFrom));
    WriteAdoption(replica_.OnDelta(*delta, evaluated));
    WriteResults(evaluated);
  }

  std::string Text() const { return text_.str(); }

private:
  void WriteAdoption(AdoptOutcome aOutcome)
  {
    const char* const names[] = { "adopted", "not newer", "refused" };
    text_ << "out " << names[static_cast<int>(aOutcome)] << "\n";
  }

  void WriteResults(const std::vector<EvaluatedRecord>& aEvaluated)
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

TEST_CASE("The transcript of a replica with conflicts, garbage, a gap and peer updates matches the "
          "golden file",
          "[config][replica][golden]")
{
  const ConfigStatePtr afterRecord1 = Publish({}, 1, ShopRecord());
  const ConfigStatePtr afterRecord2 = Publish(*afterRecord1, 2, SlotsRecord(*afterRecord1, 5));
  const ConfigStatePtr afterRecord5 = Publish(*afterRecord2, 5, TimeoutRecord(*afterRecord2, 700));
  const ConfigStatePtr afterRecord9 = Publish(*afterRecord5, 9, SlotsRecord(*afterRecord5, 6));
  ReplicaTranscript transcript;
  transcript.ReadRecord(1, "publish", EncodePublishRecord(ShopRecord()));
  transcript.ReadRecord(2, "slots 5", EncodePublishRecord(SlotsRecord(*afterRecord1, 5)));
  transcript.ReadRecord(
    3, "slots 7 on an old base", EncodePublishRecord(SlotsRecord(*afterRecord1, 7)));
  transcript.ReadRecord(2, "slots 5 again", EncodePublishRecord(SlotsRecord(*afterRecord1, 5)));
  transcript.ReadRecord(4, "garbage", "garbage");
  transcript.ReadRecord(6, "out of order", EncodePublishRecord(SlotsRecord(*afterRecord2, 9)));
  transcript.ReceiveDelta(*afterRecord5, 5, 2);
  transcript.ReceiveDelta(*afterRecord5, 5, 2);
  transcript.ReceiveSnapshot(*afterRecord2, 4);
  transcript.ReportGap(9);
  transcript.ReadRecord(9, "slots 6", EncodePublishRecord(SlotsRecord(*afterRecord5, 6)));
  transcript.ReadRecord(10, "snapshot through 6", EncodeSnapshot(*afterRecord5, Offset(6)));
  transcript.ReceiveSnapshot(*afterRecord5, 8);
  transcript.ReadRecord(11, "snapshot through 9", EncodeSnapshot(*afterRecord9, Offset(9)));
  CheckGolden("config/replica-session.txt", transcript.Text());
}
