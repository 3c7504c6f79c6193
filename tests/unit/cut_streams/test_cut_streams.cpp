// A scripted server cuts a stream after each byte, in every framing, line end
// and kind of route. What the caller receives must not say more than the
// server.

#include "cut_stream.hpp"
#include "forward_fixture.hpp"
#include "response_view.hpp"

#include <atomic>
#include <string>

#include <criterion/criterion.h>

using namespace roseworks::forward::tests;

namespace
{

constexpr std::string_view cr_lf = "\r\n";
constexpr std::string_view lf = "\n";
constexpr std::string_view cr = "\r";

constexpr stream_framing all_framings[] = {
    stream_framing::connection,
    stream_framing::length,
    stream_framing::chunked};

constexpr connection_end all_ends[] = {
    connection_end::closed, connection_end::reset};

constexpr std::string_view plain_route = "/stream/x";
constexpr std::string_view resumable_route = "/resume/x";

/// A first response that is cut after this many bytes.
struct cut
{
    const recorded_stream& stream;
    connection_end end;
    std::size_t size;
};

/// @return The ID in the `Last-Event-Id` header; 0 without one.
std::size_t last_event_of(const std::string& request)
{
    const std::string text =
        roseworks::edge::tests::header_of(request, "Last-Event-Id");
    return text.empty() ? 0 : std::stoul(text);
}

/// Sends the first response up to the cut, and later ones completely.
class cutting_servers
{
public:
    explicit cutting_servers(const cut& first_response)
        : cutting_servers(first_response, first_response.stream)
    {
    }

    /// @param rest Frames the later responses.
    /// @param later_size Size after which later responses are cut.
    cutting_servers(
        const cut& first_response,
        const recorded_stream& rest,
        std::size_t later_size = std::string::npos)
        : what(first_response)
        , later(rest)
        , size_of_later(later_size)
    {
    }

    response_view call(std::string_view target)
    {
        const auto script = [this](backend_peer& peer)
        {
            this->serve(peer);
        };
        fake_backend first(script);
        fake_backend second(script);
        forward_fixture test({&first, &second});
        return view_response(test.exchange(test.request("POST", target)));
    }

    int requests() const
    {
        return this->received;
    }

private:
    void serve(backend_peer& peer)
    {
        const std::string request = peer.read_request();
        if (request.empty())
            return;
        const recorded_stream& stream = this->what.stream;
        if (this->received++ == 0)
        {
            const std::string whole = stream.response(stream.body());
            peer.send(std::string_view(whole).substr(0, this->what.size));
            end_connection(peer, this->what.end);
            return;
        }
        const std::string rest =
            this->later.response(this->later.after(last_event_of(request)));
        peer.send(std::string_view(rest).substr(0, this->size_of_later));
        peer.shut_down();
    }

    cut what;
    const recorded_stream& later;
    std::size_t size_of_later;
    std::atomic<int> received{0};
};

/// @return Whether the bytes that the server sent are a complete stream, as far
///         as they can show it.
bool server_stated_end(const cut& what, stream_framing framing)
{
    const std::size_t decoded = what.stream.decoded_size(what.size);
    if (framing == stream_framing::connection)
        return what.end == connection_end::closed &&
               what.stream.ends_with_event(decoded);
    return what.size == what.stream.response(what.stream.body()).size();
}

std::string describe(const cut& what, stream_framing framing)
{
    return "framing " + std::to_string(static_cast<int>(framing)) + ", " +
           (what.end == connection_end::reset ? "reset" : "closed") +
           ", cut after " + std::to_string(what.size) + " bytes";
}

void expect_prefix(
    const cut& what, const response_view& seen, const std::string& name)
{
    cr_expect(
        what.stream.body().starts_with(seen.body),
        "%s: a piece is missing or comes twice: %s",
        name.c_str(),
        seen.body.c_str());
}

void check_plain_route(const cut& what, stream_framing framing)
{
    const std::string name = describe(what, framing);
    const response_view seen = cutting_servers(what).call(plain_route);
    if (what.stream.decoded_size(what.size) == 0)
    {
        cr_expect_eq(seen.status, 502, "%s", name.c_str());
        return;
    }
    const bool stated = server_stated_end(what, framing);
    expect_prefix(what, seen, name);
    cr_expect_eq(
        seen.is_complete,
        stated,
        "%s: complete %d, stated by the server %d",
        name.c_str(),
        seen.is_complete,
        stated);
    if (what.end == connection_end::closed)
        cr_expect_eq(
            seen.body.size(),
            what.stream.decoded_size(what.size),
            "%s: %zu bytes of the body arrived",
            name.c_str(),
            seen.body.size());
}

/// A reset after the last event: the rest of the stream is empty, and nothing
/// distinguishes an empty response without a length from a broken one.
bool has_ambiguous_rest(const cut& what, stream_framing framing)
{
    return framing == stream_framing::connection &&
           what.end == connection_end::reset &&
           what.stream.decoded_size(what.size) == what.stream.body().size();
}

void check_resumable_route(const cut& what, stream_framing framing)
{
    const std::string name = describe(what, framing);
    cutting_servers servers(what);
    const response_view seen = servers.call(resumable_route);
    const bool stated = server_stated_end(what, framing);
    expect_prefix(what, seen, name);
    const std::size_t expected = stated ? what.stream.decoded_size(what.size)
                                        : what.stream.body().size();
    cr_expect_eq(
        seen.is_complete,
        !has_ambiguous_rest(what, framing),
        "%s: complete %d",
        name.c_str(),
        seen.is_complete);
    cr_expect_eq(
        seen.body.size(),
        expected,
        "%s: %zu bytes of the body arrived, expected %zu",
        name.c_str(),
        seen.body.size(),
        expected);
    cr_expect_eq(servers.requests(), stated ? 1 : 2, "%s", name.c_str());
}

/// @return A size of the first response that ends inside the second event.
std::size_t inside_second_event(const recorded_stream& stream)
{
    const std::size_t first_event =
        stream.body().size() - stream.after(1).size();
    std::size_t size = stream.head_size();
    while (stream.decoded_size(size) < first_event + 3)
        ++size;
    return size;
}

using check = void (*)(const cut& what, stream_framing framing);

/// @param first_size Size of the first cut.
void cut_everywhere(
    check run,
    std::string_view line_end,
    stream_framing framing,
    std::size_t first_size)
{
    const recorded_stream stream(line_end, framing);
    const std::size_t whole = stream.response(stream.body()).size();
    for (const connection_end end : all_ends)
    {
        for (std::size_t size = first_size; size <= whole; ++size)
            run({stream, end, size}, framing);
    }
}

/// Cuts after each byte of the body.
void cut_body(check run, std::string_view line_end)
{
    for (const stream_framing framing : all_framings)
    {
        const std::size_t head_size =
            recorded_stream(line_end, framing).head_size();
        cut_everywhere(run, line_end, framing, head_size + 1);
    }
}

/// Cuts after each byte from the end of the first event on.
void cut_after_first_event(check run, std::string_view line_end)
{
    for (const stream_framing framing : all_framings)
    {
        const recorded_stream stream(line_end, framing);
        std::size_t size = stream.head_size();
        while (!stream.ends_with_event(stream.decoded_size(size)))
            ++size;
        cut_everywhere(run, line_end, framing, size);
    }
}

} // namespace

Test(cut_streams, a_stream_cut_inside_an_event_does_not_look_complete)
{
    cut_body(check_plain_route, lf);
}

Test(cut_streams, a_stream_with_crlf_cut_inside_an_event_does_not_look_complete)
{
    cut_body(check_plain_route, cr_lf);
}

Test(cut_streams, a_stream_with_cr_cut_inside_an_event_does_not_look_complete)
{
    cut_body(check_plain_route, cr);
}

Test(cut_streams, a_resumable_stream_continues_after_a_cut_inside_an_event)
{
    cut_after_first_event(check_resumable_route, lf);
}

Test(cut_streams, a_resumable_stream_with_crlf_continues_after_a_cut)
{
    cut_after_first_event(check_resumable_route, cr_lf);
}

Test(cut_streams, a_resumable_stream_with_cr_continues_after_a_cut)
{
    cut_after_first_event(check_resumable_route, cr);
}

Test(cut_streams, a_framed_stream_that_ends_inside_an_event_is_broken)
{
    for (const stream_framing framing : all_framings)
    {
        const recorded_stream stream(lf, framing);
        const std::string_view body = stream.body();
        const std::string ends_early =
            stream.response(body.substr(0, body.size() - 1));
        fake_backend backend(
            [&ends_early](backend_peer& peer)
            {
                if (peer.read_request().empty())
                    return;
                peer.send(ends_early);
                peer.shut_down();
            });
        forward_fixture test({&backend});
        const response_view seen =
            view_response(test.exchange(test.request("POST", plain_route)));
        cr_expect_not(seen.is_complete);
        cr_expect(body.starts_with(seen.body));
    }
}

Test(cut_streams, a_resumable_stream_cut_before_its_first_event_is_run_again)
{
    for (const stream_framing framing : all_framings)
    {
        const recorded_stream stream(lf, framing);
        const std::size_t first_size = stream.head_size();
        std::size_t size = first_size;
        while (!stream.ends_with_event(stream.decoded_size(size)))
        {
            for (const connection_end end : all_ends)
                check_resumable_route({stream, end, size}, framing);
            ++size;
        }
    }
}

Test(cut_streams, a_stream_that_ends_before_its_first_byte_becomes_502)
{
    for (const stream_framing framing : all_framings)
    {
        const recorded_stream stream(lf, framing);
        for (const connection_end end : all_ends)
        {
            cutting_servers servers({stream, end, stream.head_size()});
            const response_view seen = servers.call(plain_route);
            cr_expect_eq(seen.status, 502);
            cr_expect(seen.head.find("Response-Seal") == std::string::npos);
            cr_expect_eq(servers.requests(), 1, "it may have run");
        }
    }
}

Test(cut_streams, a_stream_continues_with_the_framing_of_another_server)
{
    for (const stream_framing first : all_framings)
    {
        for (const stream_framing second : all_framings)
        {
            const recorded_stream stream(lf, first);
            const recorded_stream rest(lf, second);
            cutting_servers servers(
                {stream, connection_end::closed, inside_second_event(stream)},
                rest);
            const response_view seen = servers.call(resumable_route);
            cr_expect(seen.is_complete);
            cr_expect_eq(seen.body, stream.body());
        }
    }
}

Test(cut_streams, a_stream_that_is_cut_twice_inside_an_event_has_no_piece_twice)
{
    for (const stream_framing framing : all_framings)
    {
        const recorded_stream stream(lf, framing);
        const std::size_t size = inside_second_event(stream);
        cutting_servers servers(
            {stream, connection_end::closed, size}, stream, size);
        const response_view seen = servers.call(resumable_route);
        cr_expect_not(seen.is_complete);
        cr_expect(stream.body().starts_with(seen.body));
        cr_expect(stream.ends_with_event(seen.body.size()));
        cr_expect_eq(servers.requests(), 2);
    }
}
