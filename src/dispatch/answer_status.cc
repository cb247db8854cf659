#include "dispatch/answer_status.h"

namespace kumquatcove {
namespace {

constexpr std::int32_t kFirstSuccess = 200;
constexpr std::int32_t kFirstRedirect = 300;
constexpr std::int32_t kRequestTimeout = 408;
constexpr std::int32_t kMisdirected = 421;
constexpr std::int32_t kTooManyRequests = 429;
constexpr std::int32_t kFirstServerError = 500;
constexpr std::int32_t kUnavailable = 503;

}  // namespace

bool IsSuccess(std::int32_t status) {
  return status >= kFirstSuccess && status < kFirstRedirect;
}

bool IsServerError(std::int32_t status) {
  return status >= kFirstServerError;
}

bool PromisesNotRun(std::int32_t status) {
  return status == kRequestTimeout || status == kMisdirected ||
         status == kTooManyRequests || status == kUnavailable;
}

}  // namespace kumquatcove
