// Plays a load on a model of upstreams, without a network, and checks what
// callers get: against a naive choice and against the same code without one of
// its parts.
#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <vector>

#include "base/random.h"
#include "dispatch/placement.h"

namespace kumquatcove {
namespace {

ServiceName Vitrina() {
  return ServiceName("vitrina");
}
constexpr Duration kUnknownWork = Milliseconds(310);
constexpr Duration kFamiliarWork = Milliseconds(93);
constexpr Duration kObjective = Milliseconds(250);
constexpr Duration kRegionRoundTrip = Milliseconds(24);
constexpr std::size_t kRemembered = 20;
constexpr int kObjectsPerRegion = 49;

enum class Policy { kPlacement, kRandomFree };

/** An upstream that remembers its last objects and has a queue. */
struct ModelUpstream {
  UpstreamRegistration registration;
  RegionName region;
  std::list<ObjectHash> memory;
  std::vector<MonotonicTime> slots;
  int present = 0;

  /** Returns the end of a request that arrives at `now`. */
  MonotonicTime Serve(ObjectHash object, MonotonicTime now, Random& random) {
    const auto known = std::find(memory.begin(), memory.end(), object);
    const bool familiar = known != memory.end();
    if (familiar) {
      memory.erase(known);
    }
    memory.push_front(object);
    if (memory.size() > kRemembered) {
      memory.pop_back();
    }
    // One request of 33 is a straggler.
    const double factor = (random.NextBelow(33) == 0 ? 7.0 : 1.0) *
                          (0.85 + 0.3 * random.NextFraction());
    const Duration work = familiar ? kFamiliarWork : kUnknownWork;
    auto& slot = *std::min_element(slots.begin(), slots.end());
    slot = std::max(slot, now) +
           Duration(std::llround(static_cast<double>(work.count()) * factor));
    return slot;
  }
};

struct ModelResult {
  double in_objective = 0;
  /** Share in objective of the region that gets least. */
  double worst_region = 1;
};

/** Instances of three regions before upstreams of unlike number. */
class ModelDeployment {
 public:
  ModelDeployment(Policy policy, double per_second, std::uint64_t seed)
      : m_policy(policy), m_per_second(per_second), m_random(seed) {
    m_settings.zones = {{"lima-a", "lima"},
                        {"arequipa-a", "arequipa"},
                        {"trujillo-a", "trujillo"}};
    Add("lima", 10);
    Add("arequipa", 2);
    Add("trujillo", 8);
    for (const auto& [zone, region] : m_settings.zones) {
      for (int i = 0; i < 4; ++i) {
        m_instances.push_back(std::make_unique<Instance>(
            ZoneName(zone), RegionName(region), m_settings));
        for (const ModelUpstream& upstream : m_upstreams) {
          m_instances.back()->table.OnRegistered(
              upstream.registration, upstream.region, MonotonicTime());
        }
      }
    }
  }

  ModelResult Run(Duration time) {
    const MonotonicTime end = MonotonicTime(Seconds(100) + time);
    MonotonicTime now(Seconds(100));
    // Upstreams have nothing at hand in the first quarter.
    const MonotonicTime counted = now + time / 4;
    while (now < end) {
      now += Duration(std::llround(-std::log(1 - m_random.NextFraction()) *
                                   1'000'000 / m_per_second));
      FinishUntil(now);
      Arrive(now, now >= counted);
    }
    ModelResult result;
    double total = 0;
    double good = 0;
    for (const auto& [region, count] : m_total) {
      total += count;
      good += m_good[region];
      result.worst_region =
          std::min(result.worst_region, m_good[region] / count);
    }
    result.in_objective = good / total;
    return result;
  }

 private:
  struct Instance {
    Instance(const ZoneName& zone_name,
             const RegionName& region_name,
             const DispatchSettings& settings)
        : region(region_name),
          distances(zone_name, region_name, settings),
          placement(table, times, distances, region_name) {}

    RegionName region;
    UpstreamTable table;
    ServiceTimes times;
    ZoneDistances distances;
    Placement placement;
  };
  struct Running {
    MonotonicTime end;
    std::size_t upstream;
    std::size_t instance;
    ObjectHash object;
    MonotonicTime arrived;
    Duration round_trip;
    bool counted;
    bool operator<(const Running& other) const { return end > other.end; }
  };

  void Add(const std::string& region, int count) {
    for (int i = 0; i < count; ++i) {
      ModelUpstream upstream;
      upstream.registration.id = UpstreamId(region + std::to_string(i));
      upstream.registration.service = Vitrina();
      upstream.registration.zone = ZoneName(region + "-a");
      upstream.registration.slots = 3;
      upstream.region = RegionName(region);
      upstream.slots.resize(3);
      m_upstreams.push_back(std::move(upstream));
    }
  }

  void Arrive(MonotonicTime now, bool counted) {
    const std::size_t number = m_random.NextBelow(m_instances.size());
    Instance& instance = *m_instances[number];
    const ObjectHash object =
        HashObject(instance.region.Text(),
                   std::to_string(m_random.NextBelow(kObjectsPerRegion)));
    const std::size_t chosen = Choose(instance, object, now);
    ModelUpstream& upstream = m_upstreams[chosen];
    const Duration round_trip =
        upstream.region == instance.region ? Duration(0) : kRegionRoundTrip;
    instance.table.OnStarted(upstream.registration.id);
    ++upstream.present;
    m_running.push({upstream.Serve(object, now, m_random), chosen, number,
                    object, now, round_trip, counted});
  }

  std::size_t Choose(Instance& instance, ObjectHash object, MonotonicTime now) {
    if (m_policy == Policy::kPlacement) {
      PlacementRequest request;
      request.service = Vitrina();
      request.object = object;
      request.waiting_ratio = 4;
      const auto choice = instance.placement.Choose(request, now, m_random);
      REQUIRE(choice.has_value());
      return IndexOf(choice->upstream);
    }
    // The naive choice knows all upstreams exactly.
    std::vector<std::size_t> free;
    for (std::size_t i = 0; i < m_upstreams.size(); ++i) {
      if (m_upstreams[i].present < 3) {
        free.push_back(i);
      }
    }
    return free.empty() ? m_random.NextBelow(m_upstreams.size())
                        : free[m_random.NextBelow(free.size())];
  }

  std::size_t IndexOf(const UpstreamId& id) const {
    const auto found = std::find_if(
        m_upstreams.begin(), m_upstreams.end(),
        [&](const ModelUpstream& u) { return u.registration.id == id; });
    return static_cast<std::size_t>(found - m_upstreams.begin());
  }

  void FinishUntil(MonotonicTime now) {
    while (!m_running.empty() && m_running.top().end <= now) {
      const Running done = m_running.top();
      m_running.pop();
      ModelUpstream& upstream = m_upstreams[done.upstream];
      Instance& instance = *m_instances[done.instance];
      --upstream.present;
      const UpstreamId& id = upstream.registration.id;
      instance.table.OnEnded(id, SendResult::kAnswered, done.end);
      instance.table.OnLoadReport(id, {upstream.present, 0, 3, 100}, done.end);
      TrackedUpstream& tracked = *instance.table.Find(id);
      instance.times.Add(Vitrina(),
                         tracked.objects.Contains(done.object)
                             ? ObjectFamiliarity::kFamiliar
                             : ObjectFamiliarity::kUnknown,
                         done.end - done.arrived);
      tracked.objects.Note(done.object);
      if (done.counted) {
        ++m_total[instance.region];
        m_good[instance.region] +=
            done.end - done.arrived + done.round_trip <= kObjective ? 1 : 0;
      }
    }
  }

  Policy m_policy;
  double m_per_second;
  Random m_random;
  DispatchSettings m_settings;
  std::vector<ModelUpstream> m_upstreams;
  std::vector<std::unique_ptr<Instance>> m_instances;
  std::priority_queue<Running> m_running;
  std::map<RegionName, double> m_total;
  std::map<RegionName, double> m_good;
};

ModelResult Play(Policy policy, double per_second, std::uint64_t seed) {
  return ModelDeployment(policy, per_second, seed).Run(Seconds(40));
}

}  // namespace

// 200 requests a second need every slot with nothing at hand, and a third with
// everything at hand. The naive choice spreads each object over all upstreams.
TEST_CASE("At full load most callers are answered in time, in each region") {
  for (const std::uint64_t seed : {1U, 2U, 3U}) {
    const ModelResult placed = Play(Policy::kPlacement, 200, seed);
    const ModelResult naive = Play(Policy::kRandomFree, 200, seed);
    MESSAGE("placed ", placed.in_objective, " worst region ",
            placed.worst_region, ", naive ", naive.in_objective);
    CHECK(placed.in_objective > 0.8);
    CHECK(placed.worst_region > 0.7);
    CHECK(placed.in_objective > naive.in_objective + 0.2);
  }
}

TEST_CASE(
    "At a load above all slots without objects at hand, placing still holds") {
  for (const std::uint64_t seed : {4U, 5U}) {
    const ModelResult placed = Play(Policy::kPlacement, 300, seed);
    const ModelResult naive = Play(Policy::kRandomFree, 300, seed);
    MESSAGE("placed ", placed.in_objective, " worst region ",
            placed.worst_region, ", naive ", naive.in_objective);
    CHECK(placed.in_objective > 0.7);
    CHECK(placed.in_objective > naive.in_objective + 0.3);
  }
}

}  // namespace kumquatcove
