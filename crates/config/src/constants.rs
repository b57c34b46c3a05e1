//! Every constant of pebblepond, with its unit and its reason. What a
//! deployment settles (bounds, limits, addresses) is not here: that comes from
//! the settings file, the operator and the workers.

/// Pause between heartbeats of a leader to voters, ms: several fit into the
/// shortest election time, so that one lost heartbeat means nothing.
pub const HEARTBEAT_MS: u64 = 100;
/// Pause between heartbeats to nodes that do not vote, ms: they only need to
/// learn that they are current. The voter they follow sends them.
pub const OBSERVER_HEARTBEAT_MS: u64 = 400;
/// A follower that says nothing for this long is fed no more, ms: several
/// heartbeats.
pub const FOLLOWER_GONE_MS: u64 = 3000;
/// A voter that feeds this node and says nothing for this long is left for
/// another, ms: more than two heartbeats, well inside the bound of a change.
pub const SOURCE_SILENT_MS: u64 = 1100;
/// A voter that was left is not asked again for this long, ms: longer than a
/// restart.
pub const SOURCE_SHUN_MS: u64 = 4000;
/// Shortest silence of a leader before an election, ms: more than four
/// heartbeats and a round trip between far regions.
pub const ELECTION_MIN_MS: u64 = 450;
/// Spread of the election time, ms: wide enough that two candidates rarely meet.
pub const ELECTION_SPREAD_MS: u64 = 300;
/// Length of a duty lease from the sending of the round that a majority
/// answered, ms: below the shortest election time even if a clock runs 2% off.
pub const LEASE_MS: u64 = 260;
/// An unanswered append is sent again after this time, ms: above the longest
/// round trip plus a slow sync.
pub const RESEND_MS: u64 = 400;
/// An unanswered snapshot is sent again after this time, ms.
pub const SNAPSHOT_RESEND_MS: u64 = 1000;
/// Entries kept in the log before it is folded into a snapshot, entries: whoever starts
/// again reads as many configurations anew, and an entry is now small however large the
/// configuration is.
pub const LOG_KEEP: usize = 96;
/// Bytes kept in the log before it is folded, bytes; more if the state itself is
/// larger, since whoever comes back empty is sent both over a narrow link and a
/// fold costs as much as the state is large.
pub const LOG_KEEP_BYTES: usize = 24 * 1024;
/// Bytes of folded entries that stay at hand, bytes: who lags by less than that
/// is sent what it lacks, not the whole state.
pub const LOG_TAIL_BYTES: usize = 16 * 1024;
/// Bytes of entries in one append, bytes: one slow link is not held for long.
pub const APPEND_BYTES: usize = 256 * 1024;
/// A leader whose own write has not reached the disk for this long steps down,
/// ms: above a sync on a disk that is thirty times slower than usual.
pub const DISK_PATIENCE_MS: u64 = 900;
/// A write that failed is tried again after this pause, ms.
pub const DISK_RETRY_MS: u64 = 400;
/// The count of commits that tells damage from a torn end is synced this long
/// after the first it has not on disk, ms: so long a loss of power leaves the
/// newest commits uncounted, and no more than one sync a second is added.
pub const HIGH_WATER_SYNC_MS: u64 = 1000;

/// Pause between two probes of a node, ms: every other node is probed within
/// seconds at a low price.
pub const PROBE_EVERY_MS: u64 = 400;
/// Wait for an answer before others are asked to probe, ms: above the longest
/// round trip on a loaded machine.
pub const PROBE_WAIT_MS: u64 = 200;
/// Wait from the first probe until suspicion, ms.
pub const PROBE_LIMIT_MS: u64 = 500;
/// Others asked for a second opinion, nodes.
pub const PROBE_HELPERS: usize = 3;
/// Suspicion turns into removal after this time, ms: the suspect has time to
/// hear of it and refute it.
pub const SUSPECT_MS: u64 = 1800;
/// A removed node is forgotten after this time, ms: late gossip cannot bring
/// it back before.
pub const FORGET_MS: u64 = 20_000;
/// How often one piece of news is passed on by each node at least, times; in
/// large systems three times the logarithm of their nodes.
pub const GOSSIP_TIMES: u32 = 5;
/// Members in one datagram, members: stays under a common packet size.
pub const GOSSIP_MEMBERS: usize = 6;
/// Pause between calls to a seed while no other node is known, ms.
pub const JOIN_EVERY_MS: u64 = 300;
/// Pause between calls to a seed or a removed node later on, ms: mends a
/// membership that a cut had split.
pub const REJOIN_EVERY_MS: u64 = 3000;

/// Least pause between two comparisons of all that two nodes know of the
/// others, ms: a few kilobytes and what is missing, and only while they differ.
pub const EXCHANGE_EVERY_MS: u64 = 600;

/// Pause between two makings of the table of members, ms: hundreds are copied.
pub const MEMBERS_EVERY_MS: u64 = 100;
/// Up to so many members the table is made at every change, members.
pub const MEMBERS_FEW: usize = 120;
/// Connecting to a peer is given up after this time, ms.
pub const CONNECT_MS: u64 = 1000;
/// Connecting to another node is given up and begun anew after this time, ms:
/// above a far round trip, and below the second after which the kernel would
/// ask a machine again that was dark at first.
pub const PEER_CONNECT_MS: u64 = 250;
/// Tries after which the wait for a connection to another node doubles, tries:
/// longer than a restart.
pub const PEER_CONNECT_TRIES: u32 = 4;
/// Unacknowledged bytes on any connection end it after this time, ms: a dead
/// machine says nothing.
pub const TCP_USER_TIMEOUT_MS: u32 = 1200;
/// Idle time before a connection between nodes or to a worker is probed by the
/// kernel, s: a silent loss must show while requests wait.
pub const TCP_KEEPALIVE_S: u64 = 1;
/// Frames waiting for a peer, frames: older news is sent again anyway.
pub const PEER_QUEUE: usize = 256;
/// Largest frame between nodes, bytes: a configuration of many thousand routes.
pub const FRAME_BYTES: usize = 16 * 1024 * 1024;
/// Pause before a failed connection to a peer is tried again, ms.
pub const RECONNECT_MS: u64 = 50;

/// Pause between readings of the platform's list, ms: the list, the log and a
/// change of leader together stay inside the shortest `Drain`.
pub const LIST_EVERY_MS: u64 = 500;
/// Pause for each page of a long list, ms: a list of twenty pages is read less
/// often, still thrice within the shortest `Drain`.
pub const LIST_PAGE_MS: u64 = 40;
/// Wait for an answer of the platform, ms.
pub const LIST_WAIT_MS: u64 = 1000;

/// Wait for the nodes in contact to apply a change before it is acknowledged
/// all the same, ms: well under the second of silence after which callers move on.
pub const APPLY_WAIT_MS: u64 = 400;
/// A call passed on to the leader is given up after this time, ms: the caller
/// moves on after a second of silence.
pub const CALL_WAIT_MS: u64 = 900;
/// An order without a base that comes again as it was within this time is taken for
/// the same order, ms: callers resend after a second of silence and a growing pause.
pub const SAME_ORDER_MS: u64 = 3000;
/// Configuration orders taken that the ledger remembers, orders: an order under way
/// for longer than so many changes later gets no clear answer. Eight may be under way
/// at once; some 25 bytes each.
pub const TAKEN_KEPT: usize = 256;
/// Refused configuration orders on bases that are not there yet which the ledger
/// remembers, orders: no proper operator sends one.
pub const AHEAD_KEPT: usize = 16;
/// Other orders that the ledger remembers, orders: far more than a node passes on
/// within [`CALL_WAIT_MS`]; some 50 bytes each.
pub const ORDERS_KEPT: usize = 64;
/// A node that has heard nothing of the core for this long answers orders at once and
/// names nodes that may know better, ms: an election takes less.
pub const OUT_OF_CONTACT_MS: u64 = 1500;
/// Pause between two looks for a leader while a call waits, ms.
pub const CALL_RETRY_MS: u64 = 100;
/// A node that has heard no leader for this long after its start looks for the
/// newest copy among its peers, ms: an election on all nodes at once takes less.
pub const PEER_CATCH_UP_MS: u64 = 2500;
/// Silence of an observer after which the leader does not wait for it, ms.
pub const CONTACT_MS: u64 = 1000;
/// A voter silent for this long may be replaced, ms: longer than a restart.
pub const VOTER_GONE_MS: u64 = 5000;
/// The same for a voter that said it leaves, and where the others would bear a loss that
/// they don't bear with it, ms: a process that is only restarted is back in half of that,
/// and an election, this and the changes of the roll fit into the time that a loss has.
pub const VOTER_LEFT_MS: u64 = 2000;
/// Pause between two words of a voter that it is about to end, ms.
pub const LEAVE_EVERY_MS: u64 = 200;

/// How long keys are granted for, ms: outlasts a change of leader, and is the
/// wait for a holder that fell silent.
pub const HOLD_MS: u64 = 3500;
/// How long keys are granted for the last time before they are taken back, ms:
/// longer than workers take for all but a few requests, which end with the hold.
pub const LAST_HOLD_MS: u64 = 6000;
/// Pause between renewals of a grant, ms: a change of leader fits into the rest.
pub const RENEW_MS: u64 = 800;
/// Grants a second that the leader makes at the most in the long run: with more
/// holders than this allows, the pause between renewals grows.
pub const GRANTS_PER_S: u64 = 300;
/// Longest pause between renewals, ms: a change of leader fits into what is
/// left of the hold, and connections that rest as long are used again.
pub const RENEW_MAX_MS: u64 = 1500;
/// A worker's clock for its hold may be slow by this factor (protocol).
pub const HOLD_CLOCK: f64 = 1.02;
/// Wait for the answer to a grant, ms: far round trips on a loaded machine.
pub const GRANT_WAIT_MS: u64 = 600;
/// Unacknowledged bytes to a worker end the connection after this time plus
/// two round trips, ms: workers of one region are near, and a dark one must
/// not keep requests.
pub const WORKER_SILENCE_MS: u64 = 500;
/// A holder that left this many grants in a row unanswered is let go, grants:
/// its hold runs out and the keys go to others.
pub const GRANT_FAILURES: u32 = 3;
/// A worker that was let go gets no keys for this long, ms: longer than the
/// platform takes to drop a crashed one from its list.
pub const SHUN_MS: u64 = 10_000;
/// Wait for the answer to a release, ms: it comes when what ran has ended.
pub const RELEASE_WAIT_MS: u64 = 5000;
/// Pause between two looks at who holds what, ms.
pub const KEYS_EVERY_MS: u64 = 100;

/// Pause between two looks at the rollouts, ms: twice in a report's pause.
pub const ROLLOUT_EVERY_MS: u64 = 250;
/// Least length of a rollout, ms: its stages need some seconds.
pub const ROLLOUT_LEAST_MS: u64 = 1000;
/// Letters that a reason for passing over a gate must have.
pub const BYPASS_REASON: usize = 10;

/// Weight of the newest measurement in the smoothed rates (design: 0.6).
pub const RATE_SMOOTHING: f64 = 0.6;
/// Part of a site's capacity that the flow may use (design: 0.9).
pub const WATERMARK: f64 = 0.9;
/// Length of the ranking prefix by which groups merge (design: 3).
pub const PREFIX: usize = 3;
/// A service's flow at a site below this is tiny, requests a second. The
/// design starts from 150; these deployments carry a tenth of that a site.
pub const DELETION_THRESHOLD: f64 = 8.0;
/// Hysteresis ratio: a site already in use is tiny only below the threshold
/// divided by this (design: 3).
pub const HYSTERESIS: f64 = 3.0;
/// Pause between decisions on the placement, ms: a day is shorter than a few
/// of the design's 30 s.
pub const PLACEMENT_EVERY_MS: u64 = 5000;
/// Pause between reports to the leader, ms: busy keys must show within a second.
pub const REPORT_EVERY_MS: u64 = 500;
/// Reports older than this no longer count, ms: two periods.
pub const REPORT_STALE_MS: u64 = 10_000;
/// Fractions that moved by less than this are not sent, fraction of answers.
pub const FRACTION_STEP: f64 = 0.05;
/// Distance assumed between regions nothing has measured yet, ms.
pub const FAR_MS: f64 = 60.0;
/// Distance within a region, ms.
pub const NEAR_MS: f64 = 2.0;
/// Answer time assumed of a worker nothing has measured yet, ms.
pub const ANSWER_MS: f64 = 100.0;
/// Processor time assumed for forwarding one request, ms on a whole core.
pub const CARRY_MS: f64 = 1.2;
/// How long clients may keep a directory answer, ms: short enough that a lost
/// edge is left soon, long enough that the directory costs little.
pub const VALIDITY_MS: u64 = 2000;
/// Addresses in a directory answer (protocol).
pub const ANSWER_ADDRESSES: usize = 64;

/// What a worker in another zone of the region must be quicker by, as a part
/// of the route's target: bytes between zones are priced.
pub const ZONE_PENALTY: f64 = 0.1;
/// The same for a worker in another region, on top of the round trip.
pub const REGION_PENALTY: f64 = 0.5;
/// Pause between two sums of the load of keys, ms.
pub const KEY_COUNT_MS: u64 = 500;
/// Weight of the newest sum in the load of keys: a few seconds of traffic tell
/// the busy ranges from luck.
pub const KEY_SMOOTHING: f64 = 0.15;
/// Time over which the smoothed load of keys sums up, s.
pub const KEY_SEEN_S: f64 = 6.0;
/// By how many standard deviations of its count a worker must be above the mean
/// to count as full.
pub const KEY_LUCK: f64 = 1.5;
/// Weight of the newest sum for keys that have all at once become much busier.
pub const KEY_ONSET: f32 = 0.6;
/// How many times its usual load a key must show for that, and how many requests.
pub const KEY_ONSET_TIMES: f32 = 4.0;
pub const KEY_ONSET_LEAST: f32 = 3.0;
/// What is kept of a worker's answer times from one sum to the next.
pub const KEY_ANSWERS: f64 = 0.9;
/// Part of the load taken to be spread evenly over all keys: keys that nobody
/// has asked for yet count for something.
pub const KEY_EVEN: f64 = 0.1;
/// Most ranges cut from one worker's when it leaves, ranges: each goes to
/// another worker, so that none doubles its load.
pub const SPLIT: usize = 3;
/// A worker with less than this part of the mean load gets keys from the
/// fullest; above it a move costs more than it brings.
pub const LEAN: f64 = 0.5;
/// A worker with more than this times the mean load gives keys away.
pub const FULL: f64 = 1.25;
/// Of how many workers of a service one may give a piece away at the same time
/// for balance, workers: with many, busy keys must find more room at once.
pub const MOVES_PART: usize = 6;
/// Moves for balance begun together at least, moves.
pub const MOVES: usize = 6;
/// Connections to each worker that this node should be able to have if it is
/// to use all of them, connections: with fewer it uses a part of the workers.
pub const CONNECTIONS_EACH: u32 = 4;
/// Workers of a service above which a node uses a part of them, workers: its
/// requests are few, and each would meet a worker that it has no connection to
/// and knows nothing of.
pub const POOL_ALL: usize = 175;
/// Workers of its own zone that a node uses if it does not use all, workers:
/// enough to even out, few enough that connections are used again.
pub const WINDOW: usize = 12;
/// The same in each other zone, for when its own has no room, workers.
pub const FAR_WINDOW: usize = 4;
/// Part of a worker's connections for the nodes of its own zone, and for all
/// others; the rest is for nodes that count each other differently meanwhile.
pub const NEAR_PART: f64 = 0.6;
pub const FAR_PART: f64 = 0.3;
/// Weight of the newest answer in a worker's mean answer time.
pub const ANSWER_SMOOTHING: f64 = 0.1;
/// Pause between two looks at which workers fail, ms.
pub const BENCH_EVERY_MS: u64 = 500;
/// What is kept of a worker's outcomes from one look to the next: some two
/// seconds count.
pub const BENCH_KEEP: f64 = 0.8;
/// How long a new leader judges nobody, ms: after a loss of many nodes all that
/// was held up comes at once, and who is full looks ill.
pub const BENCH_SETTLE_MS: u64 = 6000;
/// Outcomes before a worker is judged.
pub const BENCH_OUTCOMES: f64 = 4.0;
/// Part of failures above what is usual in its service that benches a worker.
pub const BENCH_FAILED: f64 = 0.2;
/// How many times slower than is usual in its service benches a worker.
pub const BENCH_SLOW: f64 = 4.0;
/// Most workers of a service on the bench, part of them: what strikes more is
/// no fault of single workers.
pub const BENCH_CAP: f64 = 0.3;
/// How long a worker is benched at first, ms; twice that the next time.
pub const BENCH_MS: u64 = 3000;
/// Longest time on the bench, ms.
pub const BENCH_MAX_MS: u64 = 12_000;
/// How long a worker that has come back is preferred less, ms.
pub const TRIAL_MS: u64 = 2000;
/// How many times dearer it is at first.
pub const TRIAL_PRICE: f64 = 4.0;
/// A worker that failed in a row is left alone for this long at first, ms.
pub const EJECT_MS: u64 = 500;
/// Longest time a worker is left alone, ms.
pub const EJECT_MAX_MS: u64 = 4000;
/// A worker whose address another one has is left alone for this long, ms: the
/// list drops it within some seconds.
pub const GONE_MS: u64 = 6000;
/// A worker that turned a request away is left alone for this long, ms.
pub const FULL_MS: u64 = 40;
/// Connecting to a worker is given up after this time plus two round trips, ms.
pub const WORKER_CONNECT_MS: u64 = 250;
/// An idle connection to a worker is not used again after this time, ms, nor
/// within a second of the end that the worker announced.
pub const IDLE_REUSE_MS: u64 = 4000;
/// The same for requests that must not run twice, ms.
pub const IDLE_REUSE_ONCE_MS: u64 = 2000;
/// How long a node is wary of rested connections once a peer has forgotten
/// one, ms: such spells last some seconds.
pub const WARY_MS: u64 = 10_000;
/// Part of the ratio of the retry budget that is used: the rest covers windows
/// that nodes see at different moments.
pub const BUDGET_PART: f64 = 0.8;
/// Part of the slack of the retry budget that is shared out.
pub const SLACK_PART: f64 = 0.5;
/// Part of a cold worker's rate that is shared out.
pub const COLD_PART: f64 = 0.85;
/// How long a worker of a returned zone is taken for cold unless the
/// configuration gives a longer time, ms.
pub const RETURN_COLD_MS: u64 = 3000;
/// Time in which a node gives a cold worker no more than its shares, ms: a second,
/// and the wait for a connection, so that what was sent later than it was decided
/// counts as well.
pub const COLD_WINDOW_MS: u64 = 1000 + WORKER_CONNECT_MS + 2 * FAR_MS as u64;
/// Most shares of a cold worker that one node uses, requests in that time.
pub const COLD_REMEMBERED: usize = 64;
/// A bound added to what the list says of a cold worker, ms: its lag.
pub const COLD_MARGIN_MS: u64 = 300;
/// A request is refused at once if a worker is expected to take more than this
/// times the time it has left: estimates are rough, a chance is worth taking.
pub const PATIENCE: f64 = 2.5;
/// How much sooner each rank of `Priority` below the highest makes room.
pub const RANK_STEP: f64 = 0.25;
/// What a refused client is told to wait, ms.
pub const RETRY_AFTER_MS: u64 = 200;
/// What a client is told to wait whose key is being handed over, ms: a release
/// waits for what runs.
pub const HANDOVER_AFTER_MS: u64 = 400;
/// What a client is told to wait whose key's holder does not answer, ms: its
/// hold must run out; clients wait a third of their time at the most.
pub const HOLDER_GONE_AFTER_MS: u64 = 900;
/// What a client is told to wait by a node that is not current yet, ms: an
/// election and the catching up after a restart of everything take that long,
/// and clients ask again a few times only.
pub const NOT_CURRENT_AFTER_MS: u64 = 600;
/// Bodies up to this size are read whole before they are passed on, bytes:
/// such requests can be sent again, such answers are whole or not at all.
pub const WHOLE_BODY_BYTES: usize = 64 * 1024;
/// Answers to somebody else that are passed over before a connection is given
/// up, answers.
pub const STRANGE_ANSWERS: u32 = 4;
/// Most idle connections kept to one worker, connections.
pub const IDLE_CONNECTIONS: usize = 8;
/// Pause between two looks at idle connections, ms.
pub const SWEEP_MS: u64 = 1000;
/// Pending connections a listener holds, connections: a full queue costs
/// clients seconds.
pub const BACKLOG: u32 = 1024;
/// Pause between two looks at whether the settings file has changed, ms.
pub const SETTINGS_EVERY_MS: u64 = 2000;
/// A leaving node ends once nothing has run for this long, ms.
pub const LEAVE_QUIET_MS: u64 = 300;
/// Default pace of the counters in the log, s; 0 writes none.
pub const COUNTERS_EVERY_S: u64 = 10;
