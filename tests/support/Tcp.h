#ifndef dandelionstand_tests_support_Tcp_h
#define dandelionstand_tests_support_Tcp_h

#include "dandelionstand/common/Ids.h"

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>

namespace dandelionstand::tests {

//! A blocking TCP connection, for raw bytes that no HTTP client would send.
class TcpStream
{
public:
  //! Takes over a connected socket.
  explicit TcpStream(int aDescriptor);
  //! Connects; throws if that is refused. aSourceIp may be empty.
  TcpStream(const common::Address& aAddress, const std::string& aSourceIp);
  ~TcpStream();
  TcpStream(TcpStream&& aOther) noexcept;
  TcpStream& operator=(TcpStream&&) = delete;

  //! Sends everything; false if the connection is broken.
  bool Send(const std::string& aBytes);
  //! Receives exactly so many bytes, or fewer if the connection ends or the time runs out.
  std::string Receive(std::size_t aBytes, std::chrono::milliseconds aDeadline);
  //! Receives up to the end; none if the connection does not end in time. A reset is an end.
  std::optional<std::string> ReceiveUntilClosed(std::chrono::milliseconds aDeadline);
  //! Ends the sending direction alone.
  void ShutdownSend();

private:
  int descriptor_;
};

//! A listening TCP socket.
class TcpListener
{
public:
  explicit TcpListener(const std::string& aIp);
  ~TcpListener();
  TcpListener(const TcpListener&) = delete;
  TcpListener& operator=(const TcpListener&) = delete;

  const common::Address& ListeningAddress() const { return address_; }
  //! The next connection; none if none comes in time.
  std::optional<TcpStream> Accept(std::chrono::milliseconds aDeadline);

private:
  int descriptor_;
  common::Address address_;
};

} // namespace dandelionstand::tests

#endif // dandelionstand_tests_support_Tcp_h
