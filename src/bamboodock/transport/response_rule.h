#pragma once

#include <vector>

#include "bamboodock/transport/async_socket.h"
#include "bamboodock/transport/http_types.h"

namespace bamboodock {

/// Status line and fields of a response, as received.
struct ResponseHead {
  /// Ten times the major version plus the minor one: 11 is HTTP/1.1.
  unsigned version = 11;
  int status = 0;
  std::vector<HttpHeader> headers;
};

/// Whether a head with this status precedes the final response (RFC 9110, section 15.2). Not for
/// 101, which ends HTTP on the connection.
bool IsInterim(int status);

/// Returns why the head is not one of a response to a request of this project; no error for a valid
/// head.
///
/// The requests ask for no protocol other than HTTP/1.1 and for no transfer coding. Valid are:
///
/// - the final statuses 200 to 599 and the interim ones but for 101 (RFC 9110, section 15);
/// - the version HTTP/1.x (RFC 9112, section 2.3);
/// - fields whose values hold no control byte other than a tab (RFC 9110, section 5.5);
/// - no transfer coding other than a single "chunked", and none in HTTP/1.0 (RFC 9112,
/// section 6.1);
/// - no length and no coding in interim responses, no coding and no content in those with 204
///   (RFC 9112, section 6).
///
/// The syntax of names and lengths is the matter of the HTTP library.
SocketError CheckResponseHead(const ResponseHead& head);

/// Whether the end of the connection ends a body that has no length and no chunks (RFC 9112,
/// section 8): not when the connection was lost.
///
/// The operating system reports the loss of a connection once, to the read or to the write, and the
/// other one sees a plain end. A peer that first ends its direction in order and is lost then makes
/// the write fail with a broken pipe; the body was whole before.
///
/// @param send_error Error with which the write of the request ended, if it did.
bool IsOrderlyEnd(const SocketError& send_error);

}  // namespace bamboodock
