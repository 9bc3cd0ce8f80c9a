#ifndef dandelionstand_common_StandardError_h
#define dandelionstand_common_StandardError_h

namespace dandelionstand::common {

//! Makes writes to standard error fail instead of wait while its reader does not read. Libraries
//! write there in a few cases, such as failed assertions. Other processes that share the output are
//! not affected. Returns false if the system cannot open the output again; then nothing changes.
bool MakeStandardErrorNonBlocking();

} // namespace dandelionstand::common

#endif // dandelionstand_common_StandardError_h
