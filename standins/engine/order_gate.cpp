#include "standins/engine/order_gate.hpp"

#include "standins/common/json_fields.hpp"

#include <algorithm>

namespace roseworks::standins
{

namespace
{

order_action parse_action(std::string_view name)
{
    if (name == "load")
    {
        return order_action::load;
    }
    if (name == "unload")
    {
        return order_action::unload;
    }
    throw bad_request("action is load or unload");
}

std::uint64_t
required_number(const boost::json::object& body, std::string_view name)
{
    if (!body.contains(name))
    {
        throw bad_request(std::string(name) + " is missing");
    }
    return number_field(body, name);
}

std::string
required_string(const boost::json::object& body, std::string_view name)
{
    std::string value = string_field(body, name);
    if (value.empty())
    {
        throw bad_request(std::string(name) + " is missing");
    }
    return value;
}

void check_load(const replica& wanted)
{
    if (wanted.kind != "model" && wanted.kind != "adapter")
    {
        throw bad_request("kind is model or adapter");
    }
    if ((wanted.kind == "adapter") == wanted.base.empty())
    {
        throw bad_request("an adapter, and nothing else, needs a base");
    }
}

} // namespace

order parse_order(const boost::json::object& body)
{
    order result;
    result.action = parse_action(string_field(body, "action"));
    result.fence = required_number(body, "fence");
    result.subject.order_id = required_string(body, "order_id");
    result.subject.id = required_number(body, "replica");
    result.subject.servable = string_field(body, "servable");
    result.subject.kind = string_field(body, "kind");
    result.subject.version = string_field(body, "version");
    result.subject.base = string_field(body, "base");
    if (result.action == order_action::load)
    {
        required_string(body, "servable");
        result.subject.memory = required_number(body, "memory");
        check_load(result.subject);
    }
    return result;
}

order_gate::order_gate(replica_set& set, bool fencing)
    : replicas(set)
    , check_fencing(fencing)
{
}

order_outcome order_gate::decide(const order& received)
{
    if (this->accepted_ids.contains(received.subject.order_id))
    {
        ++this->repeated_orders;
        return order_outcome::repeated;
    }
    const bool stale = received.fence < this->highest;
    if (!this->pass_fence(received.fence))
    {
        return order_outcome::stale_fence;
    }
    const order_outcome outcome = this->apply(received);
    const bool accepted = outcome == order_outcome::start_load ||
                          outcome == order_outcome::start_unload ||
                          outcome == order_outcome::repeated;
    if (accepted)
    {
        this->accepted_ids.insert(received.subject.order_id);
        this->stale_accepted += stale ? 1 : 0;
    }
    return outcome;
}

std::uint64_t order_gate::highest_fence() const
{
    return this->highest;
}

void order_gate::report(boost::json::object& ledger) const
{
    ledger["loads"] = this->loads;
    ledger["unloads"] = this->unloads;
    ledger["repeated_orders"] = this->repeated_orders;
    ledger["stale_orders"] = this->stale_orders;
    ledger["stale_accepted"] = this->stale_accepted;
    ledger["rejected_memory"] = this->rejected_memory;
}

bool order_gate::pass_fence(std::uint64_t fence)
{
    if (fence >= this->highest)
    {
        this->highest = fence;
        return true;
    }
    ++this->stale_orders;
    return !this->check_fencing;
}

order_outcome order_gate::apply(const order& received)
{
    return received.action == order_action::load
               ? this->load(received.subject)
               : this->unload(received.subject);
}

order_outcome order_gate::load(const replica& wanted)
{
    replica* const resident = this->replicas.find(wanted.id);
    if (resident != nullptr && resident->state == replica_state::failed)
    {
        resident->state = replica_state::loading;
        resident->order_id = wanted.order_id;
        ++this->loads;
        return order_outcome::start_load;
    }
    if (resident != nullptr)
    {
        return resident->state == replica_state::unloading
                   ? order_outcome::replica_unloading
                   : order_outcome::repeated;
    }
    const bool base_there =
        wanted.base.empty() ||
        this->replicas.holds(wanted.base, replica_state::ready) ||
        this->replicas.holds(wanted.base, replica_state::loading);
    if (!base_there)
    {
        return order_outcome::base_missing;
    }
    if (!this->replicas.fits(wanted.memory))
    {
        ++this->rejected_memory;
        return order_outcome::out_of_memory;
    }
    this->replicas.add(wanted);
    ++this->loads;
    return order_outcome::start_load;
}

order_outcome order_gate::unload(const replica& named)
{
    replica* const resident = this->replicas.find(named.id);
    if (resident == nullptr)
    {
        return order_outcome::not_there;
    }
    if (resident->state == replica_state::unloading)
    {
        return order_outcome::repeated;
    }
    if (!this->replicas.may_unload(*resident))
    {
        return order_outcome::base_in_use;
    }
    ++this->unloads;
    return order_outcome::start_unload;
}

} // namespace roseworks::standins
