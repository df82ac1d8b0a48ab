// The protocol between daemons: framed envelopes over TCP, single
// envelopes in datagrams over UDP.  Fields are only ever added.
namespace py dandelionstage.inner.generated

struct Hello {
  1: required i32 version
  2: required string vm
  3: required i64 incarnation
  4: required string data_centre
}

struct SubRequestWire {
  1: required string call
  2: required string request
  3: required string customer
  4: required string workload
  5: required string shard
  6: required string data_centre
  7: required string snapshot
  8: required i64 shard_map_revision
  9: required list<string> replicas
  10: required i32 priority
  11: required double remaining_ms
  12: required string query_json
  13: required bool hedge
  14: required bool action
}

struct RecordWire {
  1: required string record
  2: required string body_json
}

struct SubReplyWire {
  1: required string call
  2: required i32 run
  3: required string reason
  4: required i32 retry_after_ms
  5: required string detail
  6: required string answered_by
  7: optional string backend
  8: optional string shard
  9: optional string snapshot
  10: optional i64 shard_map_revision
  11: optional list<RecordWire> records
  12: required list<string> held_snapshots
  13: required double service_ms
  14: required double queue_ms
  // As the part says of itself, which may differ from the server tried.
  15: optional string part_backend
}

struct CancelWire { 1: required string call }

struct PingWire { 1: required i64 token }

// An action sent on to the process that minted its ticket.
struct ActionWire {
  1: required string call
  2: required string request
  3: required string customer
  4: required string workload
  5: required string ticket
  6: required string action_json
  7: required double remaining_ms
}

struct OutcomeWire {
  1: required string call
  2: required i32 run
  3: required string reason
  4: required i32 retry_after_ms
  5: required string detail
  6: required string outcome_json
}

struct DocumentWire {
  1: required string key
  2: required i64 revision
  3: required binary body_json
}

// Ask for every document above the revisions already held.
struct PullWire {
  1: required string call
  2: required map<string, i64> held
  // Only documents above this revision are wanted.
  3: optional i64 above
}

struct DocumentsWire {
  1: required string call
  2: required list<DocumentWire> documents
}

// A share of a limit asked of, or lent by, the VM that holds it.
struct LeaseRequestWire {
  1: required string call
  2: required string key
  3: required double amount
}

struct LeaseGrantWire {
  1: required string call
  2: required string key
  3: required double amount
  4: required i64 duration_ms
}

struct LeavingWire { 1: required string vm, 2: required i64 incarnation }

struct Envelope {
  1: optional Hello hello
  2: optional list<SubRequestWire> sub_requests
  3: optional list<SubReplyWire> sub_replies
  4: optional list<CancelWire> cancels
  5: optional PingWire ping
  6: optional PingWire pong
  7: optional list<ActionWire> actions
  8: optional list<OutcomeWire> outcomes
  9: optional PullWire pull
  10: optional DocumentsWire documents
  11: optional list<LeaseRequestWire> lease_requests
  12: optional list<LeaseGrantWire> lease_grants
  13: optional LeavingWire leaving
}

struct RumourWire {
  1: required string vm
  2: required i64 incarnation
  3: required i32 state
  // How often this incarnation has refuted a suspicion.
  4: optional i32 refutation
}

struct DigestWire {
  1: required i64 documents_hash
  2: required i64 highest_revision
}

// One datagram of the membership protocol.
struct ProbeWire {
  1: required i32 version
  2: required i32 kind
  3: required i64 token
  4: required string sender
  5: required i64 incarnation
  6: optional string target
  7: required list<RumourWire> rumours
  8: required DigestWire digest
}
