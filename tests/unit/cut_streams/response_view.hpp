#pragma once

#include <string>
#include <string_view>

namespace roseworks::forward::tests
{

/// What a caller makes of the bytes that it received until the connection
/// ended.
struct response_view
{
    unsigned status = 0; ///< 0: no complete head
    /// Whether the framing states that the whole body has arrived.
    bool is_complete = false;
    std::string head;
    std::string body;
};

/// Decodes one HTTP/1.1 response with its framing.
response_view view_response(std::string_view bytes);

} // namespace roseworks::forward::tests
