#include "dandelionstand/peer/MessageCheck.h"

#include "dandelionstand/common/HttpServer.h"
#include "dandelionstand/peer/generated/envelope.pb.h"

#include <cmath>
#include <string_view>
#include <utility>

namespace dandelionstand::peer {

namespace {

//! Of instances, failure domains, regions, services and routes.
constexpr std::size_t kMaxNameBytes = 1024;
constexpr std::size_t kMaxTargetIdBytes = 255;
//! Of the digest of an API key.
constexpr std::size_t kKeyDigestBytes = 16;
//! Of a printed value.
constexpr std::size_t kMaxPrintedBytes = 64;
constexpr int kMaxMembers = 256;
constexpr int kMaxDigests = 4096;
constexpr int kMaxHeaders = 16'384;
//! Organisations of a request, partitions of a topic.
constexpr int kMaxQuotaItems = 16'384;
//! Members that vote on the lease of a grantor.
constexpr int kMaxVoters = 65'536;
constexpr double kMaxRequestsPerSecond = 1e9;
constexpr const char* kWithdrawalKeySuffix = "/withdrawal";

//! The value as text for a log line, shortened and without control characters.
std::string Printable(std::string_view aValue)
{
  std::string text = "\"";
  for (const char character : aValue.substr(0, kMaxPrintedBytes)) {
    text += character >= ' ' && character <= '~' ? character : '?';
  }
  return text + (aValue.size() > kMaxPrintedBytes ? "...\"" : "\"");
}

//! Checks the fields of one message and adds findings with their places.
class Checker
{
public:
  Checker(std::string aPlace, common::Findings& aFindings)
    : place_(std::move(aPlace))
    , findings_(aFindings)
  {
  }

  Checker Nested(const std::string& aName) const { return { place_ + "." + aName, findings_ }; }

  void Name(const char* aField, const std::string& aValue, bool aMayBeEmpty)
  {
    if (aValue.size() > kMaxNameBytes || (aValue.empty() && !aMayBeEmpty)) {
      Report(aField,
             std::string("must be a name of ") + (aMayBeEmpty ? "0" : "1") + " to " +
               std::to_string(kMaxNameBytes) + " bytes, is " + Printable(aValue));
    }
  }

  void Address(const char* aField, const std::string& aValue)
  {
    if (!common::ParseRemoteAddress(aValue)) {
      Report(aField,
             "must be an IPv4 address with a port from 1 to 65535, is " + Printable(aValue));
    }
  }

  void Number(const char* aField, std::uint64_t aValue, std::uint64_t aMax)
  {
    if (aValue > aMax) {
      Report(aField, "must be at most " + std::to_string(aMax) + ", is " + std::to_string(aValue));
    }
  }

  void Rate(const char* aField, double aValue)
  {
    if (!std::isfinite(aValue) || aValue < 0 || aValue > kMaxRequestsPerSecond) {
      Report(aField,
             "must be from 0 to " + std::to_string(kMaxRequestsPerSecond) + ", is " +
               std::to_string(aValue));
    }
  }

  void Report(const char* aField, std::string aMessage)
  {
    findings_.Add({ place_, 0, aField }, std::move(aMessage));
  }

private:
  std::string place_;
  common::Findings& findings_;
};

void CheckMember(const wire::Member& aMember, Checker aCheck)
{
  aCheck.Name("instance", aMember.instance(), false);
  aCheck.Address("address", aMember.address());
  aCheck.Name("failure_domain", aMember.failure_domain(), true);
  aCheck.Name("region", aMember.region(), true);
  aCheck.Name("service", aMember.service(), true);
  aCheck.Number("incarnation", aMember.incarnation(), kMaxCountedNumber);
  aCheck.Number("generation", aMember.generation(), kMaxCountedNumber);
  aCheck.Number("revision", aMember.revision(), kMaxCountedNumber);
  aCheck.Number("withdrawal_number", aMember.withdrawal_number(), kMaxCountedNumber);
  aCheck.Number("withdrawn_target_id", aMember.withdrawn_target_id().size(), kMaxTargetIdBytes);
}

void CheckUpdate(const wire::MembershipUpdate& aUpdate, Checker aCheck)
{
  aCheck.Number("members", static_cast<std::uint64_t>(aUpdate.members_size()), kMaxMembers);
  aCheck.Number("digests", static_cast<std::uint64_t>(aUpdate.digests_size()), kMaxDigests);
  for (const wire::Member& member : aUpdate.members()) {
    CheckMember(member, aCheck.Nested("members"));
  }
  for (const wire::DomainDigest& digest : aUpdate.digests()) {
    aCheck.Nested("digests").Name("failure_domain", digest.failure_domain(), true);
  }
  if (aUpdate.kind() == wire::PING_REQUEST) {
    aCheck.Address("subject", aUpdate.subject());
  }
}

void CheckNotice(const wire::TargetNotice& aNotice, Checker aCheck)
{
  aCheck.Number("target_incarnation_id", aNotice.target_incarnation_id().size(), kMaxTargetIdBytes);
  aCheck.Rate("max_requests_per_second", aNotice.max_requests_per_second());
}

void CheckLoad(const wire::Load& aLoad, const Checker& aCheck)
{
  if (aLoad.has_notice()) {
    CheckNotice(aLoad.notice(), aCheck.Nested("load.notice"));
  }
}

void CheckCallStart(const wire::CallStart& aStart, Checker aCheck)
{
  aCheck.Name("service", aStart.service(), false);
  aCheck.Name("route", aStart.route(), false);
  aCheck.Name("organisation", aStart.organisation(), true);
  if (!aStart.key_digest().empty() && aStart.key_digest().size() != kKeyDigestBytes) {
    aCheck.Report("key_digest",
                  "must have 0 or " + std::to_string(kKeyDigestBytes) + " bytes, has " +
                    std::to_string(aStart.key_digest().size()));
  }
  aCheck.Number("headers", static_cast<std::uint64_t>(aStart.headers_size()), kMaxHeaders);
  aCheck.Number("sent_at_us", aStart.sent_at_us(), kMaxCountedNumber);
  aCheck.Number("time_left_ms", aStart.time_left_ms(), kMaxTimeLeftMs);
  aCheck.Number("objective_left_ms", aStart.objective_left_ms(), kMaxTimeLeftMs);
  if (!wire::TrafficClass_IsValid(aStart.traffic_class())) {
    aCheck.Number(
      "traffic_class", static_cast<std::uint32_t>(aStart.traffic_class()), wire::TrafficClass_MAX);
  }
  if (!wire::Idempotency_IsValid(aStart.idempotency())) {
    aCheck.Number(
      "idempotency", static_cast<std::uint32_t>(aStart.idempotency()), wire::Idempotency_MAX);
  }
  if (aStart.has_remembered_notice()) {
    CheckNotice(aStart.remembered_notice(), aCheck.Nested("remembered_notice"));
  }
}

void CheckQuotaRequest(const wire::QuotaRequest& aRequest, Checker aCheck)
{
  aCheck.Number("items", static_cast<std::uint64_t>(aRequest.items_size()), kMaxQuotaItems);
  for (const wire::QuotaItem& item : aRequest.items()) {
    aCheck.Nested("items").Name("organisation", item.organisation(), false);
  }
}

void CheckQuotaReply(const wire::QuotaReply& aReply, Checker aCheck)
{
  aCheck.Number("grants", static_cast<std::uint64_t>(aReply.grants_size()), kMaxQuotaItems);
  aCheck.Number("owners", static_cast<std::uint64_t>(aReply.owners_size()), kMaxQuotaItems);
  for (const wire::QuotaOwner& owner : aReply.owners()) {
    aCheck.Nested("owners").Number("partition", owner.partition(), kMaxQuotaItems);
    if (!owner.address().empty()) {
      aCheck.Nested("owners").Address("address", owner.address());
    }
  }
}

void CheckQuotaLeaseQuery(const wire::QuotaLeaseQuery& aQuery, Checker aCheck)
{
  aCheck.Number("generation", aQuery.generation(), kMaxCountedNumber);
  aCheck.Number("partitions", static_cast<std::uint64_t>(aQuery.partitions_size()), kMaxQuotaItems);
  for (const std::uint32_t partition : aQuery.partitions()) {
    aCheck.Number("partitions", partition, kMaxQuotaItems);
  }
}

void CheckQuotaLeaseVote(const wire::QuotaLeaseVote& aVote, Checker aCheck)
{
  aCheck.Number("promises", static_cast<std::uint64_t>(aVote.promises_size()), kMaxQuotaItems);
  aCheck.Number("voter_count", aVote.voter_count(), kMaxVoters);
  for (const wire::QuotaLeasePromise& promise : aVote.promises()) {
    Checker nested = aCheck.Nested("promises");
    nested.Number("remaining_ms", promise.remaining_ms(), kMaxTimeLeftMs);
    if (!promise.holder().empty()) {
      nested.Address("holder", promise.holder());
    }
  }
}

void CheckBody(const wire::Envelope& aEnvelope, const Checker& aCheck)
{
  switch (aEnvelope.body_case()) {
    case wire::Envelope::kMembershipUpdate:
      CheckUpdate(aEnvelope.membership_update(), aCheck.Nested("membership_update"));
      break;
    case wire::Envelope::kQuotaRequest:
      CheckQuotaRequest(aEnvelope.quota_request(), aCheck.Nested("quota_request"));
      break;
    case wire::Envelope::kQuotaReply:
      CheckQuotaReply(aEnvelope.quota_reply(), aCheck.Nested("quota_reply"));
      break;
    case wire::Envelope::kQuotaLeaseQuery:
      CheckQuotaLeaseQuery(aEnvelope.quota_lease_query(), aCheck.Nested("quota_lease_query"));
      break;
    case wire::Envelope::kQuotaLeaseVote:
      CheckQuotaLeaseVote(aEnvelope.quota_lease_vote(), aCheck.Nested("quota_lease_vote"));
      break;
    case wire::Envelope::kCallStart:
      CheckCallStart(aEnvelope.call_start(), aCheck.Nested("call_start"));
      break;
    case wire::Envelope::kAnswerHead:
      aCheck.Nested("answer_head")
        .Number("headers",
                static_cast<std::uint64_t>(aEnvelope.answer_head().headers_size()),
                kMaxHeaders);
      break;
    case wire::Envelope::kAnswerEnd:
      CheckLoad(aEnvelope.answer_end().load(), aCheck.Nested("answer_end"));
      break;
    case wire::Envelope::kAnswerFailed:
      CheckLoad(aEnvelope.answer_failed().load(), aCheck.Nested("answer_failed"));
      break;
    case wire::Envelope::kClaimAnswer:
      aCheck.Nested("claim_answer")
        .Number("headers",
                static_cast<std::uint64_t>(aEnvelope.claim_answer().headers_size()),
                kMaxHeaders);
      break;
    default:
      break;
  }
}

} // namespace

void CheckEnvelope(const wire::Envelope& aEnvelope, common::Findings& aFindings)
{
  Checker check("message", aFindings);
  if (aEnvelope.has_heartbeat()) {
    return; // Heartbeats carry no sender.
  }
  check.Name("sender", aEnvelope.sender(), false);
  check.Address("sender_address", aEnvelope.sender_address());
  CheckBody(aEnvelope, check);
}

void CheckJoinRecord(const std::string& aKey,
                     const wire::JoinRecord& aRecord,
                     common::Findings& aFindings)
{
  Checker check("join record " + Printable(aKey), aFindings);
  const std::string& instance = aRecord.member().instance();
  CheckMember(aRecord.member(), check);
  if (aKey != JoinRecordKey(instance) && aKey != WithdrawalRecordKey(instance)) {
    check.Report("instance", "must be the one in the key, is " + Printable(instance));
  }
}

std::string JoinRecordKey(const std::string& aInstance)
{
  return aInstance;
}

std::string WithdrawalRecordKey(const std::string& aInstance)
{
  return aInstance + kWithdrawalKeySuffix;
}

} // namespace dandelionstand::peer
