@0xd30ba58e382828fe;
# Messages between entry instances. The structs mirror src/protocol/peer_message.h and src/catalogue/entry.h: fields
# have the same names in camel case, enumerants the same order. Durations and wall times are in microseconds.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("kumquatcove::schema");

interface Peer {
  deliver @0 (envelope :Envelope) -> ();
}

struct Envelope {
  sender @0 :Text;
  # Availability zone of the sender.
  zone @1 :Text;
  sent @2 :HybridTimestamp;
  message @3 :PeerMessage;
}

struct HybridTimestamp {
  wallMicroseconds @0 :Int64;
  counter @1 :UInt32;
}

struct PeerMessage {
  union {
    gossip @0 :Gossip;
    slotRequest @1 :SlotRequest;
    slotGrant @2 :SlotGrant;
    slotRefusal @3 :SlotRefusal;
    slotRelease @4 :SlotRelease;
    slotInventory @5 :SlotInventory;
    relayRequest @6 :RelayRequest;
    relayAnswer @7 :RelayAnswer;
    relayCancel @8 :RelayCancel;
    upstreamNotice @9 :UpstreamNotice;
    suspicion @10 :Suspicion;
    suspicionAck @11 :SuspicionAck;
    catalogueRequest @12 :CatalogueRequest;
    catalogueDelta @13 :CatalogueDelta;
    slotQueued @14 :SlotQueued;
    loadDigest @15 :LoadDigest;
    permitRequest @16 :PermitRequest;
    permitGrant @17 :PermitGrant;
  }
}

struct OptionalDuration {
  value @0 :Int64;
}

enum InstancePhase { joining @0; serving @1; leaving @2; }

struct MemberRecord {
  instance @0 :Text;
  incarnation @1 :Int64;
  counter @2 :Int64;
  region @3 :Text;
  zone @4 :Text;
  callerAddress @5 :Text;
  peerAddress @6 :Text;
  phase @7 :InstancePhase;
  catalogueRevision @8 :Int64;
}

struct Gossip {
  records @0 :List(MemberRecord);
  catalogueRevision @1 :Int64;
  catalogueDigest @2 :UInt64;
}

enum WorkLength { short @0; long @1; }

struct SlotRequest {
  ticket @0 :UInt64;
  service @1 :Text;
  patience @2 :Int64;
  length @3 :WorkLength;
  priority @4 :Int32;
  spillover @5 :Bool;
  hedge @6 :Bool;
  isolate @7 :Bool;
  exclude @8 :List(Text);
}

struct SlotGrant {
  ticket @0 :UInt64;
  service @1 :Text;
  upstream @2 :Text;
}

enum RefusalReason {
  none @0;
  notReady @1;
  isolated @2;
  leaving @3;
  unknownService @4;
  missingKey @5;
  invalidRequest @6;
  keyReused @7;
  quarantined @8;
  storeUnavailable @9;
  noUpstream @10;
  queueFull @11;
  deadlineTooShort @12;
  deadlineExpired @13;
  headroom @14;
  linkBudget @15;
  shiftCap @16;
  retryBudget @17;
  upstreamFailed @18;
  ownerUnreachable @19;
  peerUnreachable @20;
  overloaded @21;
}

struct SlotRefusal {
  ticket @0 :UInt64;
  service @1 :Text;
  reason @2 :RefusalReason;
}

struct SlotQueued {
  ticket @0 :UInt64;
  service @1 :Text;
}

enum AttemptResult { answered @0; shed @1; failed @2; timedOut @3; cancelled @4; notSent @5; }

struct SlotRelease {
  ticket @0 :UInt64;
  service @1 :Text;
  upstream @2 :Text;
  result @3 :AttemptResult;
  serviceTime @4 :Int64;
}

struct HeldSlot {
  ticket @0 :UInt64;
  upstream @1 :Text;
}

struct SlotInventory {
  service @0 :Text;
  held @1 :List(HeldSlot);
}

struct HttpHeader {
  name @0 :Text;
  value @1 :Data;
}

struct HttpRequest {
  method @0 :Text;
  target @1 :Data;
  host @2 :Data;
  serviceCode @3 :Data;
  idempotencyKey @4 :Data;
  deadline @5 :OptionalDuration;
  headers @6 :List(HttpHeader);
  body @7 :Data;
}

struct HttpAnswer {
  status @0 :Int32;
  headers @1 :List(HttpHeader);
  body @2 :Data;
}

enum Outcome { ran @0; didNotRun @1; unknown @2; }

struct CallerAnswer {
  outcome @0 :Outcome;
  reason @1 :RefusalReason;
  http @2 :HttpAnswer;
}

enum RelayPurpose { spillover @0; shift @1; claimOwner @2; }

struct RelayRequest {
  relay @0 :UInt64;
  purpose @1 :RelayPurpose;
  service @2 :Text;
  patience @3 :Int64;
  http @4 :HttpRequest;
}

struct RelayAnswer {
  relay @0 :UInt64;
  answer @1 :CallerAnswer;
}

struct RelayCancel {
  relay @0 :UInt64;
}

enum UpstreamState { serving @0; slowed @1; draining @2; down @3; }

struct UpstreamNotice {
  upstream @0 :Text;
  state @1 :UpstreamState;
}

enum SuspicionLevel { cleared @0; suspect @1; quarantined @2; }

struct Suspicion {
  contentHash @0 :UInt64;
  level @1 :SuspicionLevel;
  upstream @2 :Text;
}

struct UpstreamLoad {
  upstreamHash @0 :UInt64;
  inFlight @1 :Int32;
  awaited @2 :Int32;
  others @3 :Int32;
  workTimePercent @4 :Int32;
  reportAge @5 :Int64;
}

struct HandledObject {
  upstreamHash @0 :UInt64;
  objectHash @1 :UInt64;
}

struct LoadDigest {
  upstreams @0 :List(UpstreamLoad);
  handled @1 :List(HandledObject);
  operatorVersion @2 :Int64;
  upstreamsVersion @3 :Int64;
  limits @4 :List(UpstreamLimit);
  storeEra @5 :Int64;
  forecasts @6 :List(PermitForecast);
}

struct StatedLimit {
  rate @0 :Float64;
  age @1 :Int64;
}

struct PermitForecast {
  upstreamHash @0 :UInt64;
  wait @1 :Int64;
  age @2 :Int64;
}

struct UpstreamLimit {
  upstreamHash @0 :UInt64;
  limit @1 :StatedLimit;
}

struct PermitDemand {
  upstreamHash @0 :UInt64;
  wanted @1 :Int32;
  received @2 :UInt64;
  limit @3 :StatedLimit;
}

struct PermitRequest {
  demands @0 :List(PermitDemand);
}

struct GrantedPermits {
  upstreamHash @0 :UInt64;
  count @1 :Int32;
  wait @2 :Int64;
  issuer @3 :Text;
  limit @4 :StatedLimit;
}

struct PermitGrant {
  grants @0 :List(GrantedPermits);
}

struct SuspicionAck {
  contentHash @0 :UInt64;
  level @1 :SuspicionLevel;
}

struct CatalogueRequest {
  knownRevision @0 :Int64;
}

struct CatalogueDelta {
  baseRevision @0 :Int64;
  revision @1 :Int64;
  digest @2 :UInt64;
  entries @3 :List(CatalogueEntry);
}

struct CatalogueEntry {
  revision @0 :Int64;
  committed @1 :Int64;
  body @2 :EntryBody;
  shiftStarts @3 :List(Int64);
}

struct EntryBody {
  union {
    service @0 :ServiceEntry;
    topology @1 :TopologyEntry;
  }
}

enum RequestClass { idempotent @0; nonIdempotent @1; }

struct ServiceNames {
  host @0 :List(Text);
  path @1 :List(Text);
  code @2 :List(Text);
}

struct UpstreamDeclaration {
  id @0 :Text;
  zone @1 :Text;
  address @2 :Text;
  drained @3 :Bool;
}

struct ServiceLimits {
  slotsPerUpstream @0 :Int32;
  connectionsPerUpstream @1 :Int32;
  queueLength @2 :Int32;
  defaultDeadlineMs @3 :Int32;
  maxDeadlineMs @4 :Int32;
  headroomPermille @5 :Int32;
  shiftCapPerSecond @6 :Int32;
  retryPermille @7 :Int32;
  hedgePermille @8 :Int32;
  priority @9 :Int32;
  claimRetentionS @10 :Int32;
}

struct ShiftDeclaration {
  from @0 :Text;
  to @1 :Text;
  targetPermille @2 :Int32;
  stepPermille @3 :Int32;
  stepIntervalS @4 :Int32;
}

struct ServiceEntry {
  service @0 :Text;
  owner @1 :Text;
  requestClass @2 :RequestClass;
  names @3 :ServiceNames;
  limits @4 :ServiceLimits;
  upstreams @5 :List(UpstreamDeclaration);
  shifts @6 :List(ShiftDeclaration);
}

struct RegionDeclaration {
  name @0 :Text;
  zones @1 :List(Text);
}

struct ClientBlock {
  prefix @0 :Text;
  zone @1 :Text;
}

struct TopologyEntry {
  owner @0 :Text;
  regions @1 :List(RegionDeclaration);
  linkMbitPerSecond @2 :Int32;
  maxInstances @3 :Int32;
  lookupTtlMs @4 :Int32;
  clientBlocks @5 :List(ClientBlock);
}
