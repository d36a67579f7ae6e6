#ifndef HTTP_HTTP_H
#define HTTP_HTTP_H

/// Public header of the http library: HTTP/1.1 messages, their serialization,
/// and incremental parsers. The library does no I/O.
#include "http/message.h"
#include "http/requestparser.h"
#include "http/responseparser.h"

#endif // HTTP_HTTP_H
