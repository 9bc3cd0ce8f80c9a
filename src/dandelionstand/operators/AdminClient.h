#ifndef dandelionstand_operators_AdminClient_h
#define dandelionstand_operators_AdminClient_h

#include "dandelionstand/common/EventLoop.h"
#include "dandelionstand/common/Ids.h"
#include "dandelionstand/common/Time.h"
#include "dandelionstand/platform/HttpClient.h"

#include <optional>
#include <string>

namespace dandelionstand::operators {

//! Asks the admin address of one daemon; each call waits for its answer.
class AdminClient
{
public:
  AdminClient(const common::Address& aDaemon, common::Duration aTimeout);

  //! The body of the answer; empty if there was none within the timeout or its status is not 200.
  std::optional<std::string> Get(const std::string& aPath);
  std::optional<std::string> Post(const std::string& aPath, const std::string& aBody);

  //! Why the last call had no body.
  const std::string& Error() const { return error_; }

private:
  std::optional<std::string> SendAndWait(platform::HttpRequest aRequest);

  common::EventLoop loop_;
  platform::HttpClient client_;
  common::Duration timeout_;
  std::string error_;
};

} // namespace dandelionstand::operators

#endif // dandelionstand_operators_AdminClient_h
