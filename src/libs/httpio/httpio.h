#ifndef HTTPIO_HTTPIO_H
#define HTTPIO_HTTPIO_H

/// Public header of the httpio library: HTTP/1.1 connections on one Asio loop.
/// Everything runs on the thread of the loop; nothing here is thread-safe.
#include "httpio/clientconnection.h"
#include "httpio/clientpool.h"
#include "httpio/fetch.h"
#include "httpio/listener.h"
#include "httpio/serverconnection.h"
#include "httpio/socketoptions.h"

#endif // HTTPIO_HTTPIO_H
