// Messages between hosts, over links and as datagrams. Every message is one Frame
// with exactly one field set.
namespace py cactusmill.internal.wire

// First frame in each direction of a link.
struct Hello {
  1: required string host
  2: required string zone
  3: required string incarnation
  4: required binary nonce
}

// Second frame in each direction: proves that the sender knows the link secret,
// without revealing it.
struct Proof {
  1: required binary mac
}

// The wait of a new request for a service. In a heartbeat: a service whose endpoints
// in the sender's zone are full. In a RegionSummary: any service of the region.
struct ServiceWait {
  1: required string serves
  2: required i32 wait_ms
}

// Sent every heartbeat interval, and at once when a version rises.
struct Heartbeat {
  1: required i64 sequence
  2: required i64 records_version
  3: required i64 hosts_version
  4: required bool leaving
  5: optional list<string> leaving_endpoints
  6: optional list<ServiceWait> waits
}

struct HeartbeatAck {
  1: required i64 sequence
  2: required i64 records_version
  3: required i64 hosts_version
  4: required bool leaving
  5: optional list<string> leaving_endpoints
  6: optional list<ServiceWait> waits
}

// Requests the changes above a version of a store, named in `book`: "records",
// "hosts" or "items".
struct ChangesPull {
  1: required i64 call
  2: required string book
  3: required i64 since_version
}

// `update` is JSON text in the format of the platform's own responses, so that a
// host passes on records of schema versions that it does not understand.
struct ChangesReply {
  1: required i64 call
  2: required binary update
}

struct Header {
  1: required string name
  2: required string value
}

// A caller's request, authenticated by the sending host. The caller's key is
// not part of it.
struct Forward {
  1: required i64 call
  2: required string request_id
  3: required string route
  4: required string team
  5: required i64 records_version
  6: required string method
  7: required string target
  8: required list<Header> headers
  9: required binary body
  10: optional string identifier
  11: required i64 remaining_ms
  12: required string incarnation
  // How many endpoints the receiver may still send the request to.
  13: optional i32 attempts
  // Time left of the latency objective; negative if it has passed.
  14: optional i64 objective_ms
}

struct AnswerHead {
  1: required i64 call
  2: required string request_id
  3: required i32 status
  4: required list<Header> headers
  5: optional string refusal
  // Time after which the caller may retry a refused request.
  6: optional i64 retry_after_ms
  // True if the request has not run and never will.
  7: optional bool not_run
}

struct AnswerData {
  1: required i64 call
  2: required binary data
  // Bytes of the body before these.
  3: optional i64 position
}

struct AnswerEnd {
  1: required i64 call
  2: required bool complete
  // Bytes of the whole body.
  3: optional i64 size
}

struct Cancel {
  1: required i64 call
}

struct LoanAsk {
  1: required i64 call
  2: required string team
  3: required i64 tokens
  4: required string borrower
}

struct LoanGrant {
  1: required i64 call
  2: required string team
  3: required i64 tokens
  4: required i64 valid_ms
}

// Number of the sender's requests in flight at an endpoint. The key is a hash of
// the endpoint's name.
struct EndpointLoad {
  1: required i32 key
  2: required i32 in_flight
}

// Sent within a zone only, as often as the traffic budget allows.
struct LoadReport {
  1: required list<EndpointLoad> loads
}

// A request that a crash interrupted: keyed digests of it and of the parts of its
// prompt, and how well it explains the crash, in hundredths.
struct CrashCandidate {
  1: required i64 request
  2: required list<i64> parts
  3: required i32 weight
}

// What the sender knows of the crash of one incarnation of an endpoint. `proven` are
// the parts that were served not long before.
struct CrashReport {
  1: required i64 incarnation
  2: required i32 age_ms
  3: required list<CrashCandidate> candidates
  4: required list<i64> proven
}

// A request or part of a prompt that was served whole, and the age of that response's
// beginning.
struct Clearance {
  1: required i64 thing
  2: required i32 age_ms
}

// A decision to hold a request or part back, or to release it.
struct ConvictionEntry {
  1: required i64 thing
  2: required i32 epoch
  3: required bool held
  4: required i32 age_ms
  5: required i32 crash_age_ms
  6: required i32 trials
  7: required i32 crashes
  8: required list<i64> companions
}

// News about what crashes endpoints. `known` is a hash of all decisions that the sender
// knows.
struct ContainmentNews {
  1: required i64 known
  2: optional list<CrashReport> crashes
  3: optional list<Clearance> clearances
  4: optional list<ConvictionEntry> convictions
}

// Last known state of a host, as reported by itself or another host.
struct MemberNote {
  1: required string host
  2: required string ip
  3: required string zone
  4: required string region
  5: required string incarnation
  6: required i32 age_ms
  7: required bool leaving
}

// A team's recent demand at the sender. The key is a hash of the team's name.
struct TeamDemand {
  1: required i32 key
  2: required i32 tokens_per_s
}

// The sender's requests in flight and queued prompt tokens at an endpoint. The key
// is a hash of the endpoint's name.
struct EndpointWork {
  1: required i32 key
  2: required i32 in_flight
  3: required i32 prompt_tokens
  // The part of `prompt_tokens` that belongs to patient routes. Absent if none.
  4: optional i32 patient_tokens
  // Tokens of KV cache that the requests in flight hold or will hold. Absent if none.
  5: optional i32 held_tokens
}

// What callers asked of a service at one priority, and what was refused of it because
// the service had no room, in prompt tokens per second. `admitted_permille` is the part
// of the requests at that priority that the sender admits.
struct RankDemand {
  1: required string serves
  2: required i32 priority
  3: required i32 asked_tokens_per_s
  4: required i32 refused_tokens_per_s
  5: optional i32 admitted_permille
}

// Newest pace of an endpoint's machine that the sender has seen, in percent of the usual
// duration of work, and its age. The key is that of `EndpointWork`.
struct EndpointPace {
  1: required i32 key
  2: required i32 percent
  3: required i32 age_ms
}

// Prompt tokens per second of a service: room for more, or wanted from other regions.
struct ServiceRoom {
  1: required string serves
  2: required i32 tokens_per_s
}

// Totals of a region: the demand of its hosts by team, and the wait for each service
// there. `heard_age_ms` is the time since the host of the region that was seen least
// recently was last seen, `told_age_ms` the time since a host of the region computed
// the totals.
struct RegionSummary {
  1: required string region
  2: required i32 hosts
  3: required i32 heard_age_ms
  4: required i32 told_age_ms
  5: required list<TeamDemand> demands
  6: required list<ServiceWait> waits
  // Room for requests of other regions, and what the region wants to forward to them.
  // Absent where no service divides its room between regions.
  7: optional list<ServiceRoom> rooms
  8: optional list<ServiceRoom> forwards
}

// A zone whose evacuation ended, the revision of the end and the time since a host saw
// it.
struct ZoneReopening {
  1: required string zone
  2: required i64 revision
  3: required i32 age_ms
}

// A heartbeat of gossip. Sent as one datagram, several times a second within a region
// and less often to other regions: the sender, the hosts that it knows and the state
// that hosts share.
struct Beat {
  1: required MemberNote sender
  2: required i64 sequence
  3: required bool ready
  4: required i64 configuration_version
  5: required i64 revision
  6: required list<MemberNote> members
  7: optional list<TeamDemand> demands
  8: optional list<EndpointWork> work
  // Totals of the sender's own region for hosts of other regions, else of all other
  // regions.
  11: optional list<RegionSummary> regions
  // Age of the source's last response to the sender; absent if it does not watch.
  12: optional i32 source_age_ms
  // True while the source does not respond to the sender.
  13: optional bool source_failing
  // Zones that reopened within a warm-up time. Absent if none.
  14: optional list<ZoneReopening> reopened
  // Lag of the sender's event loop. Absent if it is short.
  15: optional i32 lag_ms
  // Absent if the sender holds nothing back and has no news.
  16: optional ContainmentNews containment
  // Absent if no service has patient routes.
  17: optional list<RankDemand> ranks
  // Absent if no endpoint reports a pace.
  18: optional list<EndpointPace> paces
  // What the sender wants to forward to other regions. Absent if nothing.
  19: optional list<ServiceRoom> forwards
  // True if `demands` and `work` hold only what changed since an earlier heartbeat, 0 if
  // none is left, and false if they hold everything. Absent if the sender reads no such
  // heartbeats, in which `sender` may name only the incarnation.
  20: optional bool partial
}

union Frame {
  1: Hello hello
  2: Proof proof
  3: Heartbeat heartbeat
  4: HeartbeatAck heartbeat_ack
  5: ChangesPull changes_pull
  6: ChangesReply changes_reply
  7: Forward forward
  8: AnswerHead answer_head
  9: AnswerData answer_data
  10: AnswerEnd answer_end
  11: Cancel cancel
  12: LoanAsk loan_ask
  13: LoanGrant loan_grant
  14: ContainmentNews containment
  15: LoadReport load_report
  16: Beat beat
}
