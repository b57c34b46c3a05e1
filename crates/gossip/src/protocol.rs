//! The membership from the point of view of one node.

mod dissemination;
mod probing;

use crate::message::{Member, MemberState, Message, MessageType};
use probing::{Probe, RelayedProbe};
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;

/// Times and sizes of the protocol. Times are in milliseconds on the node's monotonic clock.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Interval between two probes, in milliseconds.
    pub probe_interval_ms: u64,
    /// Time without an ack after which other nodes are asked for indirect probes, in milliseconds.
    pub probe_timeout_ms: u64,
    /// Time from the first ping without an ack after which the target is suspected, in
    /// milliseconds.
    pub suspect_after_ms: u64,
    /// Number of nodes that are asked for an indirect probe.
    pub indirect_probes: usize,
    /// Time after which a suspect that has not refuted is removed, in milliseconds.
    pub suspicion_timeout_ms: u64,
    /// Time after which the entry of a removed node is dropped, in milliseconds.
    pub dead_retention_ms: u64,
    /// Minimum number of times that each node sends an update.
    pub retransmits: u32,
    /// Maximum number of entries in one message.
    pub message_members: usize,
    /// Interval between messages to the seeds while no other node is known, in milliseconds.
    pub join_interval_ms: u64,
    /// Interval between messages to a seed or removed node once other nodes are known, in
    /// milliseconds.
    pub rejoin_interval_ms: u64,
    /// Minimum time between two exchanges of the full table, in milliseconds.
    pub exchange_interval_ms: u64,
}

/// A message with its receiver.
#[derive(Clone, Debug, PartialEq)]
pub struct Envelope {
    /// Address of the receiver.
    pub to: String,
    /// The message.
    pub message: Message,
}

struct Entry {
    member: Member,
    since: u64,
    /// Number of times that this entry may still be sent as an update.
    retransmits: u32,
}

/// The membership from the point of view of one node.
pub struct MembershipProtocol {
    own: Member,
    seeds: Vec<String>,
    config: Config,
    rng: SmallRng,
    others: BTreeMap<String, Entry>,
    /// Addresses to probe, in order from the end. Refilled in random order when it is empty.
    probe_order: Vec<String>,
    probes: Vec<Probe>,
    /// Probes made on behalf of other nodes, by this node's sequence number.
    relayed_probes: BTreeMap<u64, RelayedProbe>,
    /// Sequence number of the newest probe. Each process starts at a random number, so that an ack
    /// for a probe of an earlier process does not match a probe of this one.
    sequence: u64,
    unmatched_acks: u64,
    next_probe: u64,
    next_join: u64,
    own_retransmits: u32,
    /// Number of consecutive acks from nodes that know something different.
    differing_acks: u32,
    next_exchange: u64,
    changed: bool,
    outgoing: Vec<Envelope>,
    /// Smoothed round-trip times of direct probes by address, in milliseconds.
    round_trips: BTreeMap<String, f64>,
}

impl MembershipProtocol {
    /// Creates the state of a node that has just started. `now` is the time in milliseconds, and
    /// `seeds` are the addresses of the seed nodes.
    pub fn new(
        own: Member,
        seeds: Vec<String>,
        config: Config,
        now: u64,
        random_seed: u64,
    ) -> MembershipProtocol {
        let mut rng = SmallRng::seed_from_u64(random_seed);
        let sequence = u64::from(rng.gen::<u32>());
        MembershipProtocol {
            seeds: seeds.into_iter().filter(|s| *s != own.address).collect(),
            own,
            config,
            rng,
            others: BTreeMap::new(),
            probe_order: Vec::new(),
            probes: Vec::new(),
            relayed_probes: BTreeMap::new(),
            sequence,
            unmatched_acks: 0,
            next_probe: now,
            next_join: now,
            own_retransmits: config.retransmits,
            differing_acks: 0,
            next_exchange: now,
            changed: true,
            outgoing: Vec::new(),
            round_trips: BTreeMap::new(),
        }
    }

    /// Returns this node's entry as known to others.
    pub fn own_member(&self) -> &Member {
        &self.own
    }

    /// Returns all other nodes that are not removed.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        let others = self.others.values().map(|e| &e.member);
        others.filter(|m| m.state() != MemberState::Dead)
    }

    /// Returns all other nodes that are neither suspected nor removed.
    pub fn alive_members(&self) -> impl Iterator<Item = &Member> {
        self.others.values().map(|e| &e.member).filter(|m| m.is_alive())
    }

    /// Returns the entry of a node by its address.
    pub fn get(&self, address: &str) -> Option<&Member> {
        self.others.get(address).map(|e| &e.member)
    }

    /// Returns the smoothed round-trip time to a node in milliseconds, if it was measured.
    pub fn round_trip(&self, address: &str) -> Option<f64> {
        self.round_trips.get(address).copied()
    }

    /// Returns the number of acks that matched no pending probe of this process and of the sending
    /// node.
    pub fn unmatched_acks(&self) -> u64 {
        self.unmatched_acks
    }

    /// Returns whether the membership has changed since the last
    /// [`MembershipProtocol::take_changed`].
    pub fn has_changed(&self) -> bool {
        self.changed
    }

    /// Returns whether the membership has changed since the last call.
    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// Returns and removes the messages to send.
    pub fn take_outgoing(&mut self) -> Vec<Envelope> {
        std::mem::take(&mut self.outgoing)
    }

    /// Changes this node's own entry and tells some other nodes at once.
    pub fn update_own(&mut self, change: impl FnOnce(&mut Member)) {
        let before = self.own.clone();
        change(&mut self.own);
        if self.own == before {
            return;
        }
        self.own.incarnation += 1;
        self.own_retransmits = self.retransmits();
        self.changed = true;
        // The update is sent at once, since a node that shuts down must be left out of responses
        // before it ends.
        let targets: Vec<String> = self.alive_members().map(|m| m.address.clone()).collect();
        let chosen = targets.choose_multiple(&mut self.rng, self.config.indirect_probes);
        let chosen: Vec<String> = chosen.cloned().collect();
        for to in chosen {
            self.introduce(&to);
        }
    }

    /// Advances the time to `now`, in milliseconds.
    pub fn tick(&mut self, now: u64) {
        self.check_probes(now);
        self.expire(now);
        if now >= self.next_join {
            self.join(now);
        }
        if now >= self.next_probe {
            self.next_probe = now + self.config.probe_interval_ms;
            self.probe_next_member(now);
        }
    }

    /// Returns the time of the next tick, in milliseconds. With hundreds of nodes, each needless
    /// wake-up of one node means hundreds of them.
    pub fn next_tick_at(&self) -> u64 {
        let deadlines = self.probes.iter().map(|p| p.next_deadline(&self.config));
        let next_deadline = deadlines.min().unwrap_or(u64::MAX);
        self.next_probe.min(self.next_join).min(next_deadline)
    }

    /// Handles a message from the node with the address `from`.
    pub fn receive(&mut self, now: u64, from: &str, message: Message) {
        let Ok(message_type) = MessageType::try_from(message.message_type) else {
            return;
        };
        if message_type == MessageType::Update {
            self.report_dead(from, &message.members);
        }
        for member in message.members {
            self.learn(now, member);
        }
        match message_type {
            MessageType::Ping => self.send(from, MessageType::Ack, message.sequence, String::new()),
            MessageType::Ack => {
                self.compare_digest(now, from, message.digest);
                self.handle_ack(now, from, message.sequence);
            }
            MessageType::PingRequest => self.relay_probe(now, from, message.sequence, message.target),
            MessageType::Join => self.send_missing(from, &message.known, MessageType::Join),
            MessageType::Exchange => self.send_missing(from, &message.known, MessageType::Exchange),
            MessageType::Introduce => self.introduce(from),
            MessageType::Update => {}
        }
        let asks = matches!(message_type, MessageType::Join | MessageType::Introduce);
        if !self.is_alive(from) && !asks {
            // The sender knows this node, but this node does not know the sender or takes it for
            // suspected or removed. After a restart of the seeds no other node would introduce the
            // sender.
            self.send(from, MessageType::Introduce, 0, String::new());
        }
    }

    fn is_alive(&self, address: &str) -> bool {
        self.others.get(address).is_some_and(|e| e.member.is_alive())
    }

    /// Contacts seeds and nodes that are not alive: all seeds while no other node is alive,
    /// otherwise one of them, so that a split membership merges again.
    fn join(&mut self, now: u64) {
        let is_alone = self.alive_members().next().is_none();
        let pause = if is_alone {
            self.config.join_interval_ms
        } else {
            self.config.rejoin_interval_ms
        };
        self.next_join = now + pause;
        let removed = self.others.values().filter(|e| !e.member.is_alive());
        let removed = removed.map(|e| e.member.address.clone());
        let candidates = self.seeds.iter().cloned().chain(removed);
        let mut targets: Vec<String> = candidates.filter(|a| !self.is_alive(a)).collect();
        targets.shuffle(&mut self.rng);
        targets.truncate(if is_alone { targets.len() } else { 1 });
        for (i, to) in targets.into_iter().enumerate() {
            // One full table is enough: hundreds of nodes may start at the same time over slow
            // links.
            let message_type = if i == 0 || self.own.has_disk {
                MessageType::Join
            } else {
                MessageType::Introduce
            };
            self.send(&to, message_type, 0, String::new());
        }
    }
}
