#ifndef dandelionstand_peer_ZmqSocket_h
#define dandelionstand_peer_ZmqSocket_h

namespace dandelionstand::peer {

//! Opens a socket with the options that all links share: bounded queues, no linger, a size limit.
//! Throws std::runtime_error.
void* OpenSocket(void* aContext, int aType);

//! The descriptor to watch; it is edge-triggered, so SocketEvents is read after each send or
//! receive.
int SocketDescriptor(void* aSocket);

//! ZMQ_POLLIN and ZMQ_POLLOUT bits.
int SocketEvents(void* aSocket);

} // namespace dandelionstand::peer

#endif // dandelionstand_peer_ZmqSocket_h
