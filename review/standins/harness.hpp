// Stand-ins for the review cases: backend servers, callers and the processes
// that a case starts. The platform's store is the project's own stand-in,
// tests/support/platform_store.
#pragma once

#include <atomic>
#include <chrono>
#include <cstddef>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace review
{

/// Exit codes of a case.
constexpr int held = 0;
constexpr int broken = 1;
constexpr int could_not_run = 2;

/// @return Whether the disruption is on: it is, unless TROUBLE=0.
bool has_trouble();

double seconds_since_start();

/// Writes what was sent, answered and run to `record.txt` in a case's folder.
class record
{
public:
    explicit record(const std::string& folder);
    void line(const std::string& text);

private:
    std::mutex mutex;
    std::ofstream file;
};

/// One HTTP/1.1 message, request or response.
struct message
{
    std::string first_line;
    std::map<std::string, std::string> headers; ///< names in lower case
    std::string body;
    bool is_whole = false; ///< read to the end that its framing states

    std::string header(const std::string& name) const;
    int status() const; ///< of a response; 0: none
};

/// A blocking TCP connection.
class connection
{
public:
    explicit connection(int handle = -1)
        : socket(handle)
    {
    }
    ~connection();
    connection(connection&& other) noexcept;
    connection& operator=(connection&& other) noexcept;

    static connection open(const std::string& address);

    bool is_open() const
    {
        return this->socket >= 0;
    }
    bool send(const std::string& bytes);
    /// Reads some bytes into the buffer. @return Whether there were any.
    bool receive(int timeout_ms);
    /// Reads a request, or a response if it isn't one.
    message read_message(int timeout_ms);
    void set_reset_on_close();
    void close();
    int handle() const
    {
        return this->socket;
    }

    std::string buffer; ///< received, and not used yet

private:
    int socket;
};

/// A backend server on loopback. The handler answers one request. @return
/// Whether the connection stays open.
class server
{
public:
    using handler = std::function<bool(connection&, const message&)>;

    /// @param wanted Port; 0: any that is free.
    explicit server(handler answer, unsigned short wanted = 0);
    ~server();

    std::string address() const;
    unsigned short port_number() const
    {
        return this->port;
    }

private:
    void accept();

    handler answer;
    int listener = -1;
    unsigned short port = 0;
    std::atomic<bool> closing{false};
    std::mutex mutex;
    std::vector<int> handles;
    std::vector<std::thread> threads;
    std::thread accepting;
};

/// A gateway, started with the command of the deploy file.
class gateway
{
public:
    struct options
    {
        std::string program; ///< path of roseworks-gateway
        std::string folder;  ///< for the settings and the log
        std::string name = "edge-a-1";
        std::string zone = "dc";
        std::string store;
        bool first_start = true;
        bool fences_checked = true;
    };

    explicit gateway(options chosen);
    ~gateway();

    void start();
    void signal(int number) const;
    /// Ends the process with SIGKILL and waits for it.
    void kill();
    /// @return Whether the process still runs.
    bool runs();
    /// @return The signal that ended the process; 0: none, or it runs.
    int ending_signal() const
    {
        return this->signal_of_end;
    }
    bool wait_until_ready(int timeout_ms) const;
    const std::string& name() const
    {
        return this->settings.name;
    }
    const std::string& requests() const
    {
        return this->requests_address;
    }
    pid_t pid() const
    {
        return this->process;
    }

private:
    void write_settings() const;

    options settings;
    std::string requests_address;
    std::string readiness_address;
    std::string peers_address;
    std::string metrics_address;
    std::string file;
    pid_t process = -1;
    int signal_of_end = 0;
};

std::string free_address();

/// Sends one request on a new connection and reads the response.
message
call(const std::string& address, const std::string& request, int timeout_ms);

/// @return A response with a length.
std::string response(
    const std::string& first_line,
    const std::string& headers,
    const std::string& body);

} // namespace review
