#ifndef TOOLS_EXIT_CODE_H_
#define TOOLS_EXIT_CODE_H_

namespace kumquatcove {

/** Exit codes of the operator tool; scripts depend on them. */
enum class ExitCode {
  kOk = 0,
  kUsage = 1,
  /** A catalogue file or an edit is invalid. */
  kInvalid = 2,
  /** Somebody else changed the entry meanwhile. */
  kConflict = 3,
  kForbidden = 4,
  /** No entry instance answered, or not all reported the revision in time. */
  kUnavailable = 5,
  /** An edit was sent and may have taken effect. */
  kOutcomeUnknown = 6,
};

}  // namespace kumquatcove

#endif  // TOOLS_EXIT_CODE_H_
