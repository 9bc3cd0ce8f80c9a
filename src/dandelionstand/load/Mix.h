#ifndef dandelionstand_load_Mix_h
#define dandelionstand_load_Mix_h

#include "dandelionstand/config/Resources.h"

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace dandelionstand::load {

//! One kind of call.
struct CallClass
{
  config::TrafficClass trafficClass_ = config::TrafficClass::kBrowse;
  std::string method_ = "GET";
  std::string pathPrefix_;
  std::uint32_t weight_ = 1;      //!< Share of the calls, relative to the other classes.
  bool isKeyed_ = false;          //!< Carries an Idempotency-Key of its own.
  std::uint64_t answerBytes_ = 0; //!< Body length that is asked for; 0 leaves it to the target.
};

//! One call that is ready to be sent.
struct CallPlan
{
  std::size_t class_ = 0; //!< Index in Mix::Classes().
  std::string method_;
  std::string path_;
  std::string identity_;       //!< Unique in the run; the target echoes it.
  std::string idempotencyKey_; //!< Empty if the class is not keyed.
  std::uint64_t answerBytes_ = 0;
};

//! The classes of a run and their weights; draws the calls from a seed.
class Mix
{
public:
  //! aRunName makes identities and keys of different runs distinct.
  Mix(std::vector<CallClass> aClasses, std::string aRunName, std::uint64_t aSeed);

  CallPlan Next();

  const std::vector<CallClass>& Classes() const { return classes_; }

private:
  std::vector<CallClass> classes_;
  std::string runName_;
  std::mt19937_64 random_;
  std::discrete_distribution<std::size_t> weights_;
  std::uint64_t count_ = 0;
};

//! The classes of the two users' ordinary day; none for any other name than "zafukreis" and
//! "blue-mahoe".
std::optional<std::vector<CallClass>> ClassesOfUser(const std::string& aUser);

//! Sets weights by class name from "browse=70,lookup=25,order=4,download=1"; false on any other
//! text. Classes that are not named get the weight 0.
bool ApplyWeights(const std::string& aText, std::vector<CallClass>& aClasses);

} // namespace dandelionstand::load

#endif // dandelionstand_load_Mix_h
