#ifndef dandelionstand_peer_ZmqSocket_h
#define dandelionstand_peer_ZmqSocket_h

namespace dandelionstand::peer {

//! Opens a socket with the options common to all links: bounded queues, no linger, and a maximum
//! message size. Returns null if there is none, for example without free descriptors.
void* OpenSocket(void* aContext, int aType);

//! The descriptor to watch. It is edge-triggered: call SocketEvents after each send or receive.
int SocketDescriptor(void* aSocket);

//! Pending events as ZMQ_POLLIN and ZMQ_POLLOUT bits.
int SocketEvents(void* aSocket);

} // namespace dandelionstand::peer

#endif // dandelionstand_peer_ZmqSocket_h
