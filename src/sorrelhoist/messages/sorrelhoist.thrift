// Messages between sorrelhoist processes.
//
// Every message travels in an Envelope. TCP frames are a 4-byte big-endian
// length followed by a compact-protocol Envelope. A UDP datagram is one Envelope.
// Field names carry their unit as a suffix. Times are sent as relative durations:
// processes never compare their clocks.

namespace py gen

// Load of an endpoint as its agent sees it, sent with every grant and denial.
struct Load {
  1: string endpoint,
  2: string phase,
  3: i32 running_requests,
  4: i32 queued_requests,
  5: i64 kv_used_tokens,
  6: i64 kv_capacity_tokens,
  7: i64 pending_prefill_tokens,
  8: i64 prefill_tokens_per_s,
  9: i32 long_requests,
  10: i64 queue_delay_ms,
}

// Asks an agent for a grant to use its endpoint. Does not carry the prompt.
struct GrantRequest {
  1: string request_id,
  2: string workspace,
  3: string model,
  4: i64 prompt_tokens,
  5: i64 output_tokens,
  6: i64 budget_ms,            // time left until the caller's deadline
  7: string entry_id,
  8: list<i64> prefix_hashes,  // of prompt prefixes, shortest first, for rendezvous hashing
  9: i64 fingerprint,          // of the prompt, to detect poison requests
  10: bool suspected,          // must run exclusively
  11: double weight,           // of the workspace
  12: string group_id,         // empty unless part of a group reservation
  13: i64 delivered_tokens,    // tokens already sent to the caller
  14: i64 kv_share_tokens,     // share of this endpoint if it is one of a group, else 0
}

struct Grant {
  1: string grant_id,
  2: i64 lease_ms,
  3: string boot_id,
  4: Load load,
}

struct Denial {
  1: string kind,
  2: string message,
  3: string remedy,
  4: bool not_run,
  5: i64 retry_after_ms,
  6: optional Load load,
}

// Uses a grant to run a request. The first Piece is the reply.
struct Submit {
  1: string grant_id,
  2: string request_id,
  3: string prompt,
  4: i64 output_tokens,
  5: list<string> delivered,   // tokens that the caller already has
  6: list<string> group_endpoints,
  7: string model,
}

// Renews the leases of grants.
struct Renew {
  1: string entry_id,
  2: list<string> grant_ids,
}

struct Renewed {
  1: list<string> unknown_grant_ids,
}

// The request is queued at the agent. Sent repeatedly until it is granted or denied.
struct Queued {
  1: string request_id,
  2: i64 queue_delay_ms,
}

// Releases a grant, whether its request is running or not, or withdraws a queued request.
struct Cancel {
  1: string grant_id,
  2: string reason,
  3: string request_id,
}

struct Cancelled {
  1: bool not_run,
}

// Attaches to a stream of this agent, starting at a sequence number.
struct Attach {
  1: string request_id,
  2: i64 from_sequence,
  3: string entry_id,
}

// Tokens [sequence, sequence + len(tokens)) of one request.
struct Piece {
  1: string request_id,
  2: i64 sequence,
  3: list<string> tokens,
}

struct StreamEnd {
  1: string request_id,
  2: i64 total_tokens,
  3: string finish_reason,
  4: i64 prompt_tokens,
  5: Load load,
}

// The stream stopped before its end.
struct StreamFailure {
  1: string request_id,
  2: string kind,
  3: string message,
  4: i64 next_sequence,
  5: bool endpoint_died,
  6: bool sole_request,        // no other request was running when the endpoint died
  7: optional Load load,
}

struct ServiceCall {
  1: string request_id,
  2: string workspace,
  3: string service_name,
  4: string method,
  5: string path,
  6: string idempotency_key,
  7: binary body,
  8: string content_type,
  9: i64 budget_ms,
}

struct ServiceReply {
  1: i32 status,
  2: string content_type,
  3: binary body,
  4: bool replayed,
}

struct ConfigurationRequest {
  1: i64 have_offset,
}

struct ConfigurationBody {
  1: i64 effective_offset,
  2: i64 revision,
  3: string digest,
  4: binary documents,         // JSON, canonical
}

// Effective offset of the receiver after it applied a ConfigurationBody.
struct ConfigurationAck {
  1: string node_id,
  2: i64 effective_offset,
}

struct Member {
  1: string node_id,
  2: string role,
  3: string address,
  4: i32 peer_port,
  5: i32 http_port,
  6: string host,
  7: string failure_domain,
  8: string region,
  9: string endpoint,          // empty for entries
  10: list<string> models,
  11: i64 incarnation,
  12: string boot_id,
  13: string state,            // alive, suspect, dead, left
  14: string service_name,          // plain service behind an agent, or empty
}

// Evidence against one of the requests that ran on an endpoint when it died.
// Identified by fingerprint and death_id, so receiving it twice counts once.
struct Suspicion {
  1: i64 fingerprint,
  2: i64 death_id,             // derived from the endpoint's name and boot id
  3: i32 running_requests,     // distinct fingerprints that were running; 1 if it ran alone
  4: i64 lifetime_ms,          // remaining time until it expires
  5: bool cleared,             // the request has completed since then
}

// Digest of the configuration, carried by probes besides membership changes.
struct Digest {
  1: i64 configuration_offset,
  2: string configuration_digest,
}

struct Ping {
  1: string node_id,
  2: i64 sequence,
  3: list<Member> updates,
  4: Digest digest,
  5: list<Suspicion> suspicions,
  6: string target_node_id,
}

struct Pong {
  1: string node_id,
  2: i64 sequence,
  3: list<Member> updates,
  4: Digest digest,
  5: list<Suspicion> suspicions,
}

// Asks the receiver to probe another member on behalf of the sender.
struct IndirectPing {
  1: string node_id,
  2: i64 sequence,
  3: Member target,
}

struct SyncRequest {
  1: list<Member> members,
}

struct SyncReply {
  1: list<Member> members,
}

// Demand of one workspace at one entry.
struct Demand {
  1: string workspace,
  2: double requests_per_s,
  3: i64 held_tokens,
}

// Sent between entries; workspaces without demand are omitted.
struct DemandReport {
  1: string entry_id,
  2: list<Demand> demands,
}

struct DemandHeard {
}

// Notifies the receiver that the platform lists its host as leaving.
struct HostLeaving {
  1: string host,
}

struct HostLeavingHeard {
}

// Total load that a gateway has placed on one endpoint.
struct EndpointLoad {
  1: string address,
  2: i32 streams,
  3: i32 tight_streams,
  4: i64 kv_tokens,
  5: i32 read_ms,
  6: i32 reading_age_ms,
  7: i32 helps,
  // Time until the first of its prefills is late (objective, else deadline); absent if none.
  8: optional i32 due_in_ms,
  // Cumulative prefill time of all prefills that the sender has ever placed there.
  9: i64 placed_ms,
  // Shortest pause target of the sender's streams there; absent if none has one.
  10: optional i32 pause_ms,
}

struct EndpointFailures {
  1: string endpoint_id,
  // Decayed number of failures, in hundredths.
  2: i32 score_percent,
}

// Limit that an endpoint named in an answer to the sender.
struct NamedLimit {
  1: string endpoint_id,
  // Requests a second from all gateways together; absent if the answer named none any more.
  2: optional double requests_per_s,
  // Time since that answer.
  3: i32 age_ms,
}

// Endpoint that said in an answer to the sender that it is leaving.
struct LeavingEndpoint {
  1: string endpoint_id,
  // Start of the process that said it, Unix milliseconds; 0 if unknown.
  2: i64 born_ms,
}

// Load of one workspace at a service.
struct WorkspaceDemand {
  // Hash of the name of the workspace.
  1: i64 workspace,
  // Prefill time that is placed and not complete, or waits.
  2: i32 read_ms,
  // Requests that wait for placement.
  3: i32 waiting,
}

// Requests of one service that wait for placement at the sender, and its largest workspaces.
struct ServiceDemand {
  1: string service_name,
  2: i32 waiting,
  3: i32 waiting_read_ms,
  4: list<WorkspaceDemand> workspaces,
}

// All load that a gateway has placed. A later report replaces an earlier one.
struct LoadReport {
  1: string node_id,
  2: i64 boot_ms,
  3: i64 sequence,
  4: list<EndpointLoad> loads,
  5: list<Suspicion> suspicions,
  // Version of the configuration that the sender has; absent if it has none.
  6: optional i64 configuration_version,
  // Time since this was last known to be the newest version in the store.
  7: optional i32 configuration_age_ms,
  8: optional string failure_domain,
  // Endpoints that failed requests of the sender recently.
  9: optional list<EndpointFailures> failures,
  10: optional list<NamedLimit> named_limits,
  // Whether the sender issues permits; absent in reports of a build that knows none.
  11: optional bool issues_permits,
  // Like suspicions, but of parts of prompts: the fingerprints are those of parts.
  12: optional list<Suspicion> part_suspicions,
  13: optional list<LeavingEndpoint> leaving,
  // Absent in reports of a build that doesn't report demand.
  14: optional list<ServiceDemand> demands,
  // Unused share of the sender's scarcest resource: processor, link or memory.
  15: optional i32 headroom_percent,
  // Whether the sender answers a MemoryAsk for the endpoints that it is chosen for.
  16: optional bool grants_memory,
}

// New totals of some endpoints of the sender's last report, sent before the next one.
struct LoadUpdate {
  1: string node_id,
  2: i64 boot_ms,
  // From the same counter as that of reports.
  3: i64 sequence,
  4: list<EndpointLoad> loads,
}

struct DirectoryRecord {
  1: string endpoint_id,
  // The record of the store; absent if the store has none any more.
  2: optional binary value,
}

// Changes of the directory that the sender has just read from the store.
struct DirectoryUpdate {
  1: string node_id,
  2: i64 era,
  3: i64 digest_before,
  4: i64 digest_after,
  5: list<DirectoryRecord> records,
  // Time since the read was sent.
  6: i32 age_ms,
}

// Asks the gateway that issues the permits of an endpoint to let requests be sent there.
struct PermitAsk {
  1: string node_id,
  2: i64 ask_id,
  3: string endpoint_id,
  4: i32 permits,
  // Rate at which the endpoint takes requests, as far as the sender knows.
  5: double requests_per_s,
}

struct PermitGrant {
  1: i64 ask_id,
  2: string endpoint_id,
  3: i32 permits,
}

// Asks the gateway that grants the memory of an engine for a part of it. With 0 tokens it
// gives back what an earlier ask of the same id got.
struct MemoryAsk {
  1: string node_id,
  2: i64 ask_id,
  3: string address,
  4: i64 tokens,
  // What all requests may hold there together, as far as the sender knows.
  5: i64 limit_tokens,
}

struct MemoryAnswer {
  1: i64 ask_id,
  2: bool is_granted,
}

// Asks another gateway how recently it has read the configuration and the directory.
struct FreshnessAsk {
  1: string node_id,
  2: i64 ask_id,
}

// State that a gateway has read from the store, and the time from sending that read to
// this answer. The asker subtracts the age from the time at which it sent its question.
struct FreshnessAnswer {
  1: string node_id,
  2: i64 ask_id,
  3: i64 configuration_offset,
  4: i32 configuration_age_ms,
  5: i64 directory_digest,
  6: i32 directory_age_ms,
  // Era of the store (it rises when the store comes back from an older copy) in which the
  // sender has read them. Absent in answers of a build that knows no eras.
  7: optional i64 configuration_era,
  8: optional i64 directory_era,
  // Version of the configuration that the sender has; absent if it has none.
  9: optional i64 configuration_version,
}

struct Envelope {
  1: i64 call_id,
  2: optional GrantRequest grant_request,
  3: optional Grant grant,
  4: optional Denial denial,
  5: optional Submit submit,
  6: optional Renew renew,
  7: optional Renewed renewed,
  8: optional Cancel cancel,
  9: optional Cancelled cancelled,
  10: optional Attach attach,
  11: optional Piece piece,
  12: optional StreamEnd stream_end,
  13: optional StreamFailure stream_failure,
  14: optional ServiceCall service_call,
  15: optional ServiceReply service_reply,
  16: optional ConfigurationRequest configuration_request,
  17: optional ConfigurationBody configuration_body,
  18: optional ConfigurationAck configuration_ack,
  19: optional Ping ping,
  20: optional Pong pong,
  21: optional IndirectPing indirect_ping,
  22: optional SyncRequest sync_request,
  23: optional SyncReply sync_reply,
  24: optional Queued queued,
  25: optional DemandReport demand_report,
  26: optional DemandHeard demand_heard,
  27: optional HostLeaving host_leaving,
  28: optional HostLeavingHeard host_leaving_heard,
  29: optional LoadReport load_report,
  30: optional FreshnessAsk freshness_ask,
  31: optional FreshnessAnswer freshness_answer,
  32: optional PermitAsk permit_ask,
  33: optional PermitGrant permit_grant,
  34: optional LoadUpdate load_update,
  35: optional DirectoryUpdate directory_update,
  36: optional MemoryAsk memory_ask,
  37: optional MemoryAnswer memory_answer,
}
