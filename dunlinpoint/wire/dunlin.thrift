// Messages between dunlinpoint's own processes: entry -> agent, agent and
// entry -> control, control <-> control. Times are milliseconds, versions and
// fencing numbers are counters that only grow. Generated Python lives in
// dunlinpoint/wire/gen and is committed; regenerate with
//   thrift --gen py:twisted -out dunlinpoint/wire/gen dunlinpoint/wire/dunlin.thrift

namespace py dunlin

// A refusal that is certain: the work did not start. retry_after_ms says when
// the caller may come back.
exception Refused {
  1: string reason,
  2: i64 retry_after_ms,
}

// -- entry -> agent ---------------------------------------------------------

struct GenerateOrder {
  1: string request_id,
  2: string workspace,
  3: string prompt,
  4: i32 max_tokens,
  5: i32 priority,
  6: i64 deadline_ms,
}

// One piece of a streamed answer. offset counts tokens already sent before
// this piece, so the reader can tell a late or repeated piece from the next.
struct Chunk {
  1: string request_id,
  2: i32 offset,
  3: list<string> tokens,
  4: bool done,
  5: string error,
}

struct CallOrder {
  1: string request_id,
  2: string operation,
  3: string idempotency_key,
  4: string body_json,
  // The agent that also keeps the key of a call that may not be repeated.
  5: string backup_host,
  6: i32 backup_port,
}

// What an agent knows of an idempotency key: "" (nothing), "running", "done"
// with its answer, or "unknown" for good.
struct KeyRecord {
  1: string state,
  2: i32 status,
  3: string body_json,
}

// outcome is one of "done", "not_run", "unknown".
struct CallResult {
  1: string request_id,
  2: string outcome,
  3: string body_json,
  4: i32 status,
}

service Agent {
  void start(1: GenerateOrder order) throws (1: Refused refused),
  Chunk read(1: string request_id, 2: i32 offset, 3: i32 wait_ms) throws (1: Refused refused),
  void cancel(1: string request_id),
  CallResult call(1: CallOrder order) throws (1: Refused refused),
  // The key's earlier record, or a claim on it for another agent.
  KeyRecord claim(1: string key),
  // What became of a key claimed for another agent; "" releases it.
  void settle(1: string key, 2: KeyRecord record),
  KeyRecord lookup(1: string key),
}

// -- agent -> agent, among the ranks of one group ---------------------------

// How one rank of a group stands. Versions and steps are 0 for none; experts
// (when asked for) is what the rank holds by set.
struct RankState {
  1: string group,
  2: i64 epoch,
  3: i32 rank,
  4: i32 size,
  5: bool open,
  6: i64 step,
  7: i64 map_version,
  8: i64 prepared,
  9: i64 armed,
  10: i64 held,
  11: list<list<i32>> experts,
}

// Where a rank's agent answers the others.
struct Peer {
  1: string host,
  2: i32 port,
}

// What a rank's agent is asked: to give its engine an order, if there is one, and
// to say how the rank stands after it.
struct Question {
  // Which reports are wanted, and whether the group's lead asks, not a deputy that
  // looks.
  1: bool counts,
  2: bool experts,
  3: bool leading,
  // The order, compressed against the earlier one that base names (0 for none),
  // and what it is about; empty for none.
  4: binary order,
  5: i64 base,
  6: string operation,
  7: i64 version,
  8: i64 epoch,
  // The ranks that are asked the same by this one, and for how long.
  9: list<Peer> behind,
  10: i32 behind_ms,
}

// One rank's part: how it stands, and its engine's status for the order (0 for no
// answer, or no order).
struct RankAnswer {
  1: RankState state,
  2: i32 status,
}

// The answers of those asked that gave one. counts holds, packed, how often each
// expert of each set was chosen at them since they were last asked. With
// needs_whole nobody was asked: the order's base is not known.
struct Gathered {
  1: list<RankAnswer> answers,
  2: binary counts,
  3: bool needs_whole,
}

service Rank {
  Gathered ask(1: Question question) throws (1: Refused refused),
}

// -- agent, entry, operator tool -> control ---------------------------------

struct Heartbeat {
  1: string endpoint_id,
  2: string zone,
  3: string host,
  4: i32 port,
  5: string kind,
  6: i64 load,
  7: bool draining,
  8: i64 config_version,
  9: i64 incarnation,
  10: string group,
  // The plain service or model this endpoint serves, requests it runs at once,
  // a counter that grows with every heartbeat of one incarnation, and whether
  // it has left for good.
  11: string service_name,
  12: i32 slots,
  13: i64 sequence,
  14: bool gone,
  // Where the engine of a rank answers, host:port.
  15: string engine,
  // A checksum of the control instances that the sender knows.
  16: i64 controls_known,
  // The last round that a control instance knows of.
  17: i64 round,
  // How the group of a rank stands: its epoch, and whether it is broken.
  18: i64 epoch,
  19: bool broken,
}

struct Member {
  1: string endpoint_id,
  2: string zone,
  3: string host,
  4: i32 port,
  5: string kind,
  6: i64 load,
  7: bool draining,
  8: i64 lease_left_ms,
  9: string group,
  10: i64 config_version,
  11: string service_name,
  12: i32 slots,
  13: i64 sequence,
  14: bool gone,
  15: string engine,
  16: i64 epoch,
  17: bool broken,
  // Which start of the endpoint this is about; a later one is larger.
  18: i64 incarnation,
}

// A control instance that may vote. node_id is drawn anew with an empty disk,
// so that what is asked of a voter is never answered by its empty successor at
// the same address.
struct Voter {
  1: string node_id,
  2: string host,
  3: i32 port,
  4: string zone,
}

// What one agreement round decided: the configuration document in force and
// the voters of the next round. version counts documents, round counts
// decisions. body is the compressed text; absent, it is known to the receiver
// or not asked for.
struct Document {
  1: i64 version,
  2: string change_id,
  3: binary body,
  4: i64 round,
  5: list<Voter> voters,
}

// controls is absent when the sender knows them (by its controls_known).
struct HeartbeatReply {
  1: i64 lease_ms,
  2: Document document,
  3: list<Voter> controls,
}

// What is known of a request that may end every endpoint that runs it, named by its
// digest. life is the start of an endpoint that ended while it ran the request. An empty
// life voids all that was seen before: the request was served, or an operator lifted
// what was held against it. It was seen age_ms ago.
struct CrashReport {
  1: binary digest,
  2: string life,
  3: i64 age_ms,
}

// One control instance's members and document. revision names the member list
// within one life of the control; unchanged says the asker holds it already
// and members is empty. settled is false while this instance has accepted a
// document whose fate it does not know: it then vouches for nothing. document
// is absent when the asker's version is as new.
struct View {
  1: list<Member> members,
  2: Document document,
  3: string control_id,
  4: i64 revision,
  5: bool unchanged,
  6: bool settled,
  7: i64 lease_ms,
  8: string zone,
  9: string node_id,
  // The follower's place, 0 up, among so many entries of its zone that follow.
  10: i32 place,
  11: i32 places,
  // Reports that the follower, which knows those up to an earlier reports_revision,
  // has not been told.
  12: list<CrashReport> reports,
  13: i64 reports_revision,
  // With partial, members are those that changed since the follower's revision, and
  // dropped names those that are no members any more; all others are as they were.
  14: bool partial,
  15: list<string> dropped,
  // The follower's place, 0 up, among so many entries of all zones that follow.
  16: i32 entry,
  17: i32 entries,
}

struct ApplyResult {
  1: bool accepted,
  2: i64 version,
  3: string reason,
}

// -- control <-> control: one agreement round per decision ------------------

// committed comes without its text where the asker knows the round.
struct Promise {
  1: bool ok,
  2: i64 promised,
  3: i64 accepted_ballot,
  4: Document accepted,
  5: Document committed,
}

service Control {
  HeartbeatReply heartbeat(1: Heartbeat beat) throws (1: Refused refused),
  // Answers at once when the asker's revision or round is old, and otherwise
  // after a change or wait_ms, whichever comes first. Without bodies a newer
  // document comes without its text.
  // follower names an entry that wants to know its place among the entries.
  // reports_known is the last reports_revision that it was shown, absent where it wants
  // no reports.
  View view(1: string zone, 2: i64 revision, 3: i64 round, 4: i32 wait_ms, 5: bool bodies, 6: string follower, 7: i64 reports_known, 8: bool changes_only),
  // An entry tells what it saw of requests that endpoints ended under.
  void report(1: list<CrashReport> reports),
  ApplyResult apply(1: i64 expected_version, 2: string change_id, 3: string body_json) throws (1: Refused refused),
  // node_id names the voter that is asked; another at its address refuses.
  Promise prepare(1: i64 round, 2: i64 ballot, 3: string node_id),
  bool accept(1: i64 round, 2: i64 ballot, 3: Document document, 4: string node_id),
  // The document accepted for its round under ballot was chosen. It comes
  // without its body: whoever did not accept it catches up.
  void learn(1: Document document, 2: i64 ballot),
  // The acceptor's state as it stands, promising nothing; the committed
  // document's body only if it is newer than known_round. An empty node_id
  // asks whoever is there.
  Promise inspect(1: i64 known_round, 2: string node_id),
}
