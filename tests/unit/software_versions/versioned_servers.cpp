#include "versioned_servers.hpp"

#include <algorithm>
#include <utility>

namespace roseworks::forward::tests
{

versioned_servers::versioned_servers(
    std::vector<std::string> versions, std::vector<std::size_t> events_sent)
    : all_versions(std::move(versions))
    , limits(std::move(events_sent))
{
    for (const std::string& version : this->all_versions)
        this->servers.push_back(std::make_unique<fake_backend>(
            [this, version](backend_peer& peer)
            {
                this->serve(peer, version);
            }));
}

std::vector<versioned_servers::arrival> versioned_servers::arrivals() const
{
    const std::lock_guard lock(this->mutex);
    return this->received;
}

std::vector<fake_backend*> versioned_servers::backends() const
{
    std::vector<fake_backend*> all;
    for (const auto& server : this->servers)
        all.push_back(server.get());
    return all;
}

void versioned_servers::serve(backend_peer& peer, const std::string& version)
{
    const std::string request = peer.read_request();
    if (request.empty())
        return;
    arrival seen;
    seen.version = version;
    seen.last_event = edge::tests::header_of(request, "Last-Event-Id");
    seen.resumes = edge::tests::header_of(request, "Resumes");
    const std::size_t first =
        seen.last_event.empty() ? 1 : std::stoul(seen.last_event) + 1;
    std::size_t limit = event_count;
    {
        const std::lock_guard lock(this->mutex);
        if (this->received.size() < this->limits.size())
            limit = this->limits[this->received.size()];
        this->received.push_back(std::move(seen));
    }
    const std::size_t left = event_count + 1 - std::min(first, event_count + 1);
    peer.start_stream(request);
    this->send_events(peer, version, first, std::min(limit, left));
    if (limit >= left)
        peer.send("0\r\n\r\n");
    peer.shut_down();
}

void versioned_servers::send_events(
    backend_peer& peer,
    const std::string& version,
    std::size_t first,
    std::size_t count)
{
    for (std::size_t id = first; id < first + count; ++id)
        peer.send_chunk(
            "id: " + std::to_string(id) + "\ndata: " + version + "\n\n");
}

std::vector<std::string> versions_in(std::string_view body)
{
    constexpr std::string_view label = "data: ";
    std::vector<std::string> found;
    std::size_t at = body.find(label);
    while (at != std::string_view::npos)
    {
        const std::size_t begin = at + label.size();
        const std::size_t end = body.find('\n', begin);
        std::string version(body.substr(begin, end - begin));
        if (found.empty() || found.back() != version)
            found.push_back(std::move(version));
        at = body.find(label, begin);
    }
    return found;
}

} // namespace roseworks::forward::tests
