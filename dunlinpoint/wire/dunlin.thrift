// Messages between dunlinpoint's processes: entry -> agent, agent -> agent, agent and
// entry -> control, control <-> control. Times are in milliseconds; versions and
// fencing numbers are monotonic counters. The generated Python code is committed in
// dunlinpoint/wire/gen; regenerate it with
//   thrift --gen py:twisted -out dunlinpoint/wire/gen dunlinpoint/wire/dunlin.thrift

namespace py dunlin

// The request was refused and its work has certainly not started. The caller may
// retry after retry_after_ms.
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

// One chunk of a streamed answer. offset is the number of tokens before this chunk,
// so that the reader can tell a delayed or repeated chunk from the next one.
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
  // The agent that also stores the idempotency key of a non-idempotent call.
  5: string backup_host,
  6: i32 backup_port,
}

// An agent's record of an idempotency key. state is "" (no record), "running", "done"
// (status and body_json hold the answer) or "unknown" (final).
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
  // Returns the key's existing record; without one, reserves the key for another agent.
  KeyRecord claim(1: string key),
  // Stores the outcome of a key reserved for another agent; state "" releases the key.
  void settle(1: string key, 2: KeyRecord record),
  KeyRecord lookup(1: string key),
}

// -- agent -> agent, among the ranks of one group ---------------------------

// State of one rank of a group. Versions and steps are 0 for none. experts, present
// when requested, lists the experts that the rank holds, by set.
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
  // The engine's own slowdown in thousandths: 1000 at normal speed, more when slower.
  12: i32 pace,
  // Requests that the engine runs or that wait in its queue; absent if not reported.
  13: i32 streams,
}

// Address at which a rank's agent serves the agents of the other ranks.
struct Peer {
  1: string host,
  2: i32 port,
}

// Request to a rank's agent: send the engine the command, if there is one, and report
// the rank's state afterwards.
struct Question {
  // Which reports are requested, and whether the sender is the group's leader rather
  // than its standby leader.
  1: bool counts,
  2: bool experts,
  3: bool leading,
  // The engine command, empty for none, and its operation, map version and epoch. base
  // is the earlier command that it is compressed against, 0 for none.
  4: binary order,
  5: i64 base,
  6: string operation,
  7: i64 version,
  8: i64 epoch,
  // The ranks to which the receiver forwards this request, and its timeout for them.
  9: list<Peer> behind,
  10: i32 behind_ms,
  // Whether the sender, which leads, stops leading while rank 1's agent refuses this.
  11: bool gives_way,
}

// One rank's answer: its state, and its engine's HTTP status for the command (0 without
// an answer or without a command).
struct RankAnswer {
  1: RankState state,
  2: i32 status,
}

// The answers received from a subgroup of ranks. counts holds, packed, how often each
// expert of each set was selected at these ranks since the previous request. With
// needs_whole no rank was asked, as the receiver does not have the command's base.
struct Gathered {
  1: list<RankAnswer> answers,
  2: binary counts,
  3: bool needs_whole,
  // Whether the answering agent leads the group now.
  4: bool leads,
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
  // service_name is the plain service or model that this endpoint serves, slots its
  // number of concurrent requests. sequence grows with every heartbeat of one
  // incarnation. gone means that the endpoint has left permanently.
  11: string service_name,
  12: i32 slots,
  13: i64 sequence,
  14: bool gone,
  // Address of a rank's engine, host:port.
  15: string engine,
  // Checksum of the list of control instances that the sender knows.
  16: i64 controls_known,
  // The last round that a control instance knows of.
  17: i64 round,
  // State of a rank's group: its epoch, and whether the group is broken.
  18: i64 epoch,
  19: bool broken,
  // How much longer the endpoint stays cold after its start, in ms.
  20: i64 cold_left_ms,
  // The slowdown of a rank's engine, as in RankState.
  21: i32 pace,
  // Bit set of the optional agreement features that a control instance supports: 1 for
  // evacuations.
  22: i32 features,
  // The round at which a control instance joined the deployment, 0 at its first start.
  23: i64 joined_round,
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
  // The endpoint's incarnation; a later start has a larger number.
  18: i64 incarnation,
  // As in Heartbeat; cold_left_ms is as of the time of this message.
  19: i64 cold_left_ms,
  20: i32 pace,
}

// A control instance that may vote. An instance that starts with an empty disk draws a
// new node_id, so that a request to a voter is never answered by an empty replacement
// at the same address.
struct Voter {
  1: string node_id,
  2: string host,
  3: i32 port,
  4: string zone,
}

// Whether a zone is evacuated, which means that its endpoints get no requests, and the
// agreement round that last changed it.
struct Evacuation {
  1: string zone,
  2: bool active,
  3: i64 round,
}

// The decision of one agreement round: the configuration document in force, the zones'
// evacuations and the voters of the next round. version counts documents, round counts
// decisions. body is the compressed text; it is absent where the receiver has it or did
// not request it. evacuations is absent only in messages of builds that do not know it;
// the receiver then keeps the evacuations that it knows.
struct Document {
  1: i64 version,
  2: string change_id,
  3: binary body,
  4: i64 round,
  5: list<Voter> voters,
  6: list<Evacuation> evacuations,
}

// controls is absent when the checksum controls_known shows that the sender of the
// heartbeat has the current list.
struct HeartbeatReply {
  1: i64 lease_ms,
  2: Document document,
  3: list<Voter> controls,
}

// One observation, age_ms old, about something that may crash every endpoint: digest
// identifies a request, a part of prompts or a workspace. life is the incarnation key of
// an endpoint that ended while it ran such a request. An empty life clears all earlier
// observations: such a request was served, or an operator released it. subject names a
// part or a workspace; it is absent or empty for a whole request. The observations of one
// event are sent in one message, so that none of them is lost alone.
struct CrashReport {
  1: binary digest,
  2: string life,
  3: i64 age_ms,
  4: string subject,
}

// One control instance's members and document. revision identifies the member list
// within one run of the control process; with unchanged the asker already has this
// revision and members is empty. settled is false while this instance has accepted a
// document without knowing whether it was chosen; its view then confirms nothing.
// document is absent when the asker's version is as new.
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
  // The follower's index, from 0, and the number of following entries in its zone.
  10: i32 place,
  11: i32 places,
  // Reports newer than the reports_revision that the follower sent as reports_known.
  12: list<CrashReport> reports,
  13: i64 reports_revision,
  // With partial, members holds only those that changed since the follower's revision,
  // and dropped lists the ids of those removed; all other members are unchanged.
  14: bool partial,
  15: list<string> dropped,
  // The follower's index, from 0, and the number of following entries in all zones.
  16: i32 entry,
  17: i32 entries,
  // The follower's part, 0 to 1, of the demand of all following entries; absent if there
  // is none.
  18: double demand_share,
}

struct ApplyResult {
  1: bool accepted,
  2: i64 version,
  3: string reason,
}

// What a control instance has itself received of an endpoint, not what others list.
// heartbeat_age_ms is the time since the last heartbeat that was new, gone_age_ms the time
// since the first message that the endpoint has deregistered; both are absent if there was
// none of this incarnation, and no lower than the true time.
struct Heard {
  1: string endpoint_id,
  2: i64 incarnation,
  3: i64 heartbeat_age_ms,
  4: i64 gone_age_ms,
}

// -- control <-> control: one agreement round per decision ------------------

// committed has no body where the asker knows its round.
struct Promise {
  1: bool ok,
  2: i64 promised,
  3: i64 accepted_ballot,
  4: Document accepted,
  5: Document committed,
}

service Control {
  HeartbeatReply heartbeat(1: Heartbeat beat) throws (1: Refused refused),
  // Answers immediately when the asker's revision or round is outdated, otherwise after
  // a change or after wait_ms, whichever comes first. Without bodies, a newer document
  // is returned without its body.
  // follower is the id of an entry that requests its index among the entries.
  // reports_known is the last reports_revision that it received; absent, no reports are
  // returned. version is that of the document whose body the asker has: a decision with
  // the same version is returned without its body. demand is the number of requests that
  // arrived at the entry within the last two seconds.
  View view(1: string zone, 2: i64 revision, 3: i64 round, 4: i32 wait_ms, 5: bool bodies, 6: string follower, 7: i64 reports_known, 8: bool changes_only, 9: i64 version, 10: i32 demand),
  // Publishes an entry's observations of requests that endpoints crashed under.
  void report(1: list<CrashReport> reports),
  ApplyResult apply(1: i64 expected_version, 2: string change_id, 3: string body_json) throws (1: Refused refused),
  // Begins (active) or ends the evacuation of a zone. version in the result is the
  // version of the document in force.
  ApplyResult evacuate(1: string zone, 2: bool active) throws (1: Refused refused),
  // node_id identifies the voter addressed; any other instance at its address refuses.
  Promise prepare(1: i64 round, 2: i64 ballot, 3: string node_id),
  bool accept(1: i64 round, 2: i64 ballot, 3: Document document, 4: string node_id),
  // Announces that the document accepted for its round under ballot was chosen. It has
  // no body: an instance that did not accept it fetches it when it catches up.
  void learn(1: Document document, 2: i64 ballot),
  // Returns the acceptor's current state without making a promise; the committed
  // document has a body only if it is newer than known_round. An empty node_id
  // addresses whichever instance is at the address.
  Promise inspect(1: i64 known_round, 2: string node_id),
  // Lists those of the first 100 endpoint_ids that are known.
  list<Heard> heard(1: list<string> endpoint_ids),
}
