mod relay;

use crate::fragment::Fragmenter;
use crate::message::*;
use crate::progress::Progress;
use crate::tend::may_end;
use prost::Message as _;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// The times that the agreement goes by, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    pub heartbeat: u64,
    pub observer_heartbeat: u64,
    pub election_min: u64,
    pub election_spread: u64,
    pub lease: u64,
    pub resend: u64,
    pub snapshot_resend: u64,
    /// A follower silent for longer is fed no more.
    pub follower_gone: u64,
    pub append_bytes: usize,
    /// Bytes of folded entries that are kept for those that lag.
    pub tail_bytes: usize,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    Follower,
    PreCandidate,
    Candidate,
    Leader,
}

/// What a disk gave back at the start.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PersistentState {
    pub term: u64,
    pub vote: u64,
    pub snapshot: Snapshot,
    pub entries: Vec<Entry>,
}

/// What has to reach the disk, in this order.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StorageWrite {
    pub hard: Option<(u64, u64)>,
    pub snapshot: Option<Snapshot>,
    /// Entries from this index on are void.
    pub cut_from: Option<u64>,
    pub entries: Vec<Entry>,
}

impl StorageWrite {
    pub fn is_empty(&self) -> bool {
        *self == StorageWrite::default()
    }
}

#[derive(Clone, Debug, Default)]
pub struct Ready {
    pub write: StorageWrite,
    /// To be sent at once.
    pub now: Vec<(u64, Message)>,
    /// To be sent once the write, and all before it, is on disk.
    pub after: Vec<(u64, Message)>,
    /// A snapshot that replaces the applied state.
    pub install: Option<Snapshot>,
    pub committed: Vec<Entry>,
    /// Reads that may now be answered from the applied state, by token.
    pub reads: Vec<(u64, bool)>,
}

/// One node's part in the agreement. Copies serve tests that play what may follow.
#[derive(Clone)]
pub struct RaftNode {
    id: u64,
    timing: Config,
    rng: SmallRng,
    now: u64,
    term: u64,
    vote: u64,
    snapshot: Snapshot,
    /// Index and term of the entry before the first of the log. The log reaches
    /// back behind the snapshot, so that whoever lags a little is sent a little.
    base: (u64, u64),
    log: VecDeque<Entry>,
    /// Bytes of the entries after the snapshot.
    log_bytes: usize,
    stable: u64,
    commit: u64,
    /// The highest commit index that a leader has told this node of.
    told_commit: u64,
    handed: u64,
    applied: u64,
    role: Role,
    leader: u64,
    roll: Membership,
    roll_index: u64,
    /// Since when this roll is in force here.
    roll_since: u64,
    votes: BTreeSet<u64>,
    progress: BTreeMap<u64, Progress>,
    deadline: u64,
    ticked_at: u64,
    heard_at: u64,
    beat_at: u64,
    observer_beat_at: u64,
    round: u64,
    /// When each round still unanswered by a majority was sent.
    rounds: VecDeque<(u64, u64)>,
    lease_until: u64,
    led_since: u64,
    reads: Vec<(u64, u64, u64)>,
    /// To whom leadership is being passed, and since when.
    handing_over: Option<(u64, u64)>,
    /// This node is about to end.
    leaving: bool,
    /// The leader has said that the others go on without this node.
    may_end: bool,
    gave_way_at: Option<u64>,
    unfit: bool,
    /// Nodes without a vote that this node passes the log on to.
    followers: BTreeMap<u64, Progress>,
    feed_beat_at: u64,
    /// The leader and term that followers were last told of.
    fed_leader: (u64, u64),
    /// Whom this node follows, if it does not vote.
    feed: relay::Upstream,
    fragments: Fragmenter,
    /// Whether the data of a snapshot at an index can be read.
    readable: fn(u64, &[u8]) -> bool,
    /// Snapshots that could not.
    unreadable: u64,
    out: Ready,
}

impl RaftNode {
    /// A node as its disk left it. `id` is its own identity.
    pub fn new(id: u64, saved: PersistentState, timing: Config, now: u64, seed: u64) -> RaftNode {
        let mut me = RaftNode {
            id,
            timing,
            rng: SmallRng::seed_from_u64(seed),
            now,
            term: saved.term,
            vote: saved.vote,
            stable: saved.entries.last().map_or(saved.snapshot.index, |e| e.index),
            commit: saved.snapshot.index,
            told_commit: 0,
            handed: saved.snapshot.index,
            applied: saved.snapshot.index,
            base: (saved.snapshot.index, saved.snapshot.term),
            log_bytes: saved.entries.iter().map(|e| e.data.len()).sum(),
            log: saved.entries.into(),
            snapshot: saved.snapshot,
            role: Role::Follower,
            leader: 0,
            roll: Membership::default(),
            roll_index: 0,
            roll_since: now,
            votes: BTreeSet::new(),
            progress: BTreeMap::new(),
            deadline: 0,
            ticked_at: now,
            heard_at: now,
            beat_at: 0,
            observer_beat_at: 0,
            round: 0,
            rounds: VecDeque::new(),
            lease_until: 0,
            led_since: 0,
            reads: Vec::new(),
            handing_over: None,
            leaving: false,
            may_end: false,
            gave_way_at: None,
            unfit: false,
            followers: BTreeMap::new(),
            feed_beat_at: 0,
            fed_leader: (0, 0),
            feed: relay::Upstream::default(),
            fragments: Fragmenter::new(0, timing.resend, timing.follower_gone),
            readable: |_, _| true,
            unreadable: 0,
            out: Ready::default(),
        };
        let first = SmallRng::seed_from_u64(seed ^ id).gen();
        me.fragments = Fragmenter::new(first, timing.resend, timing.follower_gone);
        me.read_roll();
        // Before it ended, the node may have answered a round that a lease
        // rests on; once that must be over it may vote, and stand.
        me.heard_at = now.saturating_sub(timing.election_min.saturating_sub(timing.lease));
        me.deadline = now + timing.lease + me.rng.gen_range(0..=timing.election_spread / 2);
        me
    }

    /// How to tell whether the data of a snapshot at an index can be read. One that
    /// cannot is no message: nothing is installed, and it is sent again.
    pub fn set_readable(&mut self, readable: fn(u64, &[u8]) -> bool) {
        self.readable = readable;
    }

    /// How many snapshots arrived that could not be read.
    pub fn unreadable(&self) -> u64 {
        self.unreadable
    }

    /// The first node of a new system writes down that it is the only voter.
    /// To be called on an empty node only.
    pub fn begin(&mut self, me: Voter) {
        if self.last_index() > 0 || self.term > 0 {
            return;
        }
        self.term = 1;
        self.note_hard();
        let roll = Membership {
            voters: vec![me],
            ..Default::default()
        };
        self.push(Entry {
            index: 1,
            term: 1,
            kind: EntryType::Membership as i32,
            data: roll.encode_to_vec(),
        });
        self.deadline = self.now;
    }

    pub fn id(&self) -> u64 {
        self.id
    }
    pub fn term(&self) -> u64 {
        self.term
    }
    pub fn role(&self) -> Role {
        self.role
    }
    /// The leader as far as this node knows; 0 for none.
    pub fn leader(&self) -> u64 {
        self.leader
    }
    pub fn roll(&self) -> &Membership {
        &self.roll
    }
    pub fn commit(&self) -> u64 {
        self.commit
    }
    pub fn last_index(&self) -> u64 {
        self.log.back().map_or(self.snapshot.index, |e| e.index)
    }
    /// The term of the last entry.
    pub fn term_of_last(&self) -> u64 {
        self.term_at(self.last_index()).unwrap_or(0)
    }
    /// Whether this node has, in this life, caught up with what a leader said
    /// was committed. After a restart of everything a new leader knows of nothing
    /// behind its snapshot that it is committed, until an entry of its own term
    /// is: what it says before that may be older than what was acknowledged.
    pub fn is_current(&self) -> bool {
        let settled = self.term_at(self.commit) == Some(self.term);
        let caught_up = self.leader != 0 && self.told_commit > 0 && self.commit >= self.told_commit;
        settled && (self.is_leader() || caught_up)
    }
    /// Entries since the snapshot.
    pub fn log_len(&self) -> usize {
        (self.last_index() - self.snapshot.index) as usize
    }
    /// Their size, in bytes.
    pub fn log_bytes(&self) -> usize {
        self.log_bytes
    }
    /// The size of the snapshot, in bytes.
    pub fn snapshot_bytes(&self) -> usize {
        self.snapshot.data.len()
    }
    pub fn is_leader(&self) -> bool {
        self.role == Role::Leader
    }
    /// When this node last heard the leader that it follows.
    pub fn heard_at(&self) -> u64 {
        self.heard_at
    }
    /// When this node last had word of a majority: as leader the moment since which a
    /// majority has been heard, else when it last heard the leader that it follows.
    pub fn contact_at(&self, now: u64) -> u64 {
        if !self.is_leader() {
            return self.heard_at;
        }
        let heard = |v: &Voter| match self.progress.get(&v.id) {
            _ if v.id == self.id => now,
            Some(p) => p.heard_at,
            None => 0,
        };
        let mut heard: Vec<u64> = self.roll.voters.iter().map(heard).collect();
        heard.sort_unstable_by(|a, b| b.cmp(a));
        heard.get(self.roll.majority() - 1).copied().unwrap_or(0)
    }
    /// A leader whose first entry of its term is committed knows all that was
    /// ever committed.
    pub fn is_settled(&self) -> bool {
        self.is_leader() && self.term_at(self.commit) == Some(self.term)
    }
    /// Whether the duties of the leader may be done now: a majority has heard
    /// it lately and will elect nobody else before the lease ends.
    pub fn holds_lease(&self, now: u64) -> bool {
        self.is_settled() && self.handing_over.is_none() && now < self.lease_until
    }
    /// Since when the roll is as it is, as far as this life knows, ms.
    pub fn roll_since(&self) -> u64 {
        self.roll_since
    }
    pub fn led_since(&self) -> u64 {
        self.led_since
    }
    pub fn progress(&self, id: u64) -> Option<&Progress> {
        self.progress.get(&id)
    }
    /// The last entry known to be on a voter's disk; as the leader knows it.
    pub fn on_disk(&self, id: u64) -> u64 {
        match self.progress.get(&id) {
            _ if id == self.id => self.stable,
            progress => progress.map_or(0, |p| p.matched),
        }
    }
    /// Whether a change of the roll is still on its way.
    pub fn roll_pending(&self) -> bool {
        self.roll_index > self.commit
    }

    pub fn take_effects(&mut self) -> Ready {
        self.feed_by_time();
        if self.commit > self.handed {
            self.feed_all(false);
            let (from, to) = (self.handed, self.commit);
            self.out.committed.extend(
                self.log
                    .iter()
                    .filter(|e| e.index > from && e.index <= to)
                    .cloned(),
            );
            self.handed = to;
        }
        let mut out = std::mem::take(&mut self.out);
        for (to, message) in out.now.iter_mut().chain(&mut out.after) {
            message.to = *to;
        }
        let whole = std::mem::take(&mut out.now).into_iter();
        let sent = whole.filter_map(|(to, message)| {
            let message = self.fragments.send(self.now, to, message)?;
            Some((to, Message { to, ..message }))
        });
        out.now = sent.collect();
        out
    }

    /// Word that everything up to an entry is on disk.
    pub fn persisted(&mut self, index: u64, term: u64) {
        if index > self.stable && self.term_at(index) == Some(term) {
            self.stable = index;
            self.advance();
        }
    }

    /// Puts into answers that are about to go what has been applied since they were made.
    pub fn stamp(&self, answers: &mut [(u64, Message)]) {
        let applied = self.applied_by_all();
        for (_, message) in answers
            .iter_mut()
            .filter(|(_, c)| c.kind() == MessageType::AppendEntriesResponse)
        {
            message.applied = message.applied.max(applied);
        }
    }

    /// Word that the owner of the state has applied up to an index.
    pub fn applied(&mut self, index: u64) {
        self.applied = self.applied.max(index);
    }

    /// Folds the log up to the applied index into a snapshot with this data.
    pub fn compact(&mut self, data: Vec<u8>) {
        let index = self.applied;
        let Some(term) = self.term_at(index) else { return };
        if index <= self.snapshot.index || index > self.stable {
            return;
        }
        let roll = self.roll_at(index);
        self.snapshot = Snapshot {
            index,
            term,
            roll: Some(roll),
            data,
        };
        // The youngest entries that are folded stay at hand, as many as cost no more
        // to send than the snapshot: who was sent the one before needs just them.
        let tail_bytes = self.timing.tail_bytes.max(self.snapshot.data.len());
        let folded = (index - self.base.0) as usize;
        let (mut kept, mut bytes) = (0, 0);
        for e in self.log.iter().take(folded).rev() {
            bytes += e.data.len();
            if bytes > tail_bytes {
                break;
            }
            kept += 1;
        }
        self.drop_front(folded - kept);
        let fresh = self.log.iter().skip(kept);
        self.log_bytes = fresh.map(|e| e.data.len()).sum();
        self.out.write.snapshot = Some(self.snapshot.clone());
    }

    /// Drops the oldest entries of the log.
    fn drop_front(&mut self, count: usize) {
        if let Some(last) = self.log.drain(..count).next_back() {
            self.base = (last.index, last.term);
        }
    }

    /// A node whose disk is in trouble neither leads nor stands for election.
    pub fn set_unfit(&mut self, unfit: bool) {
        self.unfit = unfit;
        if unfit && self.is_leader() {
            self.give_up_lead();
        }
    }

    /// Passes leadership to the voter that is furthest, once that has every entry.
    /// Until then, and no longer than a failed election takes, nothing is proposed; then
    /// this node leads on.
    pub fn hand_over(&mut self) {
        if !self.is_leader() || self.handing_over.is_some() {
            return;
        }
        if let Some((to, matched)) = self.furthest() {
            self.handing_over = Some((to, self.now));
            if matched == self.last_index() {
                self.send_take_over(to);
            }
        }
    }

    /// Ends its lead, and asks the voter that is furthest to stand at once.
    fn give_up_lead(&mut self) {
        if let Some((to, _)) = self.furthest() {
            self.send_take_over(to);
        }
        self.become_follower(self.term, 0);
    }

    /// The voter in contact that has most of the log, rather one that stays, and what
    /// it has.
    fn furthest(&self) -> Option<(u64, u64)> {
        let voters = self.roll.voters.iter().filter(|v| v.id != self.id);
        voters
            .filter_map(|v| self.progress.get(&v.id).map(|p| (p, v.id)))
            .filter(|(p, _)| self.now.saturating_sub(p.heard_at) < self.timing.election_min)
            .max_by_key(|(p, id)| (p.matched, !p.was_leaving(), p.heard_at, *id))
            .map(|(p, id)| (id, p.matched))
    }

    fn send_take_over(&mut self, to: u64) {
        let message = Message {
            kind: MessageType::TimeoutNow as i32,
            term: self.term,
            ..Default::default()
        };
        self.out.now.push((to, message));
    }

    /// This node is about to end: it passes leadership on, or tells the leader so. To be
    /// repeated until [`Prompter::may_end`], or until there is no more time.
    pub fn leave(&mut self, now: u64) {
        self.now = now;
        self.leaving = true;
        if self.is_leader() {
            self.may_end = false;
            self.hand_over();
        } else if self.leader != 0 {
            let message = Message {
                kind: MessageType::ShutdownRequest as i32,
                term: self.term,
                index: self.last_index(),
                ..Default::default()
            };
            self.out.now.push((self.leader, message));
        }
    }

    /// Whether nothing would be lost, for good or for now, if this node ended: it does
    /// not vote, or the leader has said that the others go on with all that it holds.
    pub fn may_end(&self) -> bool {
        !self.roll.has(self.id) || self.may_end && !self.is_leader()
    }

    /// A voter says that it is about to end.
    fn on_leaving(&mut self, from: u64, message: Message) {
        let now = self.now;
        if !self.is_leader() || message.term != self.term {
            return;
        }
        if let Some(p) = self.progress.get_mut(&from) {
            p.heard_at = now;
            p.leaving_at = Some(now);
        }
        let all_committed = message.index <= self.commit;
        let reply = Message {
            kind: MessageType::ShutdownResponse as i32,
            term: self.term,
            yes: all_committed && may_end(self, from, now, self.timing.election_min),
            ..Default::default()
        };
        self.out.now.push((from, reply));
    }

    /// Puts a change at the end of the log; the index it got, if this node leads.
    pub fn propose(&mut self, data: Vec<u8>) -> Option<(u64, u64)> {
        if !self.is_leader() || self.handing_over.is_some() {
            return None;
        }
        Some(self.propose_kind(EntryType::Command, data))
    }

    /// Proposes another roll that differs by one voter.
    pub fn propose_roll(&mut self, roll: Membership) -> bool {
        if !self.is_settled() || self.roll_pending() || roll.voters.is_empty() {
            return false;
        }
        let before: BTreeSet<u64> = self.roll.voters.iter().map(|v| v.id).collect();
        let after: BTreeSet<u64> = roll.voters.iter().map(|v| v.id).collect();
        if before.symmetric_difference(&after).count() > 1 {
            return false;
        }
        self.propose_kind(EntryType::Membership, roll.encode_to_vec());
        true
    }

    fn propose_kind(&mut self, kind: EntryType, data: Vec<u8>) -> (u64, u64) {
        let index = self.last_index() + 1;
        let term = self.term;
        self.push(Entry {
            index,
            term,
            kind: kind as i32,
            data,
        });
        self.send_all(false);
        (index, term)
    }

    /// Asks for leave to answer a read; the token comes back in
    /// [`Effects::reads`].
    pub fn read(&mut self, token: u64) {
        if !self.is_leader() {
            self.out.reads.push((token, false));
            return;
        }
        self.round += 1;
        self.rounds.push_back((self.round, self.now));
        self.reads.push((token, self.round, self.commit));
        self.send_beat(true);
        self.count_rounds();
    }

    /// Tells a leader which nodes without a vote there are.
    pub fn set_observers(&mut self, observers: &BTreeSet<u64>) {
        if !self.is_leader() {
            return;
        }
        let roll = &self.roll;
        self.progress
            .retain(|id, _| roll.has(*id) || observers.contains(id));
        let next = self.last_index() + 1;
        for id in observers {
            if *id != self.id && !self.progress.contains_key(id) {
                self.progress.insert(
                    *id,
                    Progress {
                        next,
                        ..Default::default()
                    },
                );
                self.send_to(*id, true);
            }
        }
    }

    pub fn tick(&mut self, now: u64) {
        self.now = now;
        // A process that stood still has words of others waiting: the silence is
        // its own, and it looks again once it has heard them.
        let stood_still = now.saturating_sub(self.ticked_at) > self.timing.election_min * 2 / 3;
        self.ticked_at = now;
        self.out.now.extend(self.fragments.tick(now));
        match self.role {
            Role::Leader => {
                if !stood_still && !self.heard_by_majority(self.timing.election_min) {
                    self.become_follower(self.term, 0);
                    return;
                }
                let failed =
                    |(_, since): &(u64, u64)| now.saturating_sub(*since) > 2 * self.timing.election_min;
                if self.handing_over.as_ref().is_some_and(failed) {
                    self.handing_over = None;
                }
                if now >= self.beat_at {
                    self.round += 1;
                    self.rounds.push_back((self.round, now));
                    let observers = now >= self.observer_beat_at;
                    self.send_beat(observers);
                    self.count_rounds();
                }
            }
            _ if now >= self.deadline => self.campaign(false),
            _ => {}
        }
    }

    /// The moment of the next tick that matters.
    pub fn next_tick(&self) -> u64 {
        let own = match self.role {
            Role::Leader => self.beat_at,
            _ => self.deadline,
        };
        let own = self.fragments.next_tick().map_or(own, |at| at.min(own));
        if self.followers.is_empty() {
            own
        } else {
            own.min(self.feed_beat_at)
        }
    }

    // ---- elections ----

    fn campaign(&mut self, asked: bool) {
        self.rest();
        if !self.roll.has(self.id) || self.unfit {
            return;
        }
        self.leader = 0;
        self.votes = BTreeSet::from([self.id]);
        if asked {
            self.stand(true);
        } else {
            self.role = Role::PreCandidate;
            // Asking changes nothing, so it may be repeated soon: others may
            // only just have started, or still hear the leader that is gone.
            let pause = self.timing.election_min / 4;
            self.deadline = self.now + pause + self.rng.gen_range(0..=pause);
            if self.votes.len() >= self.roll.majority() {
                self.stand(false);
            } else {
                self.ask(MessageType::PreVoteRequest, self.term + 1, false);
            }
        }
    }

    /// Of two that ask at the same time one steps back for a moment, or they
    /// would split the votes. Not again soon: the other may hear no answers.
    fn give_way(&mut self) {
        let again = 2 * self.timing.election_min;
        if self
            .gave_way_at
            .is_none_or(|at| self.now.saturating_sub(at) > again)
        {
            self.gave_way_at = Some(self.now);
            self.role = Role::Follower;
            self.deadline = self.now
                + self.timing.election_min / 3
                + self.rng.gen_range(0..=self.timing.election_min / 4);
        }
    }

    fn stand(&mut self, asked: bool) {
        self.role = Role::Candidate;
        self.deadline =
            self.now + self.timing.election_min / 3 + self.rng.gen_range(0..=self.timing.election_spread);
        self.term += 1;
        self.vote = self.id;
        self.votes = BTreeSet::from([self.id]);
        self.note_hard();
        if self.votes.len() >= self.roll.majority() {
            self.lead();
        } else {
            self.ask(MessageType::VoteRequest, self.term, asked);
        }
    }

    fn ask(&mut self, kind: MessageType, term: u64, asked: bool) {
        let index = self.last_index();
        let log_term = self.term_at(index).unwrap_or(0);
        for to in self.others() {
            let message = Message {
                kind: kind as i32,
                term,
                index,
                log_term,
                yes: asked,
                ..Default::default()
            };
            // A vote for oneself counts only once it is on disk.
            if kind == MessageType::VoteRequest {
                self.out.after.push((to, message));
            } else {
                self.out.now.push((to, message));
            }
        }
    }

    fn lead(&mut self) {
        self.role = Role::Leader;
        self.leader = self.id;
        self.led_since = self.now;
        self.lease_until = 0;
        self.handing_over = None;
        self.rounds.clear();
        self.reads.clear();
        let next = self.last_index() + 1;
        let now = self.now;
        self.progress = self
            .others()
            .into_iter()
            .map(|id| {
                (
                    id,
                    Progress {
                        next,
                        heard_at: now,
                        ..Default::default()
                    },
                )
            })
            .collect();
        self.propose_kind(EntryType::NoOp, Vec::new());
        self.beat_at = now;
        self.observer_beat_at = now;
    }

    fn become_follower(&mut self, term: u64, leader: u64) {
        if term > self.term {
            self.term = term;
            self.vote = 0;
            self.note_hard();
        }
        if self.role == Role::Leader {
            for (token, _, _) in std::mem::take(&mut self.reads) {
                self.out.reads.push((token, false));
            }
            self.lease_until = 0;
        }
        self.role = Role::Follower;
        self.leader = leader;
        self.may_end = false;
        self.handing_over = None;
        self.rest();
    }

    /// Waits a fresh election time.
    fn rest(&mut self) {
        // Whoever is about to end lets others stand first.
        let later = if self.leaving {
            2 * self.timing.election_min
        } else {
            0
        };
        self.deadline =
            self.now + later + self.timing.election_min + self.rng.gen_range(0..=self.timing.election_spread);
    }

    fn heard_by_majority(&self, within: u64) -> bool {
        let heard = self
            .roll
            .voters
            .iter()
            .filter(|v| {
                v.id == self.id
                    || self
                        .progress
                        .get(&v.id)
                        .is_some_and(|p| self.now.saturating_sub(p.heard_at) < within)
            })
            .count();
        heard >= self.roll.majority()
    }

    // ---- messages ----

    pub fn receive(&mut self, now: u64, from: u64, message: Message) {
        self.now = now;
        let Ok(kind) = MessageType::try_from(message.kind) else {
            return;
        };
        if message.to != 0 && message.to != self.id {
            return;
        }
        match kind {
            MessageType::PreVoteRequest | MessageType::VoteRequest => {
                return self.on_ask(from, kind, message)
            }
            MessageType::PreVoteResponse => {
                if self.role == Role::PreCandidate && message.yes && message.term == self.term + 1 {
                    self.votes.insert(from);
                    if self.votes_won() {
                        self.stand(false);
                    }
                } else if message.term > self.term && !message.yes {
                    self.become_follower(message.term, 0);
                }
                return;
            }
            MessageType::Subscribe => return self.on_follow(from, message),
            MessageType::Fragment => {
                self.hear_feed(from);
                let (reply, assembled) = self.fragments.receive(now, from, message);
                self.out.now.extend(reply.map(|r| (from, r)));
                if let Some(message) = assembled.filter(|m| m.kind != MessageType::Fragment as i32) {
                    self.receive(now, from, message);
                }
                return;
            }
            MessageType::FragmentAck => {
                if let Some(f) = self.followers.get_mut(&from) {
                    f.heard_at = now;
                }
                let next = self.fragments.acknowledged(now, from, &message);
                self.out.now.extend(next.map(|n| (from, n)));
                return;
            }
            _ => {}
        }
        let passed_on = message.leader != 0;
        if passed_on && !self.takes_feed(from) {
            return;
        }
        let leader = if passed_on { message.leader } else { from };
        if message.term > self.term {
            let leader = if matches!(kind, MessageType::AppendEntries | MessageType::InstallSnapshot) {
                leader
            } else {
                0
            };
            self.become_follower(message.term, leader);
        }
        match kind {
            MessageType::VoteResponse
                if self.role == Role::Candidate && message.yes && message.term == self.term =>
            {
                self.votes.insert(from);
                if self.votes_won() {
                    self.lead();
                }
            }
            MessageType::AppendEntries | MessageType::InstallSnapshot => {
                if message.term < self.term {
                    let reply = Message {
                        kind: MessageType::AppendEntriesResponse as i32,
                        term: self.term,
                        index: self.commit,
                        applied: self.applied,
                        ..Default::default()
                    };
                    self.out.now.push((from, reply));
                    return;
                }
                if self.role != Role::Follower || self.leader != leader {
                    self.become_follower(message.term, leader);
                }
                self.heard_at = now;
                self.rest();
                if kind == MessageType::AppendEntries {
                    self.on_append(from, message);
                } else {
                    self.on_install(from, message);
                }
            }
            MessageType::AppendEntriesResponse if self.on_fed(from, &message) => {}
            MessageType::AppendEntriesResponse => self.on_appended(from, message),
            MessageType::ShutdownRequest => self.on_leaving(from, message),
            MessageType::ShutdownResponse if from == self.leader && message.term == self.term => {
                self.may_end = message.yes
            }
            MessageType::TimeoutNow if message.term == self.term && self.role == Role::Follower => {
                self.campaign(true);
            }
            _ => {}
        }
    }

    fn votes_won(&self) -> bool {
        let counted = self.votes.iter().filter(|id| self.roll.has(**id)).count();
        counted >= self.roll.majority()
    }

    fn on_ask(&mut self, from: u64, kind: MessageType, message: Message) {
        // A node that hears a leader, or has only just started, elects nobody:
        // leases rest on it. A hand-over by the leader itself is excepted.
        let loyal = !message.yes
            && (self.role == Role::Leader && self.heard_by_majority(self.timing.election_min)
                || self.role != Role::Leader
                    && self.now.saturating_sub(self.heard_at) < self.timing.election_min);
        let last = self.last_index();
        let up_to_date = (message.log_term, message.index) >= (self.term_at(last).unwrap_or(0), last);
        if kind == MessageType::PreVoteRequest {
            let yes = !loyal && up_to_date && message.term > self.term;
            if yes && self.role == Role::PreCandidate && from > self.id {
                self.give_way();
            }
            let term = if yes { message.term } else { self.term };
            let reply = Message {
                kind: MessageType::PreVoteResponse as i32,
                term,
                yes,
                ..Default::default()
            };
            self.out.now.push((from, reply));
            return;
        }
        if loyal && message.term > self.term {
            return;
        }
        if message.term > self.term {
            self.become_follower(message.term, 0);
        }
        let free = self.vote == 0 || self.vote == from;
        let yes = message.term == self.term && free && up_to_date && self.role == Role::Follower;
        if yes && self.vote != from {
            self.vote = from;
            self.note_hard();
        }
        if yes {
            self.rest();
        }
        let reply = Message {
            kind: MessageType::VoteResponse as i32,
            term: self.term,
            yes,
            ..Default::default()
        };
        self.out.after.push((from, reply));
    }

    fn on_append(&mut self, from: u64, message: Message) {
        let mut reply = Message {
            kind: MessageType::AppendEntriesResponse as i32,
            term: self.term,
            round: message.round,
            applied: self.applied_by_all(),
            ..Default::default()
        };
        self.told_commit = self.told_commit.max(message.commit);
        let fits =
            message.index <= self.snapshot.index || self.term_at(message.index) == Some(message.log_term);
        if !fits {
            reply.index = self
                .last_index()
                .min(message.index.saturating_sub(1))
                .max(self.commit);
            self.out.now.push((from, reply));
            return;
        }
        let mut last = message.index.max(self.snapshot.index);
        for entry in message.entries {
            if entry.index <= self.snapshot.index {
                continue;
            }
            last = entry.index;
            match self.term_at(entry.index) {
                Some(term) if term == entry.term => continue,
                Some(_) => self.cut(entry.index),
                None => {}
            }
            if entry.index != self.last_index() + 1 {
                return;
            }
            self.push(entry);
        }
        let commit = message.commit.min(last);
        if commit > self.commit {
            self.commit = commit;
        }
        reply.yes = true;
        reply.index = last;
        self.out.after.push((from, reply));
    }

    fn on_install(&mut self, from: u64, message: Message) {
        let mut reply = Message {
            kind: MessageType::AppendEntriesResponse as i32,
            term: self.term,
            round: message.round,
            yes: true,
            ..Default::default()
        };
        let Some(snapshot) = message.snapshot else { return };
        if snapshot.index <= self.commit {
            reply.index = self.commit;
            reply.applied = self.applied_by_all();
            self.out.after.push((from, reply));
            return;
        }
        if !(self.readable)(snapshot.index, &snapshot.data) {
            self.unreadable += 1;
            return;
        }
        reply.index = snapshot.index;
        if self.term_at(snapshot.index) == Some(snapshot.term) {
            self.drop_front((snapshot.index - self.base.0) as usize);
        } else {
            self.log.clear();
            self.out.write.entries.clear();
            self.out.write.cut_from = Some(0);
            self.stable = snapshot.index;
        }
        self.base = (snapshot.index, snapshot.term);
        self.log_bytes = self.log.iter().map(|e| e.data.len()).sum();
        self.stable = self.stable.max(snapshot.index);
        self.commit = snapshot.index;
        self.handed = snapshot.index;
        self.out.committed.clear();
        self.snapshot = snapshot.clone();
        self.read_roll();
        self.out.write.snapshot = Some(snapshot.clone());
        self.out.install = Some(snapshot);
        self.out.after.push((from, reply));
    }

    fn on_appended(&mut self, from: u64, message: Message) {
        if !self.is_leader() || message.term != self.term {
            return;
        }
        let now = self.now;
        let snapshot_index = self.snapshot.index;
        let last = self.last_index();
        let Some(p) = self.progress.get_mut(&from) else {
            return;
        };
        p.heard_at = now;
        p.round = p.round.max(message.round);
        p.applied = message.applied;
        if message.yes {
            if message.index > p.matched {
                p.matched = message.index;
            }
            p.next = p.next.max(p.matched + 1);
            if p.matched >= snapshot_index {
                p.snapshot_at = None;
            }
        } else if message.index + 1 < p.next {
            p.next = (message.index + 1).max(p.matched + 1);
        }
        let behind = p.next <= last;
        self.advance();
        self.count_rounds();
        if behind {
            self.send_to(from, false);
        }
        let has_all = self.progress.get(&from).is_some_and(|p| p.matched == last);
        if has_all && self.handing_over.is_some_and(|(to, _)| to == from) {
            self.send_take_over(from);
        }
    }

    // ---- the leader's work ----

    fn advance(&mut self) {
        if !self.is_leader() {
            return;
        }
        let mut matched: Vec<u64> = self.roll.voters.iter().map(|v| self.on_disk(v.id)).collect();
        matched.sort_unstable_by(|a, b| b.cmp(a));
        let Some(&index) = matched.get(self.roll.majority() - 1) else {
            return;
        };
        if index > self.commit && self.term_at(index) == Some(self.term) {
            self.commit = index;
            // A leader that has voted itself out stops once that is settled.
            if !self.roll.has(self.id) && self.roll_index <= self.commit {
                self.give_up_lead();
                return;
            }
            self.send_all(true);
        }
    }

    fn count_rounds(&mut self) {
        let mut answered: Vec<u64> = self
            .roll
            .voters
            .iter()
            .map(|v| {
                if v.id == self.id {
                    self.round
                } else {
                    self.progress.get(&v.id).map_or(0, |p| p.round)
                }
            })
            .collect();
        answered.sort_unstable_by(|a, b| b.cmp(a));
        let Some(&round) = answered.get(self.roll.majority() - 1) else {
            return;
        };
        while self.rounds.front().is_some_and(|(r, _)| *r <= round) {
            if let Some((_, sent)) = self.rounds.pop_front() {
                self.lease_until = self.lease_until.max(sent + self.timing.lease);
            }
        }
        if self.is_settled() {
            let out = &mut self.out.reads;
            self.reads.retain(|(token, wanted, _)| {
                let ready = *wanted <= round;
                if ready {
                    out.push((*token, true));
                }
                !ready
            });
        }
    }

    fn others(&self) -> Vec<u64> {
        self.roll
            .voters
            .iter()
            .map(|v| v.id)
            .filter(|id| *id != self.id)
            .collect()
    }

    fn send_beat(&mut self, observers: bool) {
        self.beat_at = self.now + self.timing.heartbeat;
        if observers {
            self.observer_beat_at = self.now + self.timing.observer_heartbeat;
        }
        let ids: Vec<u64> = self.progress.keys().copied().collect();
        for id in ids {
            if observers || self.roll.has(id) {
                self.send_to(id, true);
            }
        }
    }

    /// Sends what is new to everybody; `commit_only` sends the commit index to
    /// those that have everything else.
    fn send_all(&mut self, commit_only: bool) {
        let ids: Vec<u64> = self.progress.keys().copied().collect();
        for id in ids {
            self.send_to(id, commit_only);
        }
    }

    fn send_to(&mut self, to: u64, always: bool) {
        let last = self.last_index();
        let Some(p) = self.progress.get_mut(&to) else {
            return;
        };
        // What was sent long ago without an answer is sent again.
        if p.next > p.matched + 1 && self.now.saturating_sub(p.sent_at) >= self.timing.resend {
            p.next = p.matched + 1;
        }
        if p.next <= self.base.0 {
            if !p.awaits_snapshot(self.now, self.timing.snapshot_resend) {
                p.snapshot_at = Some(self.now);
                p.sent_at = self.now;
                let message = Message {
                    kind: MessageType::InstallSnapshot as i32,
                    term: self.term,
                    round: self.round,
                    snapshot: Some(self.snapshot.clone()),
                    ..Default::default()
                };
                self.out.now.push((to, message));
            } else if always {
                self.heartbeat(to);
            }
            return;
        }
        let first = p.next;
        if first > last && !always {
            return;
        }
        let entries = self.entries_from(first, last);
        if let (Some(p), false) = (self.progress.get_mut(&to), entries.is_empty()) {
            p.sent_at = self.now;
            p.next = first + entries.len() as u64;
        }
        let index = first - 1;
        let message = Message {
            kind: MessageType::AppendEntries as i32,
            term: self.term,
            index,
            log_term: self.term_at(index).unwrap_or(0),
            entries,
            commit: self.commit,
            round: self.round,
            ..Default::default()
        };
        self.out.now.push((to, message));
    }

    /// Entries of the log, as many as one message may carry.
    fn entries_from(&self, first: u64, last: u64) -> Vec<Entry> {
        let skip = (first - self.base.0 - 1) as usize;
        let mut bytes = 0;
        let mut entries = Vec::new();
        for e in self.log.iter().skip(skip).take_while(|e| e.index <= last) {
            bytes += e.data.len() + 32;
            if bytes > self.timing.append_bytes && !entries.is_empty() {
                break;
            }
            entries.push(e.clone());
        }
        entries
    }

    /// Says no more than that the leader is there, to a node that waits for a
    /// snapshot.
    fn heartbeat(&mut self, to: u64) {
        let index = self.last_index();
        let message = Message {
            kind: MessageType::AppendEntries as i32,
            term: self.term,
            index,
            log_term: self.term_at(index).unwrap_or(0),
            commit: self.commit,
            round: self.round,
            ..Default::default()
        };
        self.out.now.push((to, message));
    }

    // ---- the log ----

    fn term_at(&self, index: u64) -> Option<u64> {
        if index == self.base.0 {
            return Some(self.base.1);
        }
        let offset = index.checked_sub(self.base.0 + 1)?;
        self.log.get(offset as usize).map(|e| e.term)
    }

    fn push(&mut self, entry: Entry) {
        if entry.kind == EntryType::Membership as i32 {
            if let Ok(roll) = Membership::decode(entry.data.as_slice()) {
                self.adopt_roll(roll, entry.index);
            }
        }
        self.out.write.entries.push(entry.clone());
        self.log_bytes += entry.data.len();
        self.log.push_back(entry);
    }

    fn cut(&mut self, from: u64) {
        let kept = from.saturating_sub(self.base.0 + 1) as usize;
        for e in self.log.drain(kept.min(self.log.len())..) {
            self.log_bytes -= e.data.len();
        }
        self.out.write.entries.retain(|e| e.index < from);
        let cut = self.out.write.cut_from.map_or(from, |c| c.min(from));
        self.out.write.cut_from = Some(cut);
        self.stable = self.stable.min(from - 1);
        if self.roll_index >= from {
            self.read_roll();
        }
    }

    fn adopt_roll(&mut self, roll: Membership, index: u64) {
        self.roll = roll;
        self.roll_index = index;
        self.roll_since = self.now;
        if self.is_leader() {
            let next = self.last_index() + 1;
            let now = self.now;
            for id in self.others() {
                self.progress.entry(id).or_insert(Progress {
                    next,
                    heard_at: now,
                    ..Default::default()
                });
            }
        }
    }

    /// Reads the roll off the snapshot and the log.
    fn read_roll(&mut self) {
        let (roll, index) = self.roll_before(u64::MAX);
        self.roll = roll;
        self.roll_index = index;
    }

    fn roll_at(&self, index: u64) -> Membership {
        self.roll_before(index).0
    }

    fn roll_before(&self, index: u64) -> (Membership, u64) {
        self.log
            .iter()
            .rev()
            .filter(|e| e.index <= index && e.kind == EntryType::Membership as i32)
            .find_map(|e| Membership::decode(e.data.as_slice()).ok().map(|r| (r, e.index)))
            .unwrap_or_else(|| {
                (
                    self.snapshot.roll.clone().unwrap_or_default(),
                    self.snapshot.index,
                )
            })
    }

    fn note_hard(&mut self) {
        self.out.write.hard = Some((self.term, self.vote));
    }
}
