#pragma once

#include "core/state/fleet_data.hpp"

#include <roseworks/record.hpp>

/// Folds of claims on idempotency keys and of requests that crash servers.
namespace roseworks::detail
{

fold_result fold(fold_context& context, const claim_open& value);
fold_result fold(fold_context& context, const claim_close& value);
fold_result fold(fold_context& context, const request_suspect& value);
fold_result fold(fold_context& context, const request_unblock& value);

/// Forget claims and suspicions whose time is over at the log's time.
void expire(fold_context& context);

} // namespace roseworks::detail
