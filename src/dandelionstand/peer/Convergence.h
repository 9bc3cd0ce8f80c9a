#ifndef dandelionstand_peer_Convergence_h
#define dandelionstand_peer_Convergence_h

#include "dandelionstand/common/Time.h"
#include "dandelionstand/peer/Member.h"
#include "dandelionstand/peer/generated/spreading.pb.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace dandelionstand::peer {

//! Active configuration versions in one failure domain.
struct DomainVersions
{
  common::FailureDomain failureDomain_;
  std::uint32_t memberCount_ = 0;
  std::map<common::Version, std::uint32_t> membersByVersion_; //!< Members by active version.
  std::vector<common::InstanceId> lagging_; //!< Members below the highest version.
};

struct SendConvergence
{
  common::Address destination_;
  wire::ConvergenceMessage message_;
};
using ConvergenceActions = std::vector<SendConvergence>;

//! Collects the active configuration version of every daemon. Each daemon reports its version to
//! the collectors of its failure domain, the two best-ranked members. Other domains' versions are
//! queried from their collectors only on an operator's request, so there is no steady traffic
//! between domains.
class Convergence
{
public:
  explicit Convergence(Member aSelf);

  void SetMembers(Members aMembers) { members_ = std::move(aMembers); }
  //! Reports aVersion to the collectors when it or the collectors have changed, and periodically in
  //! case a report was lost.
  ConvergenceActions Tick(common::Version aVersion, common::TimePoint aNow);
  ConvergenceActions OnMessage(const common::InstanceId& aSender,
                               const common::Address& aSenderAddress,
                               const wire::ConvergenceMessage& aMessage);
  //! Queries the collectors of every failure domain.
  ConvergenceActions QueryCollectors();

  //! Versions known now, from the answers to earlier queries and the reports to this daemon. A
  //! domain without either has its number of members only.
  std::vector<DomainVersions> VersionsByDomain() const;

private:
  bool IsCollector() const;
  DomainVersions LocalDomain() const;
  wire::ConvergenceMessage SummaryMessage() const;

  Member self_;
  Members members_;
  common::Version lastReportedVersion_;
  common::TimePoint nextReport_;
  //! Receivers of the last report.
  std::vector<std::pair<common::InstanceId, common::Incarnation>> lastCollectors_;
  std::map<common::InstanceId, common::Version> reportedVersions_;
  std::map<common::FailureDomain, DomainVersions> summaries_;
};

} // namespace dandelionstand::peer

#endif // dandelionstand_peer_Convergence_h
