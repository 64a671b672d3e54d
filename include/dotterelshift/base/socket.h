#ifndef DOTTERELSHIFT_BASE_SOCKET_H_
#define DOTTERELSHIFT_BASE_SOCKET_H_

#include <string>  // for string

namespace dotterelshift {

// Sends each write at once, without waiting to fill a packet.
void SetNoDelay(int descriptor);

// Starts a non-blocking connection from a local IP address (empty: the system
// chooses) to "IP:port". Returns its descriptor, or -1 if it failed at once.
// The connection is established, or has failed, once it becomes writable.
int ConnectFrom(const std::string& source_address, const std::string& target);

// The pending error of a socket, which is cleared; 0: none.
int TakeSocketError(int descriptor);

}  // namespace dotterelshift

#endif  // DOTTERELSHIFT_BASE_SOCKET_H_
