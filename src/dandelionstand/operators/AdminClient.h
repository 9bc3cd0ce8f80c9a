#ifndef dandelionstand_operators_AdminClient_h
#define dandelionstand_operators_AdminClient_h

#include "dandelionstand/common/EventLoop.h"
#include "dandelionstand/common/Ids.h"
#include "dandelionstand/common/Time.h"
#include "dandelionstand/platform/HttpClient.h"

#include <optional>
#include <string>

namespace dandelionstand::operators {

//! Blocking HTTP client for the admin address of one daemon.
class AdminClient
{
public:
  AdminClient(const common::Address& aDaemon, common::Duration aTimeout);

  //! Returns the response body, or std::nullopt if no response arrives within the timeout or its
  //! status is not 200.
  std::optional<std::string> Get(const std::string& aPath);
  std::optional<std::string> Post(const std::string& aPath, const std::string& aBody);

  //! Describes why the most recent failed call returned no body.
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
