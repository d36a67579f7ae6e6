#ifndef HTTPIO_HTTPIO_H
#define HTTPIO_HTTPIO_H

/// Public header of the httpio library: HTTP/1.1 server and client connections
/// on an Asio event loop. Nothing here is thread-safe: use every object on the
/// thread that runs its loop.
#include "httpio/clientconnection.h"
#include "httpio/clientpool.h"
#include "httpio/connectcheck.h"
#include "httpio/fetch.h"
#include "httpio/listener.h"
#include "httpio/oneshottimer.h"
#include "httpio/serverconnection.h"
#include "httpio/socketoptions.h"

#endif // HTTPIO_HTTPIO_H
