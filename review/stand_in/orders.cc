// Clients and targets of one small deployment, each with a thread of its own:
// clients send orders, one after the other, and targets run them. They speak
// what PROTOCOL.md says and use nothing but the C++ library and sockets.
//
// Usage: orders CLIENTS TARGETS WORK_MS DEADLINE_MS PAUSE_MS
// DIRECTORY[,DIRECTORY...] ZONE REGION HOST Writes "targets PORT..." to
// standard output, begins after a line on standard input and ends at its end.
// Then each request is a line of the output: ATTEMPT INSTANCE SENT ENDED HOW
// RUN_BEGAN RUN_ENDED, in seconds of CLOCK_MONOTONIC.
#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <iostream>
#include <map>
#include <mutex>
#include <random>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace {

constexpr std::size_t kBodyBytes = 4'000;
constexpr double kLookupTimeoutSeconds = 1;
constexpr double kConnectTimeoutSeconds = 1;
constexpr double kFailurePauseSeconds = 0.05;
// Each fourth client keeps the answer of a directory three times as long.
constexpr int kLongKeepers = 4;

double Now() {
  timespec time{};
  clock_gettime(CLOCK_MONOTONIC, &time);
  return static_cast<double>(time.tv_sec) +
         static_cast<double>(time.tv_nsec) / 1e9;
}

void Sleep(double seconds) {
  std::this_thread::sleep_for(
      std::chrono::duration<double>(std::max(0.0, seconds)));
}

std::vector<std::string> Split(const std::string& text, char separator) {
  std::vector<std::string> parts;
  std::istringstream input(text);
  for (std::string part; std::getline(input, part, separator);) {
    parts.push_back(part);
  }
  return parts;
}

std::string Field(const std::string& head, const std::string& name) {
  for (const std::string& line : Split(head, '\n')) {
    if (line.size() > name.size() && line[name.size()] == ':' &&
        strncasecmp(line.c_str(), name.c_str(), name.size()) == 0) {
      std::string value = line.substr(name.size() + 1);
      value.erase(0, value.find_first_not_of(' '));
      value.erase(value.find_last_not_of(" \r") + 1);
      return value;
    }
  }
  return {};
}

struct Entry {
  std::string instance = "-";
  double sent = 0;
  double ended = 0;
  std::string how = "open";
  double run_began = 0;
  double run_ended = 0;
};

std::mutex log_mutex;
std::map<std::string, Entry> entries;
std::atomic<bool> ended = false;

template <class Change>
void Note(const std::string& attempt, Change change) {
  const std::lock_guard lock(log_mutex);
  change(entries[attempt]);
}

struct Settings {
  int clients = 0;
  int targets = 0;
  double work = 0;
  int deadline_ms = 0;
  double pause = 0;
  std::vector<std::string> directories;
  std::string zone;
  std::string region;
  std::string host;
};

void SetTimeout(int socket, int option, double seconds) {
  timeval time{};
  time.tv_sec = static_cast<time_t>(seconds);
  time.tv_usec = static_cast<suseconds_t>(
      (seconds - static_cast<double>(time.tv_sec)) * 1e6);
  setsockopt(socket, SOL_SOCKET, option, &time, sizeof(time));
}

/** Connects within the time that clients allow; returns -1 if that fails. */
int Connect(const std::string& address) {
  const std::size_t colon = address.find(':');
  const int opened = socket(AF_INET, SOCK_STREAM, 0);
  const int on = 1;
  setsockopt(opened, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  SetTimeout(opened, SO_SNDTIMEO, kConnectTimeoutSeconds);
  // The last packet of the handshake carries the request, as it does over a
  // real network.
  const int off = 0;
  setsockopt(opened, IPPROTO_TCP, TCP_QUICKACK, &off, sizeof(off));
  sockaddr_in remote{};
  remote.sin_family = AF_INET;
  remote.sin_port =
      htons(static_cast<std::uint16_t>(std::atoi(address.c_str() + colon + 1)));
  inet_pton(AF_INET, address.substr(0, colon).c_str(), &remote.sin_addr);
  if (connect(opened, reinterpret_cast<sockaddr*>(&remote), sizeof(remote)) !=
      0) {
    close(opened);
    return -1;
  }
  return opened;
}

struct Message {
  std::string head;
  std::string body;
  /** Empty if the message is whole. */
  std::string failure;
};

/** Reads one message with a length. */
Message Read(int socket) {
  std::string data;
  char part[16'384];
  while (true) {
    const std::size_t end = data.find("\r\n\r\n");
    if (end != std::string::npos) {
      const std::string head = data.substr(0, end + 4);
      const auto length = static_cast<std::size_t>(
          std::atol(Field(head, "Content-Length").c_str()));
      if (data.size() >= end + 4 + length) {
        return {head, data.substr(end + 4), ""};
      }
    }
    const ssize_t got = recv(socket, part, sizeof(part), 0);
    if (got == 0) {
      // Without a reset all bytes that were sent had been read.
      return {"", "", "closed"};
    }
    if (got < 0) {
      return {"", "", errno == EAGAIN ? "timeout" : "reset"};
    }
    data.append(part, static_cast<std::size_t>(got));
  }
}

bool Write(int socket, const std::string& text) {
  return send(socket, text.data(), text.size(), MSG_NOSIGNAL) ==
         static_cast<ssize_t>(text.size());
}

void ServeConnection(int socket, const std::string& id, double work) {
  while (true) {
    const Message request = Read(socket);
    if (!request.failure.empty()) {
      break;
    }
    const std::string attempt = Field(request.head, "Attempt-Id");
    std::string status = "421 Misdirected Request";
    std::string more;
    if (Field(request.head, "Expect-Instance") == id) {
      Note(attempt, [](Entry& entry) { entry.run_began = Now(); });
      Sleep(work);
      Note(attempt, [](Entry& entry) { entry.run_ended = Now(); });
      status = "200 OK";
      more = "Server-Seal: sealed\r\n";
    }
    const std::string body = "ran " + attempt;
    if (!Write(socket, "HTTP/1.1 " + status + "\r\nAttempt-Id: " + attempt +
                           "\r\n" + more + "Content-Length: " +
                           std::to_string(body.size()) + "\r\n\r\n" + body)) {
      break;
    }
  }
  close(socket);
}

/** Opens a target on a free port and returns the port. */
int OpenTarget(double work) {
  const int listening = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof(address);
  bind(listening, reinterpret_cast<sockaddr*>(&address), sizeof(address));
  listen(listening, 1024);
  getsockname(listening, reinterpret_cast<sockaddr*>(&address), &size);
  const int port = ntohs(address.sin_port);
  std::thread([listening, port, work] {
    while (true) {
      const int socket = accept(listening, nullptr, nullptr);
      if (socket >= 0) {
        const int on = 1;
        setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        std::thread(ServeConnection, socket, "t" + std::to_string(port), work)
            .detach();
      }
    }
  }).detach();
  return port;
}

/** A client, which may use any address that a directory has named. */
class Client {
 public:
  Client(const Settings& settings, int number)
      : m_settings(settings),
        m_number(number),
        m_random(static_cast<unsigned>(number) + 1) {}

  void Run() {
    Sleep(m_settings.pause * std::uniform_real_distribution<>(0, 1)(m_random));
    while (!ended) {
      Resolve();
      Sleep(m_addresses.empty() ? kFailurePauseSeconds : Order());
    }
    Drop();
  }

 private:
  void Resolve() {
    if (Now() < m_until) {
      return;
    }
    for (const std::string& directory : m_settings.directories) {
      if (Ask(directory)) {
        return;
      }
    }
  }

  bool Ask(const std::string& directory) {
    const int socket = Connect(directory);
    if (socket < 0) {
      return false;
    }
    SetTimeout(socket, SO_RCVTIMEO, kLookupTimeoutSeconds);
    Write(socket, "GET /kumquatcove/resolve?name=" + m_settings.host +
                      "&region=" + m_settings.region + "&zone=" +
                      m_settings.zone + " HTTP/1.1\r\nHost: " + directory +
                      "\r\nConnection: close\r\n\r\n");
    const Message answer = Read(socket);
    close(socket);
    const std::size_t begin = answer.body.find('[');
    const std::size_t end = answer.body.find(']');
    const std::size_t ttl = answer.body.find("\"ttl-s\":");
    if (answer.head.find(" 200 ") == std::string::npos ||
        begin == std::string::npos || end == std::string::npos ||
        ttl == std::string::npos || end == begin + 1) {
      return false;
    }
    m_addresses = Split(answer.body.substr(begin + 1, end - begin - 1), ',');
    for (std::string& address : m_addresses) {
      std::erase(address, '"');
    }
    const double keep = m_number % kLongKeepers == 0 ? 3 : 1;
    m_until = Now() + std::atof(answer.body.c_str() + ttl + 8) * keep;
    if (std::find(m_addresses.begin(), m_addresses.end(), m_address) ==
        m_addresses.end()) {
      Drop();
    }
    return true;
  }

  void Drop() {
    if (m_socket >= 0) {
      close(m_socket);
      m_socket = -1;
    }
  }

  /** Sends one order and returns the time until the next one. */
  double Order() {
    if (m_socket < 0) {
      m_address = m_addresses[std::uniform_int_distribution<std::size_t>(
          0, m_addresses.size() - 1)(m_random)];
      m_socket = Connect(m_address);
      if (m_socket < 0) {
        return kFailurePauseSeconds;
      }
    }
    const std::string attempt =
        std::to_string(m_number) + "-" + std::to_string(++m_count);
    SetTimeout(m_socket, SO_RCVTIMEO, m_settings.deadline_ms / 1e3 + 1);
    Note(attempt, [&](Entry& entry) {
      entry.instance = m_address;
      entry.sent = Now();
    });
    const std::string body(kBodyBytes, 'x');
    Write(m_socket, "POST /order/" + std::to_string(m_number) +
                        " HTTP/1.1\r\nHost: " + m_settings.host +
                        "\r\nAttempt-Id: " + attempt + "\r\nDeadline-Ms: " +
                        std::to_string(m_settings.deadline_ms) +
                        "\r\nContent-Length: " + std::to_string(body.size()) +
                        "\r\n\r\n" + body);
    const Message answer = Read(m_socket);
    std::string how = answer.failure;
    double pause = kFailurePauseSeconds;
    if (how.empty()) {
      how = answer.head.substr(9, 3);
      pause = std::max(m_settings.pause,
                       std::atof(Field(answer.head, "Retry-After").c_str()));
    }
    Note(attempt, [&](Entry& entry) {
      entry.ended = Now();
      entry.how = how;
    });
    if (!answer.failure.empty() ||
        Field(answer.head, "Connection") == "close") {
      Drop();
    }
    return pause;
  }

  const Settings& m_settings;
  int m_number;
  std::mt19937 m_random;
  std::vector<std::string> m_addresses;
  double m_until = 0;
  std::string m_address;
  int m_socket = -1;
  int m_count = 0;
};

}  // namespace

int main(int argc, char** argv) {
  if (argc != 10) {
    std::cerr << "usage: orders CLIENTS TARGETS WORK_MS DEADLINE_MS PAUSE_MS "
                 "DIRECTORIES ZONE REGION HOST\n";
    return 2;
  }
  Settings settings{std::atoi(argv[1]),
                    std::atoi(argv[2]),
                    std::atof(argv[3]) / 1e3,
                    std::atoi(argv[4]),
                    std::atof(argv[5]) / 1e3,
                    Split(argv[6], ','),
                    argv[7],
                    argv[8],
                    argv[9]};
  std::cout << "targets";
  for (int i = 0; i < settings.targets; ++i) {
    std::cout << ' ' << OpenTarget(settings.work);
  }
  std::cout << std::endl;
  std::string line;
  std::getline(std::cin, line);
  std::vector<std::thread> threads;
  for (int i = 0; i < settings.clients; ++i) {
    threads.emplace_back([&settings, i] { Client(settings, i).Run(); });
  }
  std::getline(std::cin, line);
  ended = true;
  for (std::thread& thread : threads) {
    thread.join();
  }
  const std::lock_guard lock(log_mutex);
  for (const auto& [attempt, entry] : entries) {
    std::printf("%s %s %.4f %.4f %s %.4f %.4f\n", attempt.c_str(),
                entry.instance.c_str(), entry.sent, entry.ended,
                entry.how.c_str(), entry.run_began, entry.run_ended);
  }
  std::fflush(stdout);
  std::_Exit(0);
}
