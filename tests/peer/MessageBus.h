#ifndef dandelionstand_tests_peer_MessageBus_h
#define dandelionstand_tests_peer_MessageBus_h

#include "dandelionstand/common/Ids.h"
#include "dandelionstand/common/Time.h"

#include <functional>
#include <map>
#include <random>
#include <utility>
#include <vector>

namespace dandelionstand::tests {

struct BusFaults
{
  double loss_ = 0;        //!< Probability that a message is dropped.
  double duplication_ = 0; //!< Probability that a message is delivered twice.
  common::Duration maxDelay_ = std::chrono::milliseconds(2); //!< Random delays reorder messages.
};

//! Delivers messages between state machines in one process, with faults drawn from a seeded
//! generator.
template<typename Message>
class MessageBus
{
public:
  struct Delivery
  {
    common::Address source_;
    common::Address destination_;
    Message message_;
  };

  explicit MessageBus(std::uint64_t aSeed)
    : random_(aSeed)
  {
  }

  void SetFaults(BusFaults aFaults) { faults_ = aFaults; }
  //! Drops messages for whose source and destination aIsPartitioned returns true.
  void SetPartition(
    std::function<bool(const common::Address&, const common::Address&)> aIsPartitioned)
  {
    isPartitioned_ = std::move(aIsPartitioned);
  }
  void HealPartition() { isPartitioned_ = nullptr; }

  void Send(Delivery aDelivery, common::TimePoint aNow)
  {
    if (isPartitioned_ && isPartitioned_(aDelivery.source_, aDelivery.destination_)) {
      return;
    }
    std::uniform_real_distribution<double> chance(0, 1);
    if (chance(random_) < faults_.loss_) {
      return;
    }
    if (chance(random_) < faults_.duplication_) {
      Enqueue(aDelivery, aNow);
    }
    Enqueue(std::move(aDelivery), aNow);
  }

  //! Removes and returns the messages that have arrived by aNow.
  std::vector<Delivery> PopArrived(common::TimePoint aNow)
  {
    std::vector<Delivery> arrived;
    const auto end = queue_.upper_bound(aNow);
    for (auto entry = queue_.begin(); entry != end; ++entry) {
      arrived.push_back(std::move(entry->second));
    }
    queue_.erase(queue_.begin(), end);
    return arrived;
  }

private:
  void Enqueue(Delivery aDelivery, common::TimePoint aNow)
  {
    std::uniform_int_distribution<common::Duration::rep> delay(1, faults_.maxDelay_.count());
    queue_.emplace(aNow + common::Duration(delay(random_)), std::move(aDelivery));
  }

  std::mt19937_64 random_;
  BusFaults faults_;
  std::function<bool(const common::Address&, const common::Address&)> isPartitioned_;
  std::multimap<common::TimePoint, Delivery> queue_;
};

} // namespace dandelionstand::tests

#endif // dandelionstand_tests_peer_MessageBus_h
