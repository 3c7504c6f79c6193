#include "adapters/edge/call_headers.hpp"
#include "adapters/edge/call_identity.hpp"
#include "adapters/edge/call_problem.hpp"
#include "adapters/edge/completion_body.hpp"
#include "adapters/edge/head_scan.hpp"
#include "adapters/edge/request_target.hpp"

#include <boost/leaf/handle_errors.hpp>
#include <xxhash.h>

#include <algorithm>
#include <string>

#include <criterion/criterion.h>

using namespace roseworks;
using namespace roseworks::edge;
namespace http = boost::beast::http;
namespace leaf = boost::leaf;

namespace
{

/// @return The status of the problem, 0 if there is none.
template <class Parse>
unsigned status_of(Parse parse)
{
    return leaf::try_handle_all(
        [&]() -> leaf::result<unsigned>
        {
            BOOST_LEAF_CHECK(parse());
            return 0U;
        },
        [](const call_problem& problem)
        {
            return problem.status;
        },
        []
        {
            return 1U;
        });
}

unsigned target_status(std::string_view method, std::string_view target)
{
    return status_of(
        [&]
        {
            return parse_request_target(method, target);
        });
}

leaf::result<call_headers> parse(const http::fields& fields)
{
    using std::chrono::milliseconds;
    return parse_call_headers(
        fields, milliseconds(1000), milliseconds(3'600'000));
}

unsigned header_status(std::string_view name, std::string_view value)
{
    http::fields fields;
    fields.insert(
        {name.data(), name.size()},
        boost::beast::string_view(value.data(), value.size()));
    return status_of(
        [&]
        {
            return parse(fields);
        });
}

unsigned body_status(std::string_view body, bool chat = false)
{
    return status_of(
        [&]
        {
            return parse_completion_body(body, chat);
        });
}

head_scan::status scan(std::string_view head)
{
    head_scan whole;
    const auto result = whole.feed(head);
    head_scan stepped;
    for (std::size_t i = 1; i <= head.size(); ++i)
        stepped.feed(head.substr(0, i));
    cr_assert(stepped.feed(head) == result);
    cr_assert_eq(stepped.size(), whole.size());
    return result;
}

} // namespace

Test(request_target, routes)
{
    const auto service =
        parse_request_target("PUT", "/services/call-out/a%2Fb?c=/d").value();
    cr_assert(service.kind == route_kind::service);
    cr_assert(service.service == "call-out");
    cr_assert(service.path == "/a%2Fb?c=/d");
    cr_assert(
        parse_request_target("GET", "/services/x?y").value().path == "/?y");
    cr_assert(
        parse_request_target("POST", "/v1/completions").value().kind ==
        route_kind::completion);
    cr_assert(
        parse_request_target("GET", "/metrics?x=1").value().kind ==
        route_kind::metrics);
}

Test(request_target, refusals)
{
    cr_assert_eq(target_status("GET", ""), 400);
    cr_assert_eq(target_status("GET", "*"), 400);
    cr_assert_eq(target_status("GET", "http://h/healthz"), 400);
    cr_assert_eq(target_status("CONNECT", "h:80"), 400);
    cr_assert_eq(target_status("GET", "/a b"), 400);
    cr_assert_eq(target_status("GET", "/a%zz"), 400);
    cr_assert_eq(target_status("GET", "/a#b"), 400);
    cr_assert_eq(target_status("GET", "/services/x/%2e%2e/y"), 400);
    cr_assert_eq(target_status("GET", "/services/x/./y"), 400);
    cr_assert_eq(target_status("GET", "/services//y"), 400);
    cr_assert_eq(target_status("GET", "/services/x%41/y"), 400);
    cr_assert_eq(target_status("TRACE", "/services/x/y"), 405);
    cr_assert_eq(target_status("GET", "/v1/completions"), 405);
    cr_assert_eq(target_status("POST", "/healthz"), 405);
    cr_assert_eq(target_status("GET", "/nowhere"), 404);
}

Test(call_headers, defaults)
{
    const auto headers = parse(http::fields()).value();
    cr_assert(headers.request_id.empty());
    cr_assert(headers.caller == "anonymous");
    cr_assert(headers.idempotency_key.empty());
    cr_assert(!headers.requested_priority.has_value());
    cr_assert_eq(headers.deadline.count(), 1000);
}

Test(call_headers, values_and_ranges)
{
    cr_assert_eq(header_status("X-Deadline-Ms", "1"), 0);
    cr_assert_eq(header_status("X-Deadline-Ms", "3600000"), 0);
    for (const char* bad :
         {"",
          "0",
          "-1",
          "+1",
          "1.5",
          "1e3",
          " 1 x",
          "3600001",
          "99999999999999999999"})
        cr_assert_eq(header_status("X-Deadline-Ms", bad), 400);
    cr_assert_eq(header_status("X-Priority", "batch"), 0);
    cr_assert_eq(header_status("X-Priority", "Urgent"), 400);
    cr_assert_eq(header_status("X-Request-Id", std::string(64, 'a')), 0);
    cr_assert_eq(header_status("X-Request-Id", std::string(65, 'a')), 400);
    cr_assert_eq(header_status("X-Request-Id", "a/b"), 400);
    cr_assert_eq(header_status("X-Request-Id", ""), 400);
    cr_assert_eq(header_status("X-Caller", "a b"), 400);
    cr_assert_eq(header_status("Idempotency-Key", "a b"), 0);
    cr_assert_eq(header_status("Idempotency-Key", ""), 400);
    cr_assert_eq(header_status("Idempotency-Key", std::string(129, 'a')), 400);
    cr_assert_eq(header_status("Idempotency-Key", "a\x80"), 400);
}

Test(call_headers, repeated_header_is_rejected)
{
    http::fields fields;
    fields.insert("X-Caller", "a");
    fields.insert("x-caller", "b");
    cr_assert_eq(
        status_of(
            [&]
            {
                return parse(fields);
            }),
        400);
}

Test(completion_body, values)
{
    const auto body = parse_completion_body(
                          R"({"model":"m","prompt":["ab","c"],"stream":true,)"
                          R"("max_tokens":7})",
                          false)
                          .value();
    cr_assert(body.model == "m");
    cr_assert(body.stream);
    cr_assert_eq(body.max_tokens, 7);
    cr_assert_eq(body.prompt_bytes, 3);
    cr_assert_eq(body.prefix, XXH64("m\nabc", 5, 0));
    const auto chat =
        parse_completion_body(
            R"({"model":"m","messages":[{"role":"user","content":"hi"},)"
            R"({"role":"user","content":[{"type":"text","text":"x"}]}]})",
            true)
            .value();
    cr_assert_eq(chat.prompt_bytes, 4);
    cr_assert_eq(chat.prefix, XXH64("m\nhi\nx", 6, 0));
}

Test(completion_body, refusals)
{
    for (const char* bad :
         {"",
          "[]",
          "{",
          "{}x",
          R"({"prompt":"p"})",
          R"({"model":1,"prompt":"p"})",
          R"({"model":"","prompt":"p"})",
          R"({"model":"a b","prompt":"p"})",
          R"({"model":"m"})",
          R"({"model":"m","prompt":3})",
          R"({"model":"m","prompt":[]})",
          R"({"model":"m","prompt":[1]})",
          R"({"model":"m","prompt":"p","stream":1})",
          R"({"model":"m","prompt":"p","max_tokens":0})",
          R"({"model":"m","prompt":"p","max_tokens":1.5})",
          R"({"model":"m","prompt":"p","max_tokens":9999999})"})
        cr_assert_eq(body_status(bad), 400, "%s", bad);
    for (const char* bad :
         {R"({"model":"m"})",
          R"({"model":"m","messages":[]})",
          R"({"model":"m","messages":["x"]})",
          R"({"model":"m","messages":[{"content":"x"}]})",
          R"({"model":"m","messages":[{"role":"u","content":1}]})"})
        cr_assert_eq(body_status(bad, true), 400, "%s", bad);
    const std::string deep = R"({"model":"m","prompt":"p","x":)" +
                             std::string(40, '[') + std::string(40, ']') + "}";
    cr_assert_eq(body_status(deep), 400);
}

Test(head_scan, shapes)
{
    using status = head_scan::status;
    cr_assert(
        scan("GET / HTTP/1.1\r\nA: b\tc\r\n\r\nbody") == status::complete);
    cr_assert(scan("GET / HTTP/1.1\r\nA: b\r\n") == status::need_more);
    cr_assert(
        scan("GET / HTTP/1.1\r\nA: b\r\n c\r\n\r\n") == status::malformed);
    cr_assert(scan("GET / HTTP/1.1\r\nA: b\rc\r\n\r\n") == status::malformed);
    cr_assert(scan("GET / HTTP/1.1\nA: b\n\n") == status::malformed);
    cr_assert(scan("\r\nGET / HTTP/1.1\r\n\r\n") == status::malformed);
    cr_assert(scan(std::string("GET /\0", 6)) == status::malformed);
    cr_assert(scan("GET / HTTP/1.1\r\n\rx") == status::malformed);
}

Test(call_identity, inputs_are_delimited)
{
    cr_assert(make_claim_key("a", "bc", "k") != make_claim_key("ab", "c", "k"));
    cr_assert(
        make_claim_key("a", "b", "k") != make_derived_claim_key("a", "b", "k"));
    cr_assert(make_claim_key("a", "b", "k") == make_claim_key("a", "b", "k"));
    const claim_content content = make_claim_content("POST", "/v1/jobs", "{}");
    cr_assert_eq(content, make_claim_content("POST", "/v1/jobs", "{}"));
    cr_assert_neq(content, make_claim_content("PUT", "/v1/jobs", "{}"));
    cr_assert_neq(content, make_claim_content("POST", "/v1/job", "s{}"));
    cr_assert_neq(content, make_claim_content("POST", "/v1/jobs", "{ }"));
    cr_assert(
        make_fingerprint("m", "/p", "x") != make_fingerprint("m", "/p", "y"));
}
