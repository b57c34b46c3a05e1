//! One node of the cluster: its state, its inputs beside messages, and what it tells of
//! itself. The parts of the protocol are in the modules below.

mod election;
mod introspection;
mod leadership_transfer;
mod learner_relay;
mod membership;
mod read_index;
mod replication;
mod shutdown;
mod snapshot;
mod step;

use crate::config::Config;
use crate::fragmentation::Fragmenter;
use crate::log::{LogPosition, RaftLog};
use crate::message::{Entry, EntryType, Membership, Message, MessageType, Voter};
use crate::progress::Progress;
use crate::ready::Ready;
use crate::storage::{HardState, PersistentState};
use crate::upstream_selection::Upstream;
use leadership_transfer::LeadershipTransfer;
use learner_relay::Leadership;
use prost::Message as _;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use read_index::{PendingRead, Rounds};
use std::collections::{BTreeMap, BTreeSet};

/// What a node is in its term.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Follows a leader, or waits for one.
    Follower,
    /// Asks whether it would be elected (dissertation, 9.6).
    PreCandidate,
    /// Stands for election.
    Candidate,
    /// Leads.
    Leader,
}

/// One node's part in the protocol. Copies serve tests that try what may follow.
#[derive(Clone)]
pub struct RaftNode {
    id: u64,
    config: Config,
    rng: SmallRng,
    /// The time of the newest input, ms.
    now: u64,
    hard_state: HardState,
    log: RaftLog,
    /// The last entry known to be on this node's disk.
    persisted_index: u64,
    commit_index: u64,
    /// The highest commit index that a leader has told this node of.
    announced_commit: u64,
    /// The last entry given to the driver as committed.
    delivered_index: u64,
    applied_index: u64,
    role: Role,
    /// 0 while none is known.
    leader_id: u64,
    membership: Membership,
    membership_index: u64,
    /// Since when the membership is in force here, ms.
    membership_since: u64,
    /// Who has granted this candidate its vote.
    votes: BTreeSet<u64>,
    /// The voters and learners that a leader replicates to.
    progress: BTreeMap<u64, Progress>,
    election_deadline: u64,
    last_tick: u64,
    /// When a leader was last heard, ms.
    leader_heard_at: u64,
    next_heartbeat_at: u64,
    next_learner_heartbeat_at: u64,
    rounds: Rounds,
    lease_until: u64,
    leader_since: u64,
    pending_reads: Vec<PendingRead>,
    transfer: Option<LeadershipTransfer>,
    /// This node is about to end.
    shutting_down: bool,
    /// The leader has said that the others go on without this node.
    shutdown_granted: bool,
    /// When this node last gave way to another candidate, ms.
    gave_way_at: Option<u64>,
    storage_failed: bool,
    /// Learners that this node relays the log to.
    subscribers: BTreeMap<u64, Progress>,
    next_relay_at: u64,
    /// What the subscribers were last told of the leader.
    relayed_leadership: Leadership,
    /// The voter that this node takes the log from, if it is a learner.
    upstream: Upstream,
    fragmenter: Fragmenter,
    /// Whether the data of a snapshot at an index can be read.
    is_snapshot_readable: fn(u64, &[u8]) -> bool,
    /// Snapshots that could not.
    unreadable_snapshots: u64,
    ready: Ready,
}

impl RaftNode {
    /// A node as its disk left it, at `now` ms. `id` is its identity; `seed` feeds the random
    /// part of its timeouts.
    pub fn new(id: u64, saved: PersistentState, config: Config, now: u64, seed: u64) -> RaftNode {
        let snapshot_index = saved.snapshot.index;
        let log = RaftLog::new(saved.snapshot, saved.entries);
        let (membership, membership_index) = log.membership_at(u64::MAX);
        let mut rng = SmallRng::seed_from_u64(seed);
        // Before it ended, the node may have answered a round that a lease rests on; once
        // that must be over it may vote, and stand.
        let leader_heard_at = now.saturating_sub(config.election_timeout_ms.saturating_sub(config.lease_ms));
        let election_deadline = now + config.lease_ms + rng.gen_range(0..=config.election_jitter_ms / 2);
        let first_message_number = SmallRng::seed_from_u64(seed ^ id).gen();
        RaftNode {
            id,
            config,
            rng,
            now,
            hard_state: saved.hard_state,
            persisted_index: log.last_index(),
            commit_index: snapshot_index,
            announced_commit: 0,
            delivered_index: snapshot_index,
            applied_index: snapshot_index,
            log,
            role: Role::Follower,
            leader_id: 0,
            membership,
            membership_index,
            membership_since: now,
            votes: BTreeSet::new(),
            progress: BTreeMap::new(),
            election_deadline,
            last_tick: now,
            leader_heard_at,
            next_heartbeat_at: 0,
            next_learner_heartbeat_at: 0,
            rounds: Rounds::default(),
            lease_until: 0,
            leader_since: 0,
            pending_reads: Vec::new(),
            transfer: None,
            shutting_down: false,
            shutdown_granted: false,
            gave_way_at: None,
            storage_failed: false,
            subscribers: BTreeMap::new(),
            next_relay_at: 0,
            relayed_leadership: Leadership::default(),
            upstream: Upstream::default(),
            fragmenter: Fragmenter::new(first_message_number, config.resend_ms, config.peer_timeout_ms),
            is_snapshot_readable: |_, _| true,
            unreadable_snapshots: 0,
            ready: Ready::default(),
        }
    }

    /// How to tell whether the data of a snapshot at an index can be read. One that cannot is
    /// not installed and not answered, so that it is sent again.
    pub fn set_snapshot_check(&mut self, is_readable: fn(u64, &[u8]) -> bool) {
        self.is_snapshot_readable = is_readable;
    }

    /// Makes this node the only voter of a new cluster. Does nothing unless it is empty.
    pub fn bootstrap(&mut self, voter: Voter) {
        if self.last_index() > 0 || self.term() > 0 {
            return;
        }
        self.hard_state.term = 1;
        self.persist_hard_state();
        let membership = Membership {
            voters: vec![voter],
            ..Default::default()
        };
        self.append(Entry {
            index: 1,
            term: 1,
            entry_type: EntryType::Membership as i32,
            data: membership.encode_to_vec(),
        });
        self.election_deadline = self.now;
    }

    /// The time has come to `now` ms.
    pub fn tick(&mut self, now: u64) {
        self.now = now;
        // A process that stood still has messages of others waiting: the silence is its own,
        // and it looks again once it has heard them.
        let stood_still = now.saturating_sub(self.last_tick) > self.config.election_timeout_ms * 2 / 3;
        self.last_tick = now;
        let resent = self.fragmenter.tick(now);
        self.ready.messages.extend(resent);
        match self.role {
            Role::Leader => self.tick_leader(stood_still),
            _ if now >= self.election_deadline => self.on_election_timeout(),
            _ => {}
        }
    }

    fn tick_leader(&mut self, stood_still: bool) {
        if !stood_still && !self.has_heard_majority(self.config.election_timeout_ms) {
            self.become_follower(self.term(), 0);
            return;
        }
        self.expire_transfer();
        if self.now >= self.next_heartbeat_at {
            self.begin_round();
            self.send_heartbeats(self.now >= self.next_learner_heartbeat_at);
            self.settle_rounds();
        }
    }

    /// When [`RaftNode::tick`] has something to do again, ms.
    pub fn next_tick_at(&self) -> u64 {
        let own = match self.role {
            Role::Leader => self.next_heartbeat_at,
            _ => self.election_deadline,
        };
        let own = self.fragmenter.next_tick_at().map_or(own, |at| at.min(own));
        if self.subscribers.is_empty() {
            own
        } else {
            own.min(self.next_relay_at)
        }
    }

    /// What is to be done since the last call.
    pub fn take_ready(&mut self) -> Ready {
        self.relay_by_time();
        if self.commit_index > self.delivered_index {
            self.relay_new_entries();
            let committed = self.log.between(self.delivered_index, self.commit_index);
            self.ready.committed_entries.extend(committed.cloned());
            self.delivered_index = self.commit_index;
        }
        let mut ready = std::mem::take(&mut self.ready);
        let messages = std::mem::take(&mut ready.messages).into_iter();
        let now = self.now;
        let sent = messages.filter_map(|message| self.fragmenter.send(now, message));
        ready.messages = sent.collect();
        ready
    }

    /// Everything up to this entry is on disk.
    pub fn on_persisted(&mut self, position: LogPosition) {
        if position.index > self.persisted_index && self.log.term_at(position.index) == Some(position.term) {
            self.persisted_index = position.index;
            self.advance_commit();
        }
    }

    /// The owner of the state has applied everything up to an index.
    pub fn on_applied(&mut self, index: u64) {
        self.applied_index = self.applied_index.max(index);
    }

    /// Adds to answers that are about to be sent what has been applied since they were made.
    pub fn stamp_applied(&self, answers: &mut [Message]) {
        let applied = self.applied_by_all();
        let answers = answers.iter_mut();
        for answer in answers.filter(|m| m.message_type() == MessageType::AppendEntriesResponse) {
            answer.applied = answer.applied.max(applied);
        }
    }

    /// A node whose disk fails neither leads nor stands for election.
    pub fn set_storage_failed(&mut self, failed: bool) {
        self.storage_failed = failed;
        if failed && self.is_leader() {
            self.step_down();
        }
    }

    /// Queues a message that may go at once.
    fn send(&mut self, to: u64, message: Message) {
        self.ready.messages.push(Message { to, ..message });
    }

    /// Queues a message that promises what is written now.
    fn send_persisted(&mut self, to: u64, message: Message) {
        self.ready.persisted_messages.push(Message { to, ..message });
    }

    /// A message of this type and the current term.
    fn message(&self, message_type: MessageType) -> Message {
        Message {
            message_type: message_type as i32,
            term: self.term(),
            ..Default::default()
        }
    }

    fn persist_hard_state(&mut self) {
        self.ready.write.hard_state = Some(self.hard_state);
    }
}
