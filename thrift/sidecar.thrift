// Protocol between a gateway and the sidecar beside one endpoint.
// A gateway starts a generation, then pulls tokens by cursor; pulls are idempotent,
// so a retried or resumed pull never duplicates or skips a token.

namespace py sidecar

struct StartRequest {
  1: required string request_id,
  2: required string service_name,
  3: required string account,
  4: required i32 priority,
  5: required string prompt,
  6: required i32 max_tokens,
  // Tokens already sent to the caller by an earlier endpoint: the engine prefills them and
  // continues the same answer from index len(resume_tokens).
  7: optional list<string> resume_tokens,
}

// What is running on an endpoint, as its sidecar counts it from every gateway's streams.
// ``peak`` is the most key-value memory those streams are expected to hold together at any later
// moment, ``peak_in`` decode steps from now; ``held`` is what they hold now; ``to_read`` counts
// the prompts of streams without a token yet. All in tokens.
struct Occupancy {
  1: required i32 open_streams,
  2: required i32 slots,
  3: required i64 held,
  4: required i64 peak,
  5: required i64 capacity,
  6: optional i32 peak_in,
  7: optional i64 to_read,
  // Part of ``capacity`` that only requests of the most urgent priority may use.
  8: optional i64 kept_free,
}

struct StartReply {
  1: required string stream_id,
  2: required string generation,
  3: optional Occupancy occupancy,
}

struct TokenBatch {
  1: required string generation,
  2: required i64 first_index,
  3: required list<string> tokens,
  4: required bool finished,
  5: required string finish_reason,
  6: required i32 preemptions,
  7: optional Occupancy occupancy,
}

// One event of the engine's prefix cache; events are numbered, come late, and some are missing.
struct CacheEvent {
  1: required i64 number,
  2: required bool stored,
  3: required string block,
}

// What a gateway needs for routing from an endpoint it has no streams on.
struct Digest {
  1: required Occupancy occupancy,
  2: required list<CacheEvent> events,
}

struct LoadReport {
  1: required string endpoint,
  2: required i32 running,
  3: required i32 waiting,
  4: required i64 kv_used,
  5: required i64 kv_capacity,
  6: required bool draining,
}

// The request was refused before any engine started it; it may be sent again.
exception NotRun {
  1: required string reason,
  2: required i32 retry_after_ms,
  // The endpoint has no room now; it may have some shortly.
  3: optional bool full,
}

// An order to the engine: load a model, adapter or version, or change role. ``fencing`` is the
// version of orders/<endpoint> in the object API that the issuer wrote before sending it.
struct Order {
  1: required string kind,
  2: required string target,
  3: required i64 fencing,
}

// The order carried a fencing number below the newest one issued; it was not applied.
exception StaleOrder {
  1: required i64 fencing,
  2: required i64 newest,
}

exception UnknownStream {
  1: required string stream_id,
}

service Sidecar {
  StartReply start(1: StartRequest request) throws (1: NotRun not_run),
  TokenBatch pull(1: string stream_id, 2: i64 cursor, 3: i32 wait_ms)
      throws (1: UnknownStream unknown),
  void cancel(1: string stream_id),
  LoadReport load(),
  // Cache events numbered above ``since``, and the occupancy.
  Digest digest(1: i64 since),
  void order(1: Order order) throws (1: StaleOrder stale, 2: NotRun not_run),
}
