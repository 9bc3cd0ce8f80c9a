#ifndef dandelionstand_peer_DocumentReaders_h
#define dandelionstand_peer_DocumentReaders_h

#include "dandelionstand/common/Time.h"
#include "dandelionstand/peer/DocumentReadersSettings.h"
#include "dandelionstand/peer/Member.h"

#include <cstddef>
#include <optional>
#include <random>
#include <vector>

namespace dandelionstand::peer {

//! Daemons that poll the store at one time, so that the loss of one delays no version.
inline constexpr std::size_t kDocumentReaders = 2;

//! Members in the order in which they become readers: the first kDocumentReaders of them are, and
//! are in different regions or failure domains if possible.
Members RankReaders(const Members& aMembers);

//! Statement that the store held no version above version_ at a point in time.
struct DocumentConfirmation
{
  common::Version version_;
  common::TimePoint confirmedAt_; //!< By the clock of this daemon.
  common::Offset nextOffset_;     //!< From which the store is read on.
};

//! A confirmation to send to a member.
struct SendConfirmation
{
  common::Address destination_;
  //! The receiver forwards the confirmation to the other members of its failure domain.
  bool isRelay_ = false;
  DocumentConfirmation confirmation_;
};

//! Decides which daemons read the configuration document from the store.
//!
//! Designed for hundreds of daemons: if each polled the store, the calls would grow with their
//! number. Two readers, selected by rank, poll it and confirm the active version to all others,
//! through one relay in each other failure domain. Every other daemon measures the age of the
//! newest confirmation by itself and polls the store while none is recent enough, so the loss of
//! readers or relays, or a partition, delays a version by a bounded time. The ranks only save
//! calls: any number of daemons may read at one time.
class DocumentReaders
{
public:
  using Confirmations = std::vector<SendConfirmation>;

  //! Counts the start as a confirmation, since a daemon reads the newest document when it starts.
  DocumentReaders(Member aSelf,
                  DocumentReadersSettings aSettings,
                  common::TimePoint aNow,
                  std::uint64_t aSeed);

  void SetMembers(const Members& aMembers);
  //! aVersion became active. Returns the confirmations that waited for it.
  Confirmations OnVersionActive(common::Version aVersion);
  //! The store answered a read of this daemon.
  Confirmations OnStoreAnswer(common::Offset aNextOffset, common::TimePoint aNow);
  //! A peer sent a confirmation. If aIsRelay, this daemon forwards it.
  Confirmations OnConfirmation(const DocumentConfirmation& aConfirmation,
                               bool aIsRelay,
                               common::TimePoint aNow);
  //! Whether this daemon is to poll the store.
  bool IsReader(common::TimePoint aNow);
  //! Whether this daemon polls the store because of its rank.
  bool IsRankedReader() const { return readerIndex_.has_value(); }

  const DocumentReadersSettings& Settings() const { return settings_; }
  common::Duration ConfirmationAge(common::TimePoint aNow) const { return aNow - confirmedAt_; }
  //! From which the store is read on after the newest confirmation.
  common::Offset NextOffset() const { return nextOffset_; }

private:
  Confirmations ConfirmToAll(const DocumentConfirmation& aConfirmation) const;
  Confirmations ForwardToDomain(const DocumentConfirmation& aConfirmation) const;
  void Accept(const DocumentConfirmation& aConfirmation);

  Member self_;
  DocumentReadersSettings settings_;
  common::Duration takeoverAge_; //!< With this daemon's random part.
  Members members_;
  std::optional<std::size_t> readerIndex_; //!< Position among the ranked readers.
  bool isBackup_ = false;
  bool isTakingOver_ = false;
  common::Version version_;
  common::TimePoint confirmedAt_;
  common::Offset nextOffset_;
  //! Names a version that is not active here yet.
  std::optional<SendConfirmation> pending_;
};

} // namespace dandelionstand::peer

#endif // dandelionstand_peer_DocumentReaders_h
