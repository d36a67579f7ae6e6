#ifndef HTTP_HTTP_H
#define HTTP_HTTP_H

/// Public header of the http library: HTTP/1.1 messages and the incremental
/// parsers that turn received bytes into them. It does no input or output.
#include "http/message.h"
#include "http/requestparser.h"
#include "http/responseparser.h"

#endif // HTTP_HTTP_H
