// Runs a load on a model of upstreams, without a network, and compares the
// share of answers within the objective with that of a naive choice and that of
// the same code without one of its parts.
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
#include "dispatch/service_time_learner.h"
#include "dispatch/shared_load.h"

namespace kumquatcove {
namespace {

ServiceName Vitrina() {
  return ServiceName("vitrina");
}
constexpr Duration kRegionRoundTrip = Milliseconds(24);

enum class Policy {
  kPlacement,
  /** Instances exchange no digests. */
  kPlacementAlone,
  /** The naive choice. */
  kRandomFree,
};

/** Parameters of a run: upstreams of each region, their work times, and
 * requests. */
struct ModelLoad {
  std::map<std::string, int> upstreams = {{"lima", 10},
                                          {"arequipa", 2},
                                          {"trujillo", 8}};
  Duration miss_work = Milliseconds(310);
  Duration hit_work = Milliseconds(93);
  Duration objective = Milliseconds(250);
  /** Objects that an upstream caches. */
  std::size_t cache_capacity = 20;
  std::uint64_t objects_per_region = 49;
  double per_second = 200;
};

/** An upstream with a cache of recent objects and a queue. */
struct ModelUpstream {
  UpstreamRegistration registration;
  RegionName region;
  std::list<ObjectHash> memory;
  std::vector<MonotonicTime> slots;
  int present = 0;

  /** Returns the end of a request that arrives at `now`. */
  MonotonicTime Serve(const ModelLoad& load,
                      ObjectHash object,
                      MonotonicTime now,
                      Random& random) {
    const auto known = std::find(memory.begin(), memory.end(), object);
    const bool hit = known != memory.end();
    if (hit) {
      memory.erase(known);
    }
    memory.push_front(object);
    if (memory.size() > load.cache_capacity) {
      memory.pop_back();
    }
    // One request of 33 is a straggler.
    const double factor = (random.NextBelow(33) == 0 ? 7.0 : 1.0) *
                          (0.85 + 0.3 * random.NextFraction());
    const Duration work = hit ? load.hit_work : load.miss_work;
    auto& slot = *std::min_element(slots.begin(), slots.end());
    slot = std::max(slot, now) +
           Duration(std::llround(static_cast<double>(work.count()) * factor));
    return slot;
  }
};

struct ModelResult {
  double in_objective = 0;
  /** Lowest share within the objective of any region. */
  double worst_region = 1;
};

/** Instances of three regions with different numbers of upstreams. */
class ModelDeployment {
 public:
  ModelDeployment(Policy policy, const ModelLoad& load, std::uint64_t seed)
      : m_policy(policy), m_load(load), m_random(seed) {
    m_settings.zones = {{"lima-a", "lima"},
                        {"arequipa-a", "arequipa"},
                        {"trujillo-a", "trujillo"}};
    for (const auto& [region, count] : load.upstreams) {
      Add(region, count);
    }
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
    // The first quarter isn't counted, since the caches of upstreams start
    // empty.
    const MonotonicTime counted = now + time / 4;
    while (now < end) {
      now += Duration(std::llround(-std::log(1 - m_random.NextFraction()) *
                                   1'000'000 / m_load.per_second));
      FinishUntil(now);
      ShareUntil(now);
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
          placement(table, times, hit_probabilities, distances, region_name) {}

    RegionName region;
    UpstreamTable table;
    SharedLoad shared{table};
    ServiceTimes times;
    HitProbabilityEstimator hit_probabilities;
    ServiceTimeLearner learner{times, hit_probabilities};
    ZoneDistances distances;
    Placement placement;
  };
  struct Running {
    MonotonicTime end;
    std::size_t upstream;
    std::size_t instance;
    ObjectHash object;
    PlacementChoice choice;
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
    const ObjectHash object = HashObject(
        instance.region.Text(),
        std::to_string(m_random.NextBelow(m_load.objects_per_region)));
    const PlacementChoice choice = Choose(instance, object, now);
    const std::size_t chosen = IndexOf(choice.upstream);
    ModelUpstream& upstream = m_upstreams[chosen];
    const Duration round_trip =
        upstream.region == instance.region ? Duration(0) : kRegionRoundTrip;
    instance.table.OnStarted(upstream.registration.id);
    ++upstream.present;
    m_running.push({upstream.Serve(m_load, object, now, m_random), chosen,
                    number, object, choice, now, round_trip, counted});
  }

  PlacementChoice Choose(Instance& instance,
                         ObjectHash object,
                         MonotonicTime now) {
    if (m_policy != Policy::kRandomFree) {
      PlacementRequest request;
      request.service = Vitrina();
      request.object = object;
      const auto choice = instance.placement.Choose(request, now, m_random);
      REQUIRE(choice.has_value());
      return *choice;
    }
    // The naive choice uses the exact state of all upstreams.
    std::vector<std::size_t> free;
    for (std::size_t i = 0; i < m_upstreams.size(); ++i) {
      if (m_upstreams[i].present < 3) {
        free.push_back(i);
      }
    }
    const std::size_t chosen = free.empty()
                                   ? m_random.NextBelow(m_upstreams.size())
                                   : free[m_random.NextBelow(free.size())];
    PlacementChoice choice;
    choice.upstream = m_upstreams[chosen].registration.id;
    return choice;
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
      PlacementRequest request;
      request.service = Vitrina();
      request.object = done.object;
      instance.learner.RecordSuccess(request, done.choice,
                                     upstream.registration.slots,
                                     done.end - done.arrived);
      tracked.objects.Record(done.object);
      instance.shared.OnHandled(id, done.object);
      if (done.counted) {
        ++m_total[instance.region];
        m_good[instance.region] +=
            done.end - done.arrived + done.round_trip <= m_load.objective ? 1
                                                                          : 0;
      }
    }
  }

  /** Sends the load digest of each instance to the others of its region. */
  void ShareUntil(MonotonicTime now) {
    if (m_policy != Policy::kPlacement ||
        now - m_shared < SharedLoad::kMinInterval) {
      return;
    }
    m_shared = now;
    for (std::size_t i = 0; i < m_instances.size(); ++i) {
      const LoadDigest digest = m_instances[i]->shared.MakeDigest(now);
      for (std::size_t j = 0; j < m_instances.size(); ++j) {
        if (i != j && m_instances[i]->region == m_instances[j]->region) {
          m_instances[j]->shared.OnDigest(InstanceId(std::to_string(i)), digest,
                                          now);
        }
      }
    }
  }

  Policy m_policy;
  ModelLoad m_load;
  MonotonicTime m_shared;
  Random m_random;
  DispatchSettings m_settings;
  std::vector<ModelUpstream> m_upstreams;
  std::vector<std::unique_ptr<Instance>> m_instances;
  std::priority_queue<Running> m_running;
  std::map<RegionName, double> m_total;
  std::map<RegionName, double> m_good;
};

ModelResult RunModel(Policy policy, const ModelLoad& load, std::uint64_t seed) {
  return ModelDeployment(policy, load, seed).Run(Seconds(40));
}

ModelLoad PerSecond(double per_second) {
  ModelLoad load;
  load.per_second = per_second;
  return load;
}

}  // namespace

// 200 requests a second need every slot if all miss the cache, and a third of
// them if all hit it. The naive choice spreads each object over all upstreams.
TEST_CASE("At full load most callers are answered in time, in each region") {
  for (const std::uint64_t seed : {1U, 2U, 3U}) {
    const ModelResult placed =
        RunModel(Policy::kPlacement, PerSecond(200), seed);
    const ModelResult naive =
        RunModel(Policy::kRandomFree, PerSecond(200), seed);
    MESSAGE("placed ", placed.in_objective, " worst region ",
            placed.worst_region, ", naive ", naive.in_objective);
    CHECK(placed.in_objective > 0.8);
    CHECK(placed.worst_region > 0.7);
    CHECK(placed.in_objective > naive.in_objective + 0.2);
  }
}

TEST_CASE(
    "Placement still works at a load above the capacity without cache hits") {
  for (const std::uint64_t seed : {4U, 5U}) {
    const ModelResult placed =
        RunModel(Policy::kPlacement, PerSecond(300), seed);
    const ModelResult naive =
        RunModel(Policy::kRandomFree, PerSecond(300), seed);
    MESSAGE("placed ", placed.in_objective, " worst region ",
            placed.worst_region, ", naive ", naive.in_objective);
    CHECK(placed.in_objective > 0.7);
    CHECK(placed.in_objective > naive.in_objective + 0.3);
  }
}

// Guards against the overload of despacho on scale-1 of tintorera-funda: with
// six upstreams left, all objects were spread over all of them, none had them
// cached, and 80% of the answers were late or refused at 60% of the upstreams'
// capacity.
TEST_CASE("A few upstreams are each assigned a part of the objects") {
  ModelLoad load;
  load.upstreams = {{"lima", 2}, {"arequipa", 2}, {"trujillo", 2}};
  load.miss_work = Milliseconds(410);
  load.hit_work = Milliseconds(123);
  load.objective = Milliseconds(300);
  load.objects_per_region = 24;
  load.per_second = 60;
  for (const std::uint64_t seed : {6U, 7U, 8U}) {
    const ModelResult placed = RunModel(Policy::kPlacement, load, seed);
    const ModelResult naive = RunModel(Policy::kRandomFree, load, seed);
    MESSAGE("placed ", placed.in_objective, " worst region ",
            placed.worst_region, ", naive ", naive.in_objective);
    CHECK(placed.in_objective > 0.7);
    CHECK(placed.in_objective > naive.in_objective + 0.3);
  }
}

// Guards against choices by outdated reports: without digests, each instance
// receives a twelfth of the answers.
TEST_CASE("Instances that exchange load digests answer more callers in time") {
  for (const std::uint64_t seed : {9U, 10U}) {
    const ModelResult together =
        RunModel(Policy::kPlacement, PerSecond(300), seed);
    const ModelResult alone =
        RunModel(Policy::kPlacementAlone, PerSecond(300), seed);
    MESSAGE("together ", together.in_objective, ", alone ", alone.in_objective);
    CHECK(together.in_objective > alone.in_objective);
  }
}

}  // namespace kumquatcove
