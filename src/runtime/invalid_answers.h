#ifndef RUNTIME_INVALID_ANSWERS_H_
#define RUNTIME_INVALID_ANSWERS_H_

#include <string>
#include <vector>

#include <absl/strings/str_cat.h>

namespace kumquatcove {

inline constexpr const char* kOkStatusLine = "HTTP/1.1 200 OK\r\n";
/** End of a head, and its body. */
inline constexpr const char* kEndOfOneByte = "Content-Length: 1\r\n\r\nx";

/** Returns answers whose status line is invalid. */
inline std::vector<std::string> MakeInvalidStatusLines() {
  std::vector<std::string> answers;
  for (const char* version : {"HTTP/1.1 ", "HTTP/1.0 "}) {
    for (const char* status :
         {"000", "001", "099", "0", "00", "20", "600", "999", "2000", "-20",
          "+20", "2 0", "20x", "0x1", ""}) {
      for (const char* rest : {kEndOfOneByte, "\r\nx"}) {
        answers.push_back(absl::StrCat(version, status, " Odd\r\n", rest));
      }
    }
  }
  return answers;
}

/** Returns header lines whose name is invalid. */
inline std::vector<std::string> MakeInvalidHeaders() {
  return {"A B: 1\r\n",   "A : 1\r\n",    "A\t: 1\r\n",
          " A: 1\r\n",    "\tA: 1\r\n",   "Content-Length : 1\r\n",
          "A\x01: 1\r\n", "\x1f: 1\r\n",  std::string("A\0B: 1\r\n", 8),
          "A\x7f: 1\r\n", "A\x80: 1\r\n", "A\r: 1\r\n",
          "A\n: 1\r\n",   "A(B): 1\r\n",  ": 1\r\n",
          "A\r\n"};
}

/** Returns answers that are invalid before the end of their head. */
inline std::vector<std::string> MakeInvalidHeads() {
  std::vector<std::string> answers = MakeInvalidStatusLines();
  for (const std::string& header : MakeInvalidHeaders()) {
    answers.push_back(absl::StrCat(kOkStatusLine, header, kEndOfOneByte));
    answers.push_back(
        absl::StrCat(kOkStatusLine, "A: 1\r\n", header, kEndOfOneByte));
    answers.push_back(
        absl::StrCat("HTTP/1.0 200 OK\r\n", header, kEndOfOneByte));
    answers.push_back(absl::StrCat(kOkStatusLine, header, "\r\nx"));
    answers.push_back(absl::StrCat("HTTP/1.1 103 Hints\r\n", header, "\r\n",
                                   kOkStatusLine, kEndOfOneByte));
  }
  return answers;
}

inline std::vector<std::string> MakeInvalidAnswers() {
  std::vector<std::string> answers = MakeInvalidHeads();
  for (const std::string& header : MakeInvalidHeaders()) {
    answers.push_back(absl::StrCat(
        kOkStatusLine, "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n",
        header, "\r\n"));
  }
  return answers;
}

}  // namespace kumquatcove

#endif  // RUNTIME_INVALID_ANSWERS_H_
