#include "limits/budget_ledger.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <string>
#include <utility>
#include <vector>

namespace kumquatcove {
namespace {

constexpr Duration kStoreTimeout = Milliseconds(800);
constexpr Duration kRetryDelay = Milliseconds(300);
// Renewals of many instances would otherwise conflict on the one row each time.
constexpr double kRenewalJitter = 0.4;
// Conflicts in a row that are retried at once with the row that came back.
constexpr int kMaxConflicts = 4;
// Demand is raised by this factor, so that a share doesn't lag behind growth.
constexpr double kDemandReserve = 1.25;
// Demand below this is no reason to hold a lease.
constexpr double kLeastDemand = 0.01;
constexpr double kLeastBurst = 1;
// Leased slots are whole numbers; this is above their rounding error in parts
// of kWholePool.
constexpr double kSlotRounding = 1e-5;

// Parts of a limit: what each instance may use without a lease, and what is
// leased.
struct LimitParts {
  double floor = 0;
  double pool = 0;
};

LimitParts PartsOf(const Context& context, const LimitKey& limit) {
  const double declared = DeclaredLimit(context.Catalogue(), limit);
  const double half = declared / 2;
  const double floor =
      half / std::max(1, context.Catalogue().Topology().max_instances);
  // A fraction of a slot serves nobody, so the whole of such a limit is leased.
  if (limit.kind == LimitKind::kSpilloverSlots && floor < 1) {
    return {0, declared};
  }
  return {floor, half};
}

double Pool(const Context& context, const LimitKey& limit) {
  return PartsOf(context, limit).pool;
}

double Floor(const Context& context, const LimitKey& limit) {
  return PartsOf(context, limit).floor;
}

double ToSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

// Returns the part of the pool that must be leased for `amount`, rounded up.
std::int64_t LeaseFor(const Context& context,
                      const LimitKey& limit,
                      double amount) {
  const double pool = Pool(context, limit);
  const double above_floor = amount - Floor(context, limit);
  if (pool <= 0 || above_floor <= 0) {
    return 0;
  }
  return static_cast<std::int64_t>(
      std::ceil(std::min(1.0, above_floor / pool) * kWholePool));
}

bool IsOwn(const Context& context, const ShareHolder& holder) {
  return holder.instance == context.Self().instance &&
         holder.incarnation == context.Self().incarnation;
}

bool HasMarks(const ShareTable& table) {
  return table.rates_unknown != 0 || table.slots_unknown != 0;
}

bool IsSlots(const LimitKey& limit) {
  return limit.kind == LimitKind::kSpilloverSlots;
}

}  // namespace

bool BudgetLedger::TryTakeRate(Context& context,
                               const LimitKey& limit,
                               double amount) {
  assert(!IsSlots(limit));
  assert(amount >= 0);
  LocalLimit* local = FindOrAdd(context, limit);
  if (local == nullptr) {
    return false;
  }
  local->attempted += amount;
  Accrue(context, limit, *local);
  const double share = ShareOf(context, limit);
  const double burst = std::max(kLeastBurst, share * ToSeconds(kBurstTime));
  // An amount above the burst passes on a full bucket and leaves a debt, or it
  // could never pass.
  if (share <= 0 || local->tokens < std::min(amount, burst)) {
    local->refused = true;
    return false;
  }
  local->tokens -= amount;
  return true;
}

bool BudgetLedger::TryTakeSlot(Context& context, const LimitKey& limit) {
  assert(IsSlots(limit));
  LocalLimit* local = FindOrAdd(context, limit);
  if (local == nullptr) {
    return false;
  }
  if (local->in_use + 1 > ShareOf(context, limit)) {
    local->refused = true;
    return false;
  }
  ++local->in_use;
  local->most_in_use = std::max(local->most_in_use, local->in_use);
  return true;
}

void BudgetLedger::ReturnSlot(const LimitKey& limit) {
  const auto found = m_limits.find(limit);
  assert(found != m_limits.end() && found->second.in_use > 0);
  --found->second.in_use;
}

double BudgetLedger::ShareOf(const Context& context,
                             const LimitKey& limit) const {
  const auto found = m_limits.find(limit);
  const std::int64_t leased =
      found == m_limits.end() || context.Now() >= m_lease_until
          ? 0
          : UsableLease(found->second);
  const double share = Share(context, limit, leased);
  return IsSlots(limit) ? std::floor(share + kSlotRounding) : share;
}

void BudgetLedger::OnTick(Context& context) {
  if (!m_started) {
    m_started = context.Now();
    m_measured = context.Now();
  }
  AccrueAll(context);
  if (!m_call && context.Now() >= m_next_renewal) {
    MeasureDemand(context);
    ScheduleRenewal(context, kRenewInterval);
    if (m_in_row || NeedsLease() || !m_is_table_settled) {
      m_conflicts = 0;
      m_call_is_write = false;
      m_call = context.CallStoreFor(StoreClientModule::kLimits,
                                    StoreRead{{kShareTableKey}}, kStoreTimeout);
    }
  }
}

void BudgetLedger::OnStoreReply(Context& context,
                                StoreRequestId id,
                                const StoreReply& reply) {
  if (m_call != id) {
    return;
  }
  m_call.reset();
  AccrueAll(context);
  if (m_call_is_write) {
    OnWriteReply(context, reply);
  } else if (reply.status == StoreStatus::kOk && reply.rows.size() == 1 &&
             reply.rows[0].key == kShareTableKey) {
    OnRow(context, reply.rows[0], reply.era);
  } else {
    ScheduleRenewal(context, kRetryDelay);
  }
}

BudgetLedger::LocalLimit* BudgetLedger::FindOrAdd(Context& context,
                                                  const LimitKey& limit) {
  const auto found = m_limits.find(limit);
  if (found != m_limits.end()) {
    return &found->second;
  }
  if (m_limits.size() >= kMaxLimits) {
    return nullptr;
  }
  LocalLimit& local = m_limits[limit];
  local.accrued = m_started.value_or(context.Now());
  return &local;
}

std::int64_t BudgetLedger::UsableLease(const LocalLimit& local) const {
  const bool writing = m_call && m_call_is_write;
  const std::int64_t lease = std::min(local.held, local.doubtful);
  return writing ? std::min(lease, local.sent) : lease;
}

double BudgetLedger::Share(const Context& context,
                           const LimitKey& limit,
                           std::int64_t leased) {
  const double pool = Pool(context, limit);
  return Floor(context, limit) +
         pool * static_cast<double>(leased) / static_cast<double>(kWholePool);
}

void BudgetLedger::Accrue(const Context& context,
                          const LimitKey& limit,
                          LocalLimit& local) const {
  const MonotonicTime now = context.Now();
  const Duration elapsed = now - local.accrued;
  const Duration leased =
      std::max(Duration{0}, std::min(now, m_lease_until) - local.accrued);
  const double floor = Share(context, limit, 0);
  const double lease = Share(context, limit, UsableLease(local)) - floor;
  const double burst =
      std::max(kLeastBurst, ShareOf(context, limit) * ToSeconds(kBurstTime));
  local.tokens = std::min(burst, local.tokens + floor * ToSeconds(elapsed) +
                                     lease * ToSeconds(leased));
  local.accrued = now;
}

void BudgetLedger::AccrueAll(const Context& context) {
  for (auto& [limit, local] : m_limits) {
    if (!IsSlots(limit)) {
      Accrue(context, limit, local);
    }
  }
}

void BudgetLedger::MeasureDemand(const Context& context) {
  const double seconds = ToSeconds(context.Now() - m_measured);
  m_measured = context.Now();
  if (seconds <= 0) {
    return;
  }
  for (auto& [limit, local] : m_limits) {
    // A refused request doesn't say how many more would have come, so the
    // demand for slots grows by doubling.
    const double measured =
        IsSlots(limit)
            ? (local.refused ? 2 * local.most_in_use + 1 : local.most_in_use)
            : kDemandReserve * local.attempted / seconds;
    local.demand = std::max(measured, local.demand / 2);
    if (local.demand < (IsSlots(limit) ? 1 : kLeastDemand)) {
      local.demand = 0;
    }
    local.attempted = 0;
    local.most_in_use = local.in_use;
    local.refused = false;
  }
  std::erase_if(m_limits, [&](const auto& entry) {
    return entry.second.in_use == 0 && entry.second.demand <= 0 &&
           entry.second.held == 0 && Pool(context, entry.first) <= 0;
  });
}

bool BudgetLedger::NeedsLease() const {
  return std::any_of(m_limits.begin(), m_limits.end(),
                     [](const auto& entry) { return entry.second.demand > 0; });
}

void BudgetLedger::OnRow(Context& context,
                         const StoreRow& row,
                         std::int64_t era) {
  if (m_doubtful_version && *m_doubtful_version != row.version) {
    ClearDoubts();
  }
  std::optional<ShareTable> table;
  if (row.version != 0) {
    table = DecodeShareTable(row.value);
  }
  if (!table || table->era.value_or(era) != era) {
    const std::uint64_t mark = context.NextUniqueNumber();
    context.Record("budget_row_created", kShareTableKey,
                   {{"cause", table ? "store restored" : "no row"}});
    Write(context, ShareTable{mark, mark, {}, era}, row.version);
    return;
  }
  table->era = era;
  m_watch.OnTable(context.Now(), *table);
  AdoptRow(context, *table);
  const bool had_marks = HasMarks(*table);
  m_watch.RemoveLapsed(context, *table);
  m_is_table_settled = !HasMarks(*table);
  std::erase_if(table->holders, [&](const ShareHolder& holder) {
    return IsOwn(context, holder);
  });
  ShareHolder own = OwnShares(context, *table);
  const bool marks_lapsed = had_marks && m_is_table_settled;
  if (own.shares.empty() && !m_in_row && !marks_lapsed) {
    return;
  }
  if (!own.shares.empty()) {
    table->holders.push_back(std::move(own));
  }
  Write(context, std::move(*table), row.version);
}

void BudgetLedger::AdoptRow(const Context& context, const ShareTable& table) {
  const auto own = std::find_if(
      table.holders.begin(), table.holders.end(),
      [&](const ShareHolder& holder) { return IsOwn(context, holder); });
  for (auto& [limit, local] : m_limits) {
    local.held = 0;
  }
  m_in_row = own != table.holders.end();
  if (!m_in_row) {
    m_lease_until = std::min(m_lease_until, context.Now());
    m_in_row = m_doubtful_version.has_value();
    return;
  }
  for (const LeasedShare& share : own->shares) {
    const auto found = m_limits.find(share.limit);
    if (found != m_limits.end()) {
      found->second.held = share.held;
    }
  }
  if (own->renewal == m_renewal) {
    // The renewal whose reply was lost has taken effect.
    m_lease_until = std::max(m_lease_until, m_sent_at + kLeaseUse);
  }
}

ShareHolder BudgetLedger::OwnShares(const Context& context,
                                    const ShareTable& table) const {
  ShareHolder own{context.Self().instance, context.Self().incarnation, 0, {}};
  if (table.holders.size() >= kMaxShareHolders) {
    return own;
  }
  for (const auto& [limit, local] : m_limits) {
    const double demand =
        std::max(local.demand, static_cast<double>(local.in_use));
    const std::int64_t wanted = LeaseFor(context, limit, std::ceil(demand));
    if (wanted > 0 && own.shares.size() < kMaxSharesPerHolder) {
      own.shares.push_back(
          {limit, AmountFor(context, table, limit, local, wanted), wanted});
    }
  }
  return own;
}

std::int64_t BudgetLedger::AmountFor(const Context& context,
                                     const ShareTable& table,
                                     const LimitKey& limit,
                                     const LocalLimit& local,
                                     std::int64_t wanted) const {
  std::vector<std::int64_t> others;
  for (const ShareHolder& holder : table.holders) {
    for (const LeasedShare& share : holder.shares) {
      if (share.limit == limit) {
        others.push_back(share.wanted);
      }
    }
  }
  const std::int64_t available = kWholePool - LeasedSum(table, limit);
  const std::int64_t fair =
      std::min(available, FairPart(kWholePool, wanted, others));
  if (!IsSlots(limit)) {
    return table.rates_unknown == 0 ? fair : 0;
  }
  // What is in use can't be given up, and parts of a slot serve nobody.
  const std::int64_t in_use =
      std::min(local.held, LeaseFor(context, limit, local.in_use));
  if (table.slots_unknown != 0) {
    return in_use;
  }
  const double slots =
      std::max(1.0, std::floor(Share(context, limit, fair) + kSlotRounding));
  const std::int64_t whole = LeaseFor(context, limit, slots);
  return std::max(in_use, whole <= available ? whole : 0);
}

void BudgetLedger::Write(Context& context,
                         ShareTable table,
                         std::int64_t version) {
  for (auto& [limit, local] : m_limits) {
    local.sent = 0;
  }
  ++m_renewal;
  for (ShareHolder& holder : table.holders) {
    if (!IsOwn(context, holder)) {
      continue;
    }
    holder.renewal = m_renewal;
    for (const LeasedShare& share : holder.shares) {
      m_limits.at(share.limit).sent = share.held;
    }
  }
  std::optional<std::string> value = EncodeShareTable(table);
  if (!value) {
    context.Record("budget_row_full", kShareTableKey);
    return;
  }
  m_sent_own = std::any_of(
      table.holders.begin(), table.holders.end(),
      [&](const ShareHolder& holder) { return IsOwn(context, holder); });
  m_sent_at = context.Now();
  m_sent_version = version;
  m_call_is_write = true;
  m_call =
      context.CallStoreFor(StoreClientModule::kLimits,
                           StoreWrite{{{{{kShareTableKey, version}},
                                        {{kShareTableKey, std::move(value)}}}}},
                           kStoreTimeout);
}

void BudgetLedger::OnWriteReply(Context& context, const StoreReply& reply) {
  const bool answered =
      reply.status == StoreStatus::kOk && reply.results.size() == 1;
  if (answered && reply.results[0].committed) {
    for (auto& [limit, local] : m_limits) {
      local.held = local.sent;
    }
    ClearDoubts();
    m_in_row = m_sent_own;
    m_lease_until = m_sent_at + kLeaseUse;
    return;
  }
  if (answered && reply.results[0].rows.size() == 1) {
    if (++m_conflicts <= kMaxConflicts) {
      OnRow(context, reply.results[0].rows[0], reply.era);
    } else {
      ScheduleRenewal(context, kRetryDelay);
    }
    return;
  }
  if (reply.status != StoreStatus::kRefused) {
    for (auto& [limit, local] : m_limits) {
      local.doubtful = std::min(local.doubtful, local.sent);
    }
    m_doubtful_version = m_sent_version;
    m_in_row = true;
  }
  ScheduleRenewal(context, kRetryDelay);
}

void BudgetLedger::ClearDoubts() {
  m_doubtful_version.reset();
  for (auto& [limit, local] : m_limits) {
    local.doubtful = kWholePool;
  }
}

void BudgetLedger::ScheduleRenewal(Context& context, Duration delay) {
  const double factor =
      1 + kRenewalJitter * (context.RandomNumbers().NextFraction() - 0.5);
  m_next_renewal =
      context.Now() + Duration(static_cast<std::int64_t>(
                          factor * static_cast<double>(delay.count())));
}

}  // namespace kumquatcove
