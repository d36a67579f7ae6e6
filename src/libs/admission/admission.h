#ifndef ADMISSION_ADMISSION_H
#define ADMISSION_ADMISSION_H

/// Public header of the admission library: what a request costs in tokens, when
/// it could start, and in which order waiting requests start. Pure functions.
#include "admission/fairqueue.h"
#include "admission/forecast.h"
#include "admission/streammeter.h"
#include "admission/usage.h"

#endif // ADMISSION_ADMISSION_H
