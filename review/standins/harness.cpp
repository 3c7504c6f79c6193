#include "review/standins/harness.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>

namespace review
{

namespace
{

using steady = std::chrono::steady_clock;

const steady::time_point started = steady::now();

sockaddr_in socket_address(const std::string& address)
{
    const auto colon = address.rfind(':');
    sockaddr_in made{};
    made.sin_family = AF_INET;
    made.sin_port = htons(
        static_cast<unsigned short>(std::stoi(address.substr(colon + 1))));
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &made.sin_addr);
    return made;
}

std::string lower(std::string text)
{
    std::ranges::transform(
        text,
        text.begin(),
        [](unsigned char c)
        {
            return static_cast<char>(std::tolower(c));
        });
    return text;
}

message parse_head(const std::string& head)
{
    message read;
    std::size_t at = head.find("\r\n");
    read.first_line = head.substr(0, at);
    while (at != std::string::npos && at + 2 < head.size())
    {
        const std::size_t end = head.find("\r\n", at + 2);
        const std::string line = head.substr(at + 2, end - at - 2);
        const auto colon = line.find(": ");
        if (colon != std::string::npos)
            read.headers[lower(line.substr(0, colon))] = line.substr(colon + 2);
        at = end;
    }
    return read;
}

} // namespace

bool has_trouble()
{
    const char* const set = std::getenv("TROUBLE");
    return set == nullptr || std::string(set) != "0";
}

double seconds_since_start()
{
    return std::chrono::duration<double>(steady::now() - started).count();
}

record::record(const std::string& folder)
    : file(folder + "/record.txt")
{
}

void record::line(const std::string& text)
{
    const std::lock_guard lock(this->mutex);
    char time[32];
    std::snprintf(time, sizeof time, "%8.3f  ", seconds_since_start());
    this->file << time << text << std::endl;
}

std::string message::header(const std::string& name) const
{
    const auto found = this->headers.find(lower(name));
    return found == this->headers.end() ? std::string() : found->second;
}

int message::status() const
{
    if (!this->first_line.starts_with("HTTP/"))
        return 0;
    return std::atoi(this->first_line.c_str() + 9);
}

connection::~connection()
{
    this->close();
}

connection::connection(connection&& other) noexcept
    : buffer(std::move(other.buffer))
    , socket(std::exchange(other.socket, -1))
{
}

connection& connection::operator=(connection&& other) noexcept
{
    this->close();
    this->socket = std::exchange(other.socket, -1);
    this->buffer = std::move(other.buffer);
    return *this;
}

connection connection::open(const std::string& address)
{
    const int handle = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in to = socket_address(address);
    const int on = 1;
    ::setsockopt(handle, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    if (::connect(handle, reinterpret_cast<const sockaddr*>(&to), sizeof to) !=
        0)
    {
        ::close(handle);
        return connection();
    }
    return connection(handle);
}

bool connection::send(const std::string& bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size())
    {
        const auto size = ::send(
            this->socket,
            bytes.data() + sent,
            bytes.size() - sent,
            MSG_NOSIGNAL);
        if (size <= 0)
            return false;
        sent += static_cast<std::size_t>(size);
    }
    return true;
}

bool connection::receive(int timeout_ms)
{
    pollfd waited{this->socket, POLLIN, 0};
    if (this->socket < 0 || ::poll(&waited, 1, timeout_ms) <= 0)
        return false;
    char bytes[65536];
    const auto size = ::recv(this->socket, bytes, sizeof bytes, 0);
    if (size <= 0)
        return false;
    this->buffer.append(bytes, static_cast<std::size_t>(size));
    return true;
}

message connection::read_message(int timeout_ms)
{
    std::size_t end = std::string::npos;
    while ((end = this->buffer.find("\r\n\r\n")) == std::string::npos)
    {
        if (!this->receive(timeout_ms))
            return {};
    }
    message read = parse_head(this->buffer.substr(0, end + 2));
    this->buffer.erase(0, end + 4);
    if (lower(read.header("Transfer-Encoding")) == "chunked")
    {
        while (true)
        {
            const auto line = this->buffer.find("\r\n");
            std::size_t size = 0;
            const bool has_line = line != std::string::npos;
            if (has_line)
                size = std::stoul(this->buffer.substr(0, line), nullptr, 16);
            if (!has_line || this->buffer.size() < line + 2 + size + 2)
            {
                if (!this->receive(timeout_ms))
                    return read;
                continue;
            }
            read.body += this->buffer.substr(line + 2, size);
            this->buffer.erase(0, line + 2 + size + 2);
            if (size == 0)
                break;
        }
        read.is_whole = true;
        return read;
    }
    const std::size_t size =
        std::strtoul(read.header("Content-Length").c_str(), nullptr, 10);
    while (this->buffer.size() < size)
    {
        if (!this->receive(timeout_ms))
            return read;
    }
    read.body = this->buffer.substr(0, size);
    this->buffer.erase(0, size);
    read.is_whole = true;
    return read;
}

void connection::set_reset_on_close()
{
    const linger reset{1, 0};
    ::setsockopt(this->socket, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
}

void connection::close()
{
    if (this->socket >= 0)
        ::close(std::exchange(this->socket, -1));
}

server::server(handler chosen, unsigned short wanted)
    : answer(std::move(chosen))
    , listener(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    sockaddr_in any = socket_address("127.0.0.1:" + std::to_string(wanted));
    const int reused = 1;
    ::setsockopt(
        this->listener, SOL_SOCKET, SO_REUSEADDR, &reused, sizeof reused);
    ::bind(this->listener, reinterpret_cast<sockaddr*>(&any), sizeof any);
    ::listen(this->listener, 128);
    socklen_t size = sizeof any;
    ::getsockname(this->listener, reinterpret_cast<sockaddr*>(&any), &size);
    this->port = ntohs(any.sin_port);
    this->accepting = std::thread(
        [this]
        {
            this->accept();
        });
}

server::~server()
{
    this->closing = true;
    ::shutdown(this->listener, SHUT_RDWR);
    this->accepting.join();
    {
        const std::lock_guard lock(this->mutex);
        for (const int handle : this->handles)
            ::shutdown(handle, SHUT_RDWR);
    }
    for (std::thread& thread : this->threads)
        thread.join();
    ::close(this->listener);
}

std::string server::address() const
{
    return "127.0.0.1:" + std::to_string(this->port);
}

void server::accept()
{
    while (!this->closing)
    {
        const int handle =
            ::accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (handle < 0)
            continue;
        const int on = 1;
        ::setsockopt(handle, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        const std::lock_guard lock(this->mutex);
        this->handles.push_back(handle);
        this->threads.emplace_back(
            [this, handle]
            {
                connection open(handle);
                bool goes_on = true;
                while (goes_on && !this->closing)
                {
                    const message request = open.read_message(60'000);
                    goes_on = request.is_whole && this->answer(open, request);
                }
                const std::lock_guard ended(this->mutex);
                std::erase(this->handles, handle);
            });
    }
}

std::string free_address()
{
    // Below the ports that the kernel gives to connections.
    static int next = 10'000 + ::getpid() * 97 % 20'000;
    while (true)
    {
        const std::string address = "127.0.0.1:" + std::to_string(next);
        next = next >= 30'000 ? 10'000 : next + 1;
        const sockaddr_in wanted = socket_address(address);
        bool is_free = true;
        for (const int kind : {SOCK_STREAM, SOCK_DGRAM})
        {
            const int handle = ::socket(AF_INET, kind | SOCK_CLOEXEC, 0);
            is_free = is_free && ::bind(
                                     handle,
                                     reinterpret_cast<const sockaddr*>(&wanted),
                                     sizeof wanted) == 0;
            ::close(handle);
        }
        if (is_free)
            return address;
    }
}

gateway::gateway(options chosen)
    : settings(std::move(chosen))
    , requests_address(free_address())
    , readiness_address(free_address())
    , file(this->settings.folder + "/" + this->settings.name + ".ini")
{
    // The relay listens at the port after that of the peers.
    this->peers_address = free_address();
    free_address();
    this->metrics_address = free_address();
}

gateway::~gateway()
{
    this->kill();
}

void gateway::write_settings() const
{
    // As deploy/gateway.ini.tmpl, filled in for a small deployment.
    std::ofstream out(this->file);
    out << "[vm]\nname = " << this->settings.name
        << "\ndata_centre = " << this->settings.zone
        << "\ncores = 0.25\nlink_mbps = 1000\nmemory_mb = 260\nfirst_start = "
        << (this->settings.first_start ? "true" : "false")
        << "\n\n[listen]\nrequests = " << this->requests_address
        << "\nreadiness = " << this->readiness_address
        << "\npeers = " << this->peers_address
        << "\nmetrics = " << this->metrics_address
        << "\nrelay_offset = 1\n\n[store]\naddress = " << this->settings.store
        << "\nshortest_term_ms = 1000\n\n[bounds]\ngrace_s = 8\n"
           "leaving_ms = 2000\nheartbeat_ms = 1200\nconfiguration_ms = 2000\n"
           "lease_ms = 3000\nfences_checked = "
        << (this->settings.fences_checked ? "true" : "false")
        << "\nretry_ratio = 0.2\nretry_window_s = 10\nretry_extra = 54\n"
           "load_window_s = 5\nload_factor = 1.1\n";
}

void gateway::start()
{
    this->write_settings();
    const std::string log =
        this->settings.folder + "/" + this->settings.name + ".log";
    this->process = ::fork();
    if (this->process != 0)
        return;
    // Ends with the program that started it, whatever ends that.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int out = ::open(log.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0644);
    ::dup2(out, STDOUT_FILENO);
    ::dup2(out, STDERR_FILENO);
    ::execl(
        this->settings.program.c_str(),
        this->settings.program.c_str(),
        "--config",
        this->file.c_str(),
        nullptr);
    ::_exit(127);
}

void gateway::signal(int number) const
{
    if (this->process > 0)
        ::kill(this->process, number);
}

void gateway::kill()
{
    if (this->process <= 0)
        return;
    ::kill(this->process, SIGCONT);
    ::kill(this->process, SIGKILL);
    ::waitpid(std::exchange(this->process, -1), nullptr, 0);
}

bool gateway::runs()
{
    if (this->process <= 0)
        return false;
    int status = 0;
    if (::waitpid(this->process, &status, WNOHANG) == 0)
        return true;
    this->signal_of_end = WIFSIGNALED(status) ? WTERMSIG(status) : 0;
    this->process = -1;
    return false;
}

bool gateway::wait_until_ready(int timeout_ms) const
{
    const auto until = steady::now() + std::chrono::milliseconds(timeout_ms);
    while (steady::now() < until)
    {
        const message answer = call(
            this->readiness_address,
            "GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n",
            500);
        if (answer.status() == 200)
            return true;
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    return false;
}

message
call(const std::string& address, const std::string& request, int timeout_ms)
{
    connection to = connection::open(address);
    if (!to.is_open() || !to.send(request))
        return {};
    return to.read_message(timeout_ms);
}

std::string response(
    const std::string& first_line,
    const std::string& headers,
    const std::string& body)
{
    return "HTTP/1.1 " + first_line + "\r\n" + headers +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace review
