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

//! Versions in force in one failure domain.
struct DomainVersions
{
  common::FailureDomain failureDomain_;
  std::uint32_t memberCount_ = 0;
  std::map<common::Version, std::uint32_t> membersByVersion_;
  std::vector<common::InstanceId> lagging_;
};

struct SendConvergence
{
  common::Address destination_;
  wire::ConvergenceMessage message_;
};
using ConvergenceActions = std::vector<SendConvergence>;

//! Who has which version in force. Each daemon reports its own to the two best-ranked members of
//! its failure domain; whoever wants to know asks one of these for each domain, so that nothing
//! travels between domains unless an operator looks.
class Convergence
{
public:
  explicit Convergence(Member aSelf);

  void SetMembers(Members aMembers) { members_ = std::move(aMembers); }
  //! Reports at once if aVersion is new, and again after a while in case a report was lost.
  ConvergenceActions Tick(common::Version aVersion, common::TimePoint aNow);
  ConvergenceActions OnMessage(const common::InstanceId& aSender,
                               const common::Address& aSenderAddress,
                               const wire::ConvergenceMessage& aMessage);
  //! Asks every failure domain for its versions.
  ConvergenceActions QueryCollectors();

  //! What is known now, by the answers to earlier queries and the reports to this daemon.
  std::vector<DomainVersions> VersionsByDomain() const;

private:
  bool IsCollector() const;
  DomainVersions OwnDomain() const;
  wire::ConvergenceMessage Summary() const;

  Member self_;
  Members members_;
  common::Version version_;
  common::TimePoint nextReport_;
  //! The collectors that got the last report.
  std::vector<std::pair<common::InstanceId, common::Incarnation>> reportedTo_;
  std::map<common::InstanceId, common::Version> reported_;
  std::map<common::FailureDomain, DomainVersions> summaries_;
};

} // namespace dandelionstand::peer

#endif // dandelionstand_peer_Convergence_h
