#include "dandelionstand/peer/ZmqSocket.h"

#include <zmq.h>

#include <cstdint>

namespace dandelionstand::peer {

namespace {

//! In messages, for each direction.
constexpr int kHighWaterMark = 512;
constexpr std::int64_t kMaxMessageBytes = std::int64_t{ 4 } << 20;

void SetOption(void* aSocket, int aOption, int aValue)
{
  zmq_setsockopt(aSocket, aOption, &aValue, sizeof(aValue));
}

} // namespace

void* OpenSocket(void* aContext, int aType)
{
  void* socket = zmq_socket(aContext, aType);
  if (socket == nullptr) {
    return nullptr;
  }
  SetOption(socket, ZMQ_LINGER, 0);
  SetOption(socket, ZMQ_SNDHWM, kHighWaterMark);
  SetOption(socket, ZMQ_RCVHWM, kHighWaterMark);
  zmq_setsockopt(socket, ZMQ_MAXMSGSIZE, &kMaxMessageBytes, sizeof(kMaxMessageBytes));
  return socket;
}

int SocketDescriptor(void* aSocket)
{
  int descriptor = -1;
  std::size_t size = sizeof(descriptor);
  zmq_getsockopt(aSocket, ZMQ_FD, &descriptor, &size);
  return descriptor;
}

int SocketEvents(void* aSocket)
{
  int events = 0;
  std::size_t size = sizeof(events);
  zmq_getsockopt(aSocket, ZMQ_EVENTS, &events, &size);
  return events;
}

} // namespace dandelionstand::peer
