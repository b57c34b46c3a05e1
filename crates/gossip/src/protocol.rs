//! The membership as one node sees it.

mod dissemination;
mod probing;

use crate::message::{Member, MemberState, Message, MessageType};
use probing::{Probe, RelayedProbe};
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;

/// The times and sizes of the protocol. All times are ms on the node's monotonic clock.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Pause between two probes, ms.
    pub probe_interval_ms: u64,
    /// Wait for an ack before others are asked to probe, ms.
    pub probe_timeout_ms: u64,
    /// Wait from the first ping until the target is suspected, ms.
    pub suspect_after_ms: u64,
    /// Nodes that are asked for an indirect probe.
    pub indirect_probes: usize,
    /// A suspect that has not refuted for so long is removed, ms.
    pub suspicion_timeout_ms: u64,
    /// A removed node is forgotten after this time, ms.
    pub dead_retention_ms: u64,
    /// How often each node passes an update on, at least.
    pub retransmits: u32,
    /// Most members in one message.
    pub message_members: usize,
    /// Pause between calls to the seeds while no other node is known, ms.
    pub join_interval_ms: u64,
    /// Pause between calls to a seed or a removed node later on, ms.
    pub rejoin_interval_ms: u64,
    /// Least pause between two exchanges of everything that is known, ms.
    pub exchange_interval_ms: u64,
}

/// A message and the address of its receiver.
#[derive(Clone, Debug, PartialEq)]
pub struct Envelope {
    /// Where it goes.
    pub to: String,
    /// What is said.
    pub message: Message,
}

struct Entry {
    member: Member,
    since: u64,
    /// How often the update of this entry may still be passed on.
    retransmits: u32,
}

/// Who is there, as one node sees it.
pub struct MembershipProtocol {
    own: Member,
    seeds: Vec<String>,
    config: Config,
    rng: SmallRng,
    others: BTreeMap<String, Entry>,
    /// Who is probed next, from the end; drawn anew when all have been.
    probe_order: Vec<String>,
    probes: Vec<Probe>,
    /// Probes made for other nodes, by our sequence number.
    relayed_probes: BTreeMap<u64, RelayedProbe>,
    /// The number of the newest probe. Each process counts from a number drawn at random, so
    /// that an ack to the one before is none to this one.
    sequence: u64,
    unmatched_acks: u64,
    next_probe: u64,
    next_join: u64,
    own_retransmits: u32,
    /// Acks in a row from nodes that know something else.
    differing_acks: u32,
    next_exchange: u64,
    changed: bool,
    outgoing: Vec<Envelope>,
    /// Round trips of direct probes by address, smoothed, ms.
    round_trips: BTreeMap<String, f64>,
}

impl MembershipProtocol {
    /// A node that has just started, at `now` ms, and knows the addresses of some seeds.
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

    /// This node as it is known to others.
    pub fn own(&self) -> &Member {
        &self.own
    }

    /// All other nodes that are not removed.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        let others = self.others.values().map(|e| &e.member);
        others.filter(|m| m.state() != MemberState::Dead)
    }

    /// All other nodes that are not even suspected.
    pub fn alive(&self) -> impl Iterator<Item = &Member> {
        self.others.values().map(|e| &e.member).filter(|m| m.is_alive())
    }

    /// What is known of a node, by its address.
    pub fn get(&self, address: &str) -> Option<&Member> {
        self.others.get(address).map(|e| &e.member)
    }

    /// Smoothed round trip to a node, if it was ever measured, ms.
    pub fn round_trip(&self, address: &str) -> Option<f64> {
        self.round_trips.get(address).copied()
    }

    /// Acks that belonged to no pending probe of this process and of that node.
    pub fn unmatched_acks(&self) -> u64 {
        self.unmatched_acks
    }

    /// Whether anything was learned since the last [`MembershipProtocol::take_changed`].
    pub fn has_changed(&self) -> bool {
        self.changed
    }

    /// Whether anything was learned since the last call.
    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// The messages to send.
    pub fn take_outgoing(&mut self) -> Vec<Envelope> {
        std::mem::take(&mut self.outgoing)
    }

    /// Changes what this node says of itself; others are told.
    pub fn update_own(&mut self, change: impl FnOnce(&mut Member)) {
        let before = self.own.clone();
        change(&mut self.own);
        if self.own == before {
            return;
        }
        self.own.incarnation += 1;
        self.own_retransmits = self.retransmits();
        self.changed = true;
        // This matters at once: a node that shuts down is to be left out of answers before it
        // ends.
        let targets: Vec<String> = self.alive().map(|m| m.address.clone()).collect();
        let chosen = targets.choose_multiple(&mut self.rng, self.config.indirect_probes);
        let chosen: Vec<String> = chosen.cloned().collect();
        for to in chosen {
            self.introduce(&to);
        }
    }

    /// The time has come to `now` ms.
    pub fn tick(&mut self, now: u64) {
        self.watch_probes(now);
        self.expire(now);
        if now >= self.next_join {
            self.join(now);
        }
        if now >= self.next_probe {
            self.next_probe = now + self.config.probe_interval_ms;
            self.probe_next(now);
        }
    }

    /// When the next tick is due, ms: among hundreds of nodes each needless waking of one is
    /// hundreds.
    pub fn next_tick_at(&self) -> u64 {
        let deadlines = self.probes.iter().map(|p| p.next_deadline(&self.config));
        let next_deadline = deadlines.min().unwrap_or(u64::MAX);
        self.next_probe.min(self.next_join).min(next_deadline)
    }

    /// Takes a message from an address in.
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
            // It knows us and we do not know it, or take it for gone: after a restart of the
            // seeds nobody else would introduce it.
            self.send(from, MessageType::Introduce, 0, String::new());
        }
    }

    fn is_alive(&self, address: &str) -> bool {
        self.others.get(address).is_some_and(|e| e.member.is_alive())
    }

    /// Calls seeds and removed nodes: all seeds while alone, later one that is not alive for
    /// us, so that a membership that was split grows together again.
    fn join(&mut self, now: u64) {
        let is_alone = self.alive().next().is_none();
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
            // A table from one is enough: there may be hundreds that start together, over
            // narrow links.
            let message_type = if i == 0 || self.own.has_disk {
                MessageType::Join
            } else {
                MessageType::Introduce
            };
            self.send(&to, message_type, 0, String::new());
        }
    }
}
