#include "core/swapping/engine_tracker.hpp"

#include "core/serving/servable_key.hpp"
#include "core/serving/server_software.hpp"

#include <algorithm>
#include <utility>

namespace roseworks
{

namespace
{

bool contains(const auto& list, std::string_view name)
{
    return std::ranges::find(list, name) != std::ranges::end(list);
}

/// Takes over the lists of copies in host memory and on disk.
void set_local_copies(engine_state& engine, const engine_holdings& copies)
{
    engine.in_memory.assign(copies.in_memory.begin(), copies.in_memory.end());
    engine.on_disk = copies.on_disk;
}

} // namespace

const loaded_model* engine_state::find(std::string_view model) const
{
    const auto found =
        std::ranges::find(this->loaded_models, model, &loaded_model::name);
    return found == this->loaded_models.end() ? nullptr : &*found;
}

loaded_model* engine_state::find(std::string_view model)
{
    const auto found =
        std::ranges::find(this->loaded_models, model, &loaded_model::name);
    return found == this->loaded_models.end() ? nullptr : &*found;
}

bool engine_state::holds(std::string_view servable) const
{
    const servable_parts parts = split_servable_key(servable);
    if (parts.service != this->entry.service)
        return false;
    const loaded_model* model = this->find(parts.model);
    if (model == nullptr)
        return false;
    return parts.adapter.empty() ||
           std::ranges::find(
               model->adapters, parts.adapter, &loaded_adapter::name) !=
               model->adapters.end();
}

double engine_state::used_mb() const
{
    double total = 0;
    for (const loaded_model& model : this->loaded_models)
        total += model.size_mb();
    return total;
}

std::size_t engine_state::adapter_count() const
{
    std::size_t total = 0;
    for (const loaded_model& model : this->loaded_models)
        total += model.adapters.size();
    return total;
}

weight_source engine_state::weight_source_of(std::string_view model) const
{
    if (contains(this->in_memory, model))
        return weight_source::memory;
    return contains(this->on_disk, model) ? weight_source::disk
                                          : weight_source::store;
}

engine_residency engine_state::residency(std::uint64_t tenure) const
{
    engine_residency result;
    result.engine = this->entry.id;
    result.born_ms = this->entry.born_ms;
    result.tenure = tenure;
    result.revision = this->revision;
    for (const loaded_model& model : this->loaded_models)
    {
        resident_model& one = result.resident.emplace_back();
        one.name = model.name;
        for (const loaded_adapter& adapter : model.adapters)
            one.adapters.push_back(adapter.name);
    }
    return result;
}

engine_tracker::engine_tracker(options chosen)
    : settings(chosen)
{
}

void engine_tracker::set_configuration(std::shared_ptr<const deployment> next)
{
    this->config = std::move(next);
    for (auto& [id, engine] : this->engines_by_id)
    {
        for (loaded_model& loaded : engine.loaded_models)
        {
            const model_profile* model =
                this->find_model(engine.entry.service, loaded.name);
            if (model == nullptr)
                continue;
            loaded.weights_mb = model->memory_mb;
            loaded.adapter_mb = model->adapter_mb;
        }
    }
}

bool engine_tracker::update_entry(const server_entry& entry)
{
    const auto found = this->engines_by_id.find(entry.id);
    if (found == this->engines_by_id.end())
    {
        engine_state added;
        added.entry = entry;
        added.software = software_of(entry.service, entry.version);
        set_local_copies(added, entry.holdings);
        this->engines_by_id.emplace(entry.id, std::move(added));
        return true;
    }
    engine_state& engine = found->second;
    const bool restarted = engine.entry.born_ms != entry.born_ms ||
                           engine.entry.address != entry.address ||
                           engine.entry.version != entry.version;
    if (restarted)
    {
        const instant last = engine.last_order;
        const instant not_before = engine.not_before;
        engine = {};
        engine.last_order = last;
        engine.not_before = not_before;
    }
    engine.entry = entry;
    engine.software = software_of(entry.service, entry.version);
    if (!engine.state_confirmed)
        set_local_copies(engine, entry.holdings);
    return restarted;
}

void engine_tracker::remove(std::string_view id)
{
    const auto found = this->engines_by_id.find(id);
    if (found != this->engines_by_id.end())
        this->engines_by_id.erase(found);
}

void engine_tracker::take_over(duration new_lease, bool another_owned)
{
    this->lease = new_lease;
    for (auto& [id, engine] : this->engines_by_id)
    {
        if (another_owned && engine.last_order != instant::min())
            engine.not_before =
                std::max(engine.not_before, engine.last_order + this->lease);
        engine.state_confirmed = false;
        engine.owner_changed = true;
        engine.order.reset();
    }
}

void engine_tracker::apply_engine_report(
    std::string_view id, const holdings_report& report, instant now)
{
    engine_state* engine = this->find_mutable(id);
    if (engine == nullptr || report.busy)
        return;
    std::vector<loaded_model> loaded;
    for (const resident_model& reported : report.holdings.resident)
    {
        loaded_model& model = loaded.emplace_back();
        model.name = reported.name;
        const loaded_model* before = std::as_const(*engine).find(reported.name);
        model.loaded_at = before == nullptr ? now : before->loaded_at;
        const model_profile* profile =
            this->find_model(engine->entry.service, reported.name);
        if (profile != nullptr)
        {
            model.weights_mb = profile->memory_mb;
            model.adapter_mb = profile->adapter_mb;
        }
        for (const std::string& adapter : reported.adapters)
            model.adapters.push_back({adapter, now});
    }
    engine->loaded_models = std::move(loaded);
    const bool ordered_by_another =
        std::exchange(engine->owner_changed, false) &&
        engine->last_order != instant::min() &&
        engine->orders_taken != report.orders_taken;
    if (ordered_by_another)
        engine->not_before =
            std::max(engine->not_before, engine->last_order + this->lease);
    engine->orders_taken = report.orders_taken;
    set_local_copies(*engine, report.holdings);
    engine->order.reset();
    engine->state_confirmed = true;
    engine->reachable = true;
    ++engine->revision;
}

void engine_tracker::order_sent(
    std::string_view id, pending_order order, instant now)
{
    engine_state* engine = this->find_mutable(id);
    if (engine == nullptr)
        return;
    order.sent = now;
    engine->last_order = now;
    if (order.action == engine_action::unload)
    {
        // The model counts as unloaded at once: no request may be sent to the
        // engine for it.
        if (const loaded_model* loaded = engine->find(order.model))
            order.unloaded_model = *loaded;
        this->apply_order(*engine, order, now);
        ++engine->revision;
    }
    engine->order = std::move(order);
    if (engine->order->is_store_load())
        this->update_peak_store_loads();
}

void engine_tracker::update_peak_store_loads()
{
    std::vector<pending_order*> loads;
    for (auto& [id, engine] : this->engines_by_id)
    {
        if (engine.order && engine.order->is_store_load())
            loads.push_back(&*engine.order);
    }
    for (pending_order* one : loads)
        one->peak_store_loads = std::max(one->peak_store_loads, loads.size());
}

bool engine_tracker::order_answered(
    std::string_view id, command_outcome outcome, instant now)
{
    engine_state* engine = this->find_mutable(id);
    if (engine == nullptr || !engine->order)
        return false;
    const bool may_have_arrived = outcome != command_outcome::not_sent &&
                                  outcome != command_outcome::withheld;
    if (may_have_arrived)
        engine->last_order = now;
    pending_order& order = *engine->order;
    engine->out_of_step_orders = outcome == command_outcome::out_of_step
                                     ? engine->out_of_step_orders + 1
                                     : 0;
    switch (outcome)
    {
    case command_outcome::accepted:
        ++engine->orders_taken;
        order.expected_completion = now + this->order_time(*engine, order);
        if (order.adapter.empty() || order.action == engine_action::load)
            return false;
        // Requests still use the adapter, so its slot isn't free yet.
        this->revert_order(*engine);
        engine->state_confirmed = false;
        return true;
    case command_outcome::already_so:
        // The engine counts an adapter's order even when it is done at once. It
        // doesn't count the load of a model that is loaded already.
        if (!order.adapter.empty())
            ++engine->orders_taken;
        order.expected_completion = now;
        return false;
    case command_outcome::not_sent:
        this->mark_unreachable(id);
        break;
    case command_outcome::withheld:
    case command_outcome::out_of_step:
        this->revert_order(*engine);
        engine->state_confirmed =
            engine->out_of_step_orders < this->settings.max_out_of_step_orders;
        break;
    case command_outcome::fenced_off:
    case command_outcome::wrong_server:
    case command_outcome::refused:
    case command_outcome::unknown:
        this->revert_order(*engine);
        engine->state_confirmed = false;
        break;
    }
    engine->not_before =
        std::max(engine->not_before, now + this->settings.retry_pause);
    return !engine->state_confirmed;
}

/// Reverts the effect of the pending order, which as far as known wasn't
/// accepted.
void engine_tracker::revert_order(engine_state& engine)
{
    const pending_order order = std::move(*engine.order);
    engine.order.reset();
    if (!order.unloaded_model)
        return;
    std::erase_if(
        engine.loaded_models,
        [&order](const loaded_model& loaded)
        {
            return loaded.name == order.model;
        });
    engine.loaded_models.push_back(*order.unloaded_model);
    ++engine.revision;
}

std::vector<finished_order> engine_tracker::complete_due_orders(instant now)
{
    std::vector<finished_order> done;
    for (auto& [id, engine] : this->engines_by_id)
    {
        const bool ended = engine.order && engine.order->expected_completion &&
                           *engine.order->expected_completion <= now &&
                           !engine.order->is_store_load();
        if (!ended)
            continue;
        const pending_order order = std::move(*engine.order);
        engine.order.reset();
        if (order.action == engine_action::load)
            this->apply_order(engine, order, now);
        ++engine.revision;
        std::string name = order.model;
        if (!order.adapter.empty())
            name += "/" + order.adapter;
        done.push_back({id, servable_key(engine.entry.service, name)});
    }
    return done;
}

std::vector<std::string>
engine_tracker::take_unconfirmed_store_loads(instant now)
{
    std::vector<std::string> found;
    for (auto& [id, engine] : this->engines_by_id)
    {
        if (!engine.order || !engine.order->is_store_load() ||
            !engine.order->expected_completion ||
            *engine.order->expected_completion > now)
            continue;
        engine.order->expected_completion.reset();
        found.push_back(id);
    }
    return found;
}

std::optional<instant> engine_tracker::next_completion() const
{
    std::optional<instant> next;
    const auto consider = [&next](instant when)
    {
        next = next ? std::min(*next, when) : when;
    };
    for (const auto& [id, engine] : this->engines_by_id)
    {
        if (engine.order && engine.order->expected_completion)
            consider(*engine.order->expected_completion);
    }
    return next;
}

void engine_tracker::mark_unreachable(std::string_view id)
{
    engine_state* engine = this->find_mutable(id);
    if (engine == nullptr)
        return;
    if (engine->order)
        this->revert_order(*engine);
    engine->state_confirmed = false;
    engine->reachable = false;
}

void engine_tracker::set_rate_limits(
    const std::map<std::string, double, std::less<>>& all)
{
    for (auto& [id, engine] : this->engines_by_id)
    {
        const auto named = all.find(id);
        engine.rate_limit = named == all.end() ? 0 : named->second;
    }
}

void engine_tracker::mark_replaced(std::string_view id)
{
    this->mark_unreachable(id);
    if (engine_state* engine = this->find_mutable(id))
        engine->orders_taken = 0;
}

void engine_tracker::mark_unconfirmed(std::string_view id)
{
    if (engine_state* engine = this->find_mutable(id))
        engine->state_confirmed = false;
}

const engine_state* engine_tracker::find(std::string_view id) const
{
    const auto found = this->engines_by_id.find(id);
    return found == this->engines_by_id.end() ? nullptr : &found->second;
}

engine_state* engine_tracker::find_mutable(std::string_view id)
{
    const auto found = this->engines_by_id.find(id);
    return found == this->engines_by_id.end() ? nullptr : &found->second;
}

const engine_profile*
engine_tracker::find_profile(std::string_view service) const
{
    if (!this->config)
        return nullptr;
    const service_profile* found = this->config->find_service(service);
    return found == nullptr || !found->engine ? nullptr : &*found->engine;
}

const model_profile* engine_tracker::find_model(
    std::string_view service, std::string_view model) const
{
    const engine_profile* profile = this->find_profile(service);
    if (profile == nullptr)
        return nullptr;
    const auto found =
        std::ranges::find(profile->models, model, &model_profile::name);
    return found == profile->models.end() ? nullptr : &*found;
}

duration
engine_tracker::load_time(const model_profile& model, weight_source from) const
{
    switch (from)
    {
    case weight_source::memory:
        return model.load_from_memory + this->settings.load_margin;
    case weight_source::disk:
        return model.load_from_disk + this->settings.load_margin;
    case weight_source::store:
        return model.load_from_store + this->settings.load_margin;
    }
    return model.load_from_store;
}

duration engine_tracker::order_time(
    const engine_state& engine, const pending_order& order) const
{
    if (!order.adapter.empty())
        return order.action == engine_action::load ? this->settings.adapter_time
                                                   : duration::zero();
    if (order.action == engine_action::unload)
        return order.running ? this->settings.busy_unload_time
                             : this->settings.unload_time;
    const model_profile* model =
        this->find_model(engine.entry.service, order.model);
    return model == nullptr ? this->settings.unload_time
                            : this->load_time(*model, order.source);
}

void engine_tracker::apply_order(
    engine_state& engine, const pending_order& order, instant now)
{
    if (!order.adapter.empty())
        this->apply_adapter_order(engine, order, now);
    else if (order.action == engine_action::load)
        this->apply_load(engine, order, now);
    else
        std::erase_if(
            engine.loaded_models,
            [&order](const loaded_model& loaded)
            {
                return loaded.name == order.model;
            });
}

void engine_tracker::apply_adapter_order(
    engine_state& engine, const pending_order& order, instant now)
{
    loaded_model* model = engine.find(order.model);
    if (model == nullptr)
        return;
    std::erase_if(
        model->adapters,
        [&order](const loaded_adapter& loaded)
        {
            return loaded.name == order.adapter;
        });
    if (order.action == engine_action::load)
        model->adapters.push_back({order.adapter, now});
}

void engine_tracker::apply_load(
    engine_state& engine, const pending_order& order, instant now)
{
    if (engine.find(order.model) == nullptr)
    {
        loaded_model& added = engine.loaded_models.emplace_back();
        added.name = order.model;
        added.loaded_at = now;
        const model_profile* profile =
            this->find_model(engine.entry.service, order.model);
        if (profile != nullptr)
        {
            added.weights_mb = profile->memory_mb;
            added.adapter_mb = profile->adapter_mb;
        }
    }
    if (!contains(engine.on_disk, order.model))
        engine.on_disk.push_back(order.model);
    this->cache_in_host_memory(engine, order.model);
}

void engine_tracker::cache_in_host_memory(
    engine_state& engine, const std::string& model)
{
    std::erase(engine.in_memory, model);
    engine.in_memory.push_back(model);
    const engine_profile* profile = this->find_profile(engine.entry.service);
    if (profile == nullptr)
        return;
    double total = 0;
    std::size_t kept = 0;
    for (auto one = engine.in_memory.rbegin(); one != engine.in_memory.rend();
         ++one)
    {
        const model_profile* copy =
            this->find_model(engine.entry.service, *one);
        total += copy == nullptr ? 0 : copy->memory_mb;
        if (total > profile->host_memory_mb)
            break;
        ++kept;
    }
    while (engine.in_memory.size() > kept)
        engine.in_memory.pop_front();
}

} // namespace roseworks
