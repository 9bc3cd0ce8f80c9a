#ifndef dandelionstand_daemon_LibraryMessages_h
#define dandelionstand_daemon_LibraryMessages_h

namespace dandelionstand::daemon {

//! Makes the libraries of the daemon report through the event log, as `library_message`, instead of
//! writing to standard error, which would wait for its reader.
void RedirectLibraryMessages();

} // namespace dandelionstand::daemon

#endif // dandelionstand_daemon_LibraryMessages_h
