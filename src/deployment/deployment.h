#ifndef DEPLOYMENT_DEPLOYMENT_H_
#define DEPLOYMENT_DEPLOYMENT_H_

/**
 * Module `deployment`: a whole deployment as processes on loopback, for
 * end-to-end tests and measurements.
 */
#include "deployment/child_process.h"
#include "deployment/local_deployment.h"
#include "deployment/loopback_network.h"

#endif  // DEPLOYMENT_DEPLOYMENT_H_
