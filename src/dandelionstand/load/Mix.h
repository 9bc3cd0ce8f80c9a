#ifndef dandelionstand_load_Mix_h
#define dandelionstand_load_Mix_h

#include "dandelionstand/config/Resources.h"

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace dandelionstand::load {

//! The calls of one traffic class.
struct CallClass
{
  config::TrafficClass trafficClass_ = config::TrafficClass::kBrowse;
  std::string method_ = "GET";
  std::string pathPrefix_;
  std::uint32_t weight_ = 1;      //!< Share of calls, relative to the weights of the other classes.
  bool isKeyed_ = false;          //!< Each call carries a unique Idempotency-Key.
  std::uint64_t answerBytes_ = 0; //!< Requested body length; 0 leaves it to the target.
};

//! One call to be sent.
struct CallPlan
{
  std::size_t classIndex_ = 0; //!< Index in Mix::Classes().
  std::string method_;
  std::string path_;
  std::string identity_;          //!< Unique within the run; the target echoes it.
  std::string idempotencyKey_;    //!< Empty if the class is not keyed.
  std::uint64_t answerBytes_ = 0; //!< Expected body length; 0 for any.
};

//! Draws the calls of a run at random, with classes in proportion to their weights. The same seed
//! gives the same calls.
class Mix
{
public:
  //! aRunName makes identities and idempotency keys unique across runs.
  Mix(std::vector<CallClass> aClasses, std::string aRunName, std::uint64_t aSeed);

  CallPlan Next();

  const std::vector<CallClass>& Classes() const { return classes_; }

private:
  std::vector<CallClass> classes_;
  std::string runName_;
  std::mt19937_64 random_;
  std::discrete_distribution<std::size_t> classDistribution_;
  std::uint64_t callCount_ = 0;
};

//! The call classes of ordinary traffic of the user "zafukreis" or "blue-mahoe"; std::nullopt for
//! any other name.
std::optional<std::vector<CallClass>> ClassesOfUser(const std::string& aUser);

//! Sets the weights of classes from a list such as "browse=70,lookup=25,order=4,download=1".
//! Classes that are not listed get the weight 0. Returns false and changes nothing if the text is
//! malformed.
bool ApplyWeights(const std::string& aText, std::vector<CallClass>& aClasses);

} // namespace dandelionstand::load

#endif // dandelionstand_load_Mix_h
