//! A node of the cluster: its state, and the inputs other than messages. The modules below
//! implement the parts of the protocol.

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

/// Role of a node in its current term.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Follows a leader or waits for one.
    Follower,
    /// Asks the other voters whether they would vote for it (dissertation, 9.6).
    PreCandidate,
    /// Requests votes in an election.
    Candidate,
    /// Leads the cluster.
    Leader,
}

/// The protocol state machine of one node. All points in time are milliseconds on the node's
/// own monotonic clock. It can be cloned so that tests can explore alternative continuations
/// of a state.
#[derive(Clone)]
pub struct RaftNode {
    id: u64,
    config: Config,
    rng: SmallRng,
    /// Time of the latest input, in milliseconds.
    now: u64,
    hard_state: HardState,
    log: RaftLog,
    /// Index of the last entry known to be on this node's disk.
    persisted_index: u64,
    commit_index: u64,
    /// Highest commit index received from a leader.
    announced_commit: u64,
    /// Index of the last entry passed to the driver as committed.
    delivered_index: u64,
    applied_index: u64,
    role: Role,
    /// Identity of the current leader; 0 if none is known.
    leader_id: u64,
    membership: Membership,
    membership_index: u64,
    /// Time since which the membership has been in force on this node, in milliseconds.
    membership_since: u64,
    /// Voters that have granted this candidate their vote or pre-vote.
    votes: BTreeSet<u64>,
    /// Replication state of the voters and learners that a leader replicates to.
    progress: BTreeMap<u64, Progress>,
    election_deadline: u64,
    last_tick: u64,
    /// Time at which a leader was last heard from, in milliseconds.
    leader_heard_at: u64,
    next_heartbeat_at: u64,
    next_learner_heartbeat_at: u64,
    rounds: Rounds,
    lease_until: u64,
    leader_since: u64,
    pending_reads: Vec<PendingRead>,
    transfer: Option<LeadershipTransfer>,
    /// Whether this node has announced its shutdown.
    shutting_down: bool,
    /// Whether the leader has confirmed that the other voters can continue without this node.
    shutdown_granted: bool,
    /// Time at which this node last yielded to another pre-candidate, in milliseconds.
    yielded_at: Option<u64>,
    storage_failed: bool,
    /// Replication state of the learners that this node relays the log to.
    subscribers: BTreeMap<u64, Progress>,
    next_relay_at: u64,
    /// Leader and term that the subscribers were last notified of.
    relayed_leadership: Leadership,
    /// The voter that relays the log to this node, if this node is a learner.
    upstream: Upstream,
    fragmenter: Fragmenter,
    /// Returns whether the data of a snapshot with this index can be read.
    is_snapshot_readable: fn(u64, &[u8]) -> bool,
    /// Number of received snapshots that could not be read.
    unreadable_snapshots: u64,
    ready: Ready,
}

impl RaftNode {
    /// Creates a node from its persisted state at time `now`, in milliseconds. `id` is the
    /// node's identity; `seed` initializes the random part of its timeouts.
    pub fn new(id: u64, persisted_state: PersistentState, config: Config, now: u64, seed: u64) -> RaftNode {
        let snapshot_index = persisted_state.snapshot.index;
        let log = RaftLog::new(persisted_state.snapshot, persisted_state.entries);
        let (membership, membership_index) = log.membership_at(u64::MAX);
        let mut rng = SmallRng::seed_from_u64(seed);
        // Before a restart the node may have answered a heartbeat round that a lease is based
        // on. It votes and starts elections only once that lease must have expired.
        let leader_heard_at = now.saturating_sub(config.election_timeout_ms.saturating_sub(config.lease_ms));
        let election_deadline = now + config.lease_ms + rng.gen_range(0..=config.election_jitter_ms / 2);
        let first_message_number = SmallRng::seed_from_u64(seed ^ id).gen();
        RaftNode {
            id,
            config,
            rng,
            now,
            hard_state: persisted_state.hard_state,
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
            yielded_at: None,
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

    /// Sets the function that checks whether the data of a snapshot with a given index can be
    /// read. An unreadable snapshot is neither installed nor acknowledged, so that it is sent
    /// again.
    pub fn set_snapshot_check(&mut self, is_readable: fn(u64, &[u8]) -> bool) {
        self.is_snapshot_readable = is_readable;
    }

    /// Makes this node the only voter of a new cluster. Does nothing if the node already has a
    /// log or a term.
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

    /// Advances the clock to `now`, in milliseconds.
    pub fn tick(&mut self, now: u64) {
        self.now = now;
        // After a stall of this process, messages from other nodes may still be queued.
        // Contact with the majority is therefore checked only at a later tick, once they have
        // been processed.
        let was_stalled = now.saturating_sub(self.last_tick) > self.config.election_timeout_ms * 2 / 3;
        self.last_tick = now;
        let resent = self.fragmenter.tick(now);
        self.ready.messages.extend(resent);
        match self.role {
            Role::Leader => self.tick_leader(was_stalled),
            _ if now >= self.election_deadline => self.on_election_timeout(),
            _ => {}
        }
    }

    fn tick_leader(&mut self, was_stalled: bool) {
        if !was_stalled && !self.has_heard_majority(self.config.election_timeout_ms) {
            self.become_follower(self.term(), 0);
            return;
        }
        self.expire_transfer();
        if self.now >= self.next_heartbeat_at {
            self.begin_round();
            self.send_heartbeats(self.now >= self.next_learner_heartbeat_at);
            self.process_answered_rounds();
        }
    }

    /// Returns the time at which [`RaftNode::tick`] next has work to do, in milliseconds.
    pub fn next_tick_at(&self) -> u64 {
        let own_deadline = match self.role {
            Role::Leader => self.next_heartbeat_at,
            _ => self.election_deadline,
        };
        let own_deadline = self
            .fragmenter
            .next_tick_at()
            .map_or(own_deadline, |at| at.min(own_deadline));
        if self.subscribers.is_empty() {
            own_deadline
        } else {
            own_deadline.min(self.next_relay_at)
        }
    }

    /// Returns the work that has accumulated since the last call.
    pub fn take_ready(&mut self) -> Ready {
        self.relay_if_due();
        if self.commit_index > self.delivered_index {
            self.relay_new_entries();
            let committed = self.log.between(self.delivered_index, self.commit_index);
            self.ready.committed_entries.extend(committed.cloned());
            self.delivered_index = self.commit_index;
        }
        let mut ready = std::mem::take(&mut self.ready);
        let messages = std::mem::take(&mut ready.messages).into_iter();
        let now = self.now;
        let to_send = messages.filter_map(|message| self.fragmenter.send(now, message));
        ready.messages = to_send.collect();
        ready
    }

    /// Notifies the node that everything up to this entry is on disk.
    pub fn on_persisted(&mut self, position: LogPosition) {
        if position.index > self.persisted_index && self.log.term_at(position.index) == Some(position.term) {
            self.persisted_index = position.index;
            self.advance_commit();
        }
    }

    /// Notifies the node that the driver has applied all entries up to `index`.
    pub fn on_applied(&mut self, index: u64) {
        self.applied_index = self.applied_index.max(index);
    }

    /// Updates the applied index in responses that are about to be sent to the current one.
    pub fn update_applied_index(&self, responses: &mut [Message]) {
        let applied = self.min_applied_index();
        let responses = responses.iter_mut();
        for response in responses.filter(|m| m.message_type() == MessageType::AppendEntriesResponse) {
            response.applied = response.applied.max(applied);
        }
    }

    /// Sets whether the node's disk is failing. Such a node neither leads nor starts
    /// elections.
    pub fn set_storage_failed(&mut self, failed: bool) {
        self.storage_failed = failed;
        if failed && self.is_leader() {
            self.step_down();
        }
    }

    /// Queues a message that can be sent immediately.
    fn send(&mut self, to: u64, message: Message) {
        self.ready.messages.push(Message { to, ..message });
    }

    /// Queues a message that may be sent only after the pending write is on disk.
    fn send_persisted(&mut self, to: u64, message: Message) {
        self.ready.persisted_messages.push(Message { to, ..message });
    }

    /// Creates a message of this type with the current term.
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
