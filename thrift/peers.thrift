// What gateways tell each other, one datagram at a time: what each has running where, and what it
// knows of the store. A report replaces the sender's earlier ones; a lost one is made up for by the
// next. Between data centres a report is a summary: the sums of all gateways of the sender's.

namespace py peers

// One gateway's generations on one engine; tokens of engine memory.
struct EndpointLoad {
  1: required string endpoint,
  2: required i32 runs,
  // Memory that the runs are expected to hold at their ends, copies included.
  3: required i64 expected_tokens,
  // Prompts of runs that have produced nothing yet.
  4: required i64 unread_tokens,
  // Memory that the runs hold now.
  5: optional i64 held_tokens,
  // The part of ``expected_tokens`` of runs that are not deferrable.
  6: optional i64 urgent_tokens,
  // Output tokens observed lately, and the microseconds between their events.
  7: optional i64 timed_tokens,
  8: optional i64 timed_micros,
}

// What the sender learnt from the store of one endpoint lately. Without a service_name the endpoint is
// gone. A gateway that cannot reach the store hears of endpoints this way.
struct EndpointChange {
  1: required string endpoint,
  // The store's revision of the change; the highest one known of an endpoint counts.
  2: required i64 revision,
  3: optional string service_name,
  4: optional string ip,
  5: optional i32 port,
  6: optional string data_centre,
  7: optional i32 slots,
  8: optional bool draining,
  // Unix millisecond of the endpoint's start, if it tells it.
  9: optional i64 started_ms,
  // The store's entry of the endpoint cannot be read.
  10: optional bool unusable,
  // Seconds for which the endpoint stays cold after the change.
  11: optional double cold_for,
  // The endpoint said in an answer that it leaves: it drains, whatever its entry says later.
  12: optional bool said_leaving,
}

// The evacuation of a data centre, or its end, at a revision of the store.
struct Evacuation {
  1: required string data_centre,
  2: required i64 revision,
  3: required bool evacuated,
}

// An endpoint's unplanned end and the requests in flight there, by fingerprint.
struct EndpointEnd {
  1: required string endpoint,
  // Seconds since the end.
  2: required double age,
  3: required list<i64> fingerprints,
  // It stands for an end that a record in the store counts.
  4: optional bool restored,
  // The parts of prompts on which it may just have begun to answer, by fingerprint.
  5: optional list<i64> parts,
}

// A suspected request or part that the sender, or a neighbour of it, runs at the endpoint since so long.
struct Trial {
  1: required i64 fingerprint,
  2: required string endpoint,
  3: required double age,
}

// A suspected request that ran to its end so many seconds ago, or a part with an answer that began
// then and goes on.
struct Clearance {
  1: required i64 fingerprint,
  2: required double age,
}

// What is known of requests that crash endpoints.
struct Crashes {
  1: optional list<EndpointEnd> ends,
  2: optional list<Trial> trials,
  3: optional list<Clearance> clearances,
}

// The generations of one rank (urgent before deferrable ones, then by priority) that wait for an engine and can still be on time, and those sent to
// engines in the last seconds; tokens of engine memory at their ends.
struct RankBacklog {
  1: required i32 rank,
  2: required i32 waiting,
  3: required i64 waiting_tokens,
  4: required i32 dispatched,
  5: required i64 dispatched_tokens,
}

// One of the generations that wait, among the first in their order.
struct WaitingGeneration {
  // Drawn at random when it is queued.
  1: required i64 key,
  2: required i32 rank,
  // Milliseconds until its latest start that meets the goal; negative if it will be late.
  3: required i32 slack_ms,
  4: required i32 expected_tokens,
  5: required i32 prompt_tokens,
  6: optional bool deferrable,
}

// Tokens that the sender, or those that it covers, dispatched lately for an account.
struct AccountTokens {
  1: required string account,
  2: required i64 tokens,
}

// The generations of a service that wait for an engine, at the sender or at those that it covers.
struct Backlog {
  1: required string service_name,
  // Gateways with waiting generations.
  2: required i32 gateways,
  // Waiting generations that can still be on time.
  3: required i32 waiting,
  // Generations sent to engines in the last seconds.
  4: required i32 dispatched,
  // Only of a contended service.
  5: optional list<RankBacklog> ranks,
  6: optional list<WaitingGeneration> heads,
}

// The requests for a service that the sender, or the gateways that it covers, got lately.
struct ServiceDemand {
  1: required string service_name,
  // Gateways that tell their demand.
  2: required i32 gateways,
  // Requests per second, those refused included.
  3: required double rate,
  // The largest rates of single gateways.
  4: optional list<double> largest,
}

// An endpoint's limit of its request rate, as it said in an answer ``age`` seconds ago.
struct EndpointLimit {
  1: required string endpoint,
  2: required double age,
  // Requests per second from all gateways together; left out if it no longer names a limit.
  3: optional double rate,
}

// ``incarnation`` is drawn at each start of the sender; ``sequence`` grows by one a report.
struct PeerReport {
  1: required string instance,
  2: required i64 incarnation,
  3: required i64 sequence,
  4: required list<EndpointLoad> loads,
  5: optional list<EndpointChange> changes,
  // Seconds until the sender's process ends at the latest; only while it is being stopped.
  6: optional double stops_in,
  // Whether the sender did not reach the store lately.
  7: optional bool store_away,
  // Seconds since the sender last heard from the store.
  8: optional double store_silence,
  // Version of the configuration in force at the sender; left out while it has none.
  9: optional i64 configuration,
  // Seconds ago at which that version was the newest.
  10: optional double configuration_age,
  11: optional string data_centre,
  // Only in a summary: gateways of the data centre.
  12: optional i32 gateways,
  // The sender knows the endpoints' changes up to this revision of the store, as of so many seconds
  // ago; ``changes`` holds all those after ``changes_since``.
  13: optional i64 endpoints_revision,
  14: optional double endpoints_age,
  15: optional i64 changes_since,
  16: optional Crashes crashes,
  // Added to each revision of the store in this report: the first of the latest era.
  17: optional i64 revisions_from,
  // All evacuations that the sender knows, complete to ``endpoints_revision``; left out by a sender
  // that does not know of evacuations.
  18: optional list<Evacuation> evacuations,
  19: optional list<Backlog> backlogs,
  // What endpoints told the sender lately; in a summary, the gateways that it covers.
  20: optional list<EndpointLimit> limits,
  // Of services with endpoints that name a limit.
  21: optional list<ServiceDemand> demands,
  // The accounts with the largest use of contended services.
  22: optional list<AccountTokens> account_tokens,
}
