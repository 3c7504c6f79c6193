#include "adapters/edge/request_target.hpp"

#include "adapters/edge/call_problem.hpp"
#include "adapters/edge/text_validation.hpp"

#include <boost/leaf/error.hpp>
#include <boost/url/parse.hpp>
#include <boost/url/url_view.hpp>

#include <algorithm>
#include <array>

namespace roseworks::edge
{

namespace leaf = boost::leaf;

namespace
{

constexpr std::string_view services_prefix = "/services/";
constexpr std::size_t max_service_name_length = 64;

struct fixed_route
{
    std::string_view path;
    std::string_view method;
    route_kind kind;
};

constexpr std::array fixed_routes{
    fixed_route{"/v1/chat/completions", "POST", route_kind::chat},
    fixed_route{"/v1/completions", "POST", route_kind::completion},
    fixed_route{"/v1/models", "GET", route_kind::models},
    fixed_route{"/healthz", "GET", route_kind::healthz},
    fixed_route{"/readyz", "GET", route_kind::readyz},
    fixed_route{"/metrics", "GET", route_kind::metrics},
    fixed_route{"/state", "GET", route_kind::state}};

constexpr std::array<std::string_view, 7> service_methods{
    "GET", "HEAD", "POST", "PUT", "DELETE", "PATCH", "OPTIONS"};

bool has_dot_segment(const boost::urls::url_view& url)
{
    const auto segments = url.segments();
    return std::any_of(
        segments.begin(),
        segments.end(),
        [](const std::string& segment)
        {
            return segment == "." || segment == "..";
        });
}

leaf::result<request_target>
parse_service(std::string_view method, std::string_view target)
{
    const auto rest = target.substr(services_prefix.size());
    const auto end = std::min(rest.find_first_of("/?"), rest.size());
    const std::string_view name = rest.substr(0, end);
    if (!is_name(name, max_service_name_length))
        return leaf::new_error(client_error("the service's name is malformed"));
    if (std::find(service_methods.begin(), service_methods.end(), method) ==
        service_methods.end())
        return leaf::new_error(client_error("the method isn't served", 405));
    std::string path(rest.substr(end));
    if (path.empty() || path.front() != '/')
        path.insert(path.begin(), '/');
    return request_target{
        route_kind::service, std::string(name), std::move(path)};
}

} // namespace

leaf::result<request_target>
parse_request_target(std::string_view method, std::string_view target)
{
    if (target.empty() || target.front() != '/')
        return leaf::new_error(client_error("the target isn't in origin form"));
    const auto url =
        boost::urls::parse_origin_form({target.data(), target.size()});
    if (!url)
        return leaf::new_error(client_error("the target is malformed"));
    if (has_dot_segment(*url))
        return leaf::new_error(client_error("the target has a dot segment"));
    if (target.starts_with(services_prefix))
        return parse_service(method, target);
    const std::string_view path = target.substr(0, target.find('?'));
    const auto found = std::find_if(
        fixed_routes.begin(),
        fixed_routes.end(),
        [path](const fixed_route& route)
        {
            return route.path == path;
        });
    if (found == fixed_routes.end())
        return leaf::new_error(
            client_error("there is nothing at this path", 404));
    if (found->method != method)
        return leaf::new_error(client_error(
            "the path takes " + std::string(found->method) + " only", 405));
    return request_target{found->kind, {}, std::string(path)};
}

} // namespace roseworks::edge
