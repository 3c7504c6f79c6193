#pragma once

#include "app/control_loop.hpp"
#include "ports/claim_port.hpp"

#include <boost/asio/any_io_executor.hpp>

#include <map>
#include <vector>

namespace roseworks::app
{

/** Claims of the traffic threads, handed to the control loop.

    Calls with the same key that wait at once are told apart: the first gets
    the result, the others that it is held. Everything but `claim` and `close`
    runs on the control thread.
*/
class claim_desk final : public claim_port
{
public:
    claim_desk(boost::asio::any_io_executor control, control_loop& loop);

    void claim(const claim_request& asked, result_handler handler) override;
    void close(claim_close what) override;

    /// The control loop has a result.
    void decided(const claim_result& result);

    /// The control loop lost all claims that wait: nothing was granted.
    void dropped();

private:
    void take(const claim_request& asked, result_handler handler);

    boost::asio::any_io_executor control;
    control_loop& loop;
    std::map<claim_key, std::vector<result_handler>> waiting;
};

} // namespace roseworks::app
