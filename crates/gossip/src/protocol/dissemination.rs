//! Dissemination: updates piggybacked on other messages, and exchanges of full tables where updates
//! were not enough.

use super::{Entry, Envelope, MembershipProtocol};
use crate::message::{Member, MemberState, Message, MessageType};
use rand::seq::SliceRandom;
use rand::Rng;
use std::cmp::Reverse;
use std::collections::BTreeSet;

/// Number of consecutive acks with a different digest after which tables are exchanged.
const DIFFERING_ACKS: u32 = 2;

impl MembershipProtocol {
    /// Returns how many times an update is sent. The number grows with the number of nodes, since
    /// otherwise an update would stop spreading before it has reached all of them.
    pub(super) fn retransmits(&self) -> u32 {
        let nodes = self.others.len() as u32 + 2;
        self.config.retransmits.max(2 * nodes.ilog2())
    }

    /// Returns the fingerprints of all known nodes that are not removed, including this one.
    fn fingerprints(&self) -> impl Iterator<Item = u64> + '_ {
        std::iter::once(&self.own)
            .chain(self.members())
            .map(Member::fingerprint)
    }

    /// Returns a number that is equal on nodes that know the same.
    fn digest(&self) -> u64 {
        self.fingerprints().fold(0, u64::wrapping_add)
    }

    /// Compares the sender's digest with this node's. After two differing acks in a row, this node
    /// exchanges tables with a node of its own region, or with the sender if it knows none. Updates
    /// that stopped spreading, or are too many for the probes, arrive in this way, without traffic
    /// between regions.
    pub(super) fn compare_digest(&mut self, now: u64, from: &str, theirs: u64) {
        if theirs == self.digest() {
            self.differing_acks = 0;
            return;
        }
        self.differing_acks += 1;
        if self.differing_acks < DIFFERING_ACKS || now < self.next_exchange {
            return;
        }
        self.differing_acks = 0;
        self.next_exchange = now + self.config.exchange_interval_ms;
        let near = self.alive_members().filter(|m| m.region == self.own.region);
        let near: Vec<String> = near.map(|m| m.address.clone()).collect();
        let partner = near.choose(&mut self.rng).cloned();
        let partner = partner.unwrap_or_else(|| from.to_string());
        self.send(&partner, MessageType::Join, 0, String::new());
    }

    /// Tells a node about removed nodes that it takes for not removed, since removed nodes are in
    /// none of the compared tables.
    pub(super) fn report_dead(&mut self, to: &str, members: &[Member]) {
        let known_dead = |m: &Member| self.get(&m.address).filter(|known| known.ends(m));
        let dead: Vec<Member> = members.iter().filter_map(known_dead).cloned().collect();
        self.send_updates(to, &dead);
    }

    /// Sends this node's own entry to a node.
    pub(super) fn introduce(&mut self, to: &str) {
        let own = self.own.clone();
        self.send_updates(to, std::slice::from_ref(&own));
    }

    /// Sends a node the entries that it does not know. If the node asked with `Join` and may know
    /// more, asks back once.
    pub(super) fn send_missing(&mut self, to: &str, known: &[u64], asked_by: MessageType) {
        let known: BTreeSet<u64> = known.iter().copied().collect();
        let own: BTreeSet<u64> = self.fingerprints().collect();
        let all = std::iter::once(&self.own).chain(self.members());
        let missing = all.filter(|m| !known.contains(&m.fingerprint()));
        let missing: Vec<Member> = missing.cloned().collect();
        self.send_updates(to, &missing);
        if asked_by == MessageType::Join && known.difference(&own).next().is_some() {
            self.send(to, MessageType::Exchange, 0, String::new());
        }
    }

    fn send_updates(&mut self, to: &str, members: &[Member]) {
        for part in members.chunks(self.config.message_members) {
            let message = Message {
                message_type: MessageType::Update as i32,
                members: part.to_vec(),
                ..Default::default()
            };
            self.outgoing.push(Envelope {
                to: to.to_string(),
                message,
            });
        }
    }

    /// Takes in an update about a node, if it is newer than what is known.
    pub(super) fn learn(&mut self, now: u64, update: Member) {
        if update.address.is_empty() {
            return;
        }
        if update.address == self.own.address {
            self.refute(&update);
            return;
        }
        let is_newer = match self.get(&update.address) {
            Some(known) => (update.incarnation, update.state()) > (known.incarnation, known.state()),
            None => update.state() != MemberState::Dead,
        };
        if !is_newer {
            return;
        }
        if !self.others.contains_key(&update.address) {
            let at = self.rng.gen_range(0..=self.probe_order.len());
            self.probe_order.insert(at, update.address.clone());
        }
        self.changed = true;
        let entry = Entry {
            since: now,
            retransmits: self.retransmits(),
            member: update,
        };
        self.others.insert(entry.member.address.clone(), entry);
    }

    /// Refutes a wrong update about this node by raising the incarnation above it.
    fn refute(&mut self, update: &Member) {
        let is_wrong = update.state() != MemberState::Alive || update.id != self.own.id;
        let is_later = update.incarnation > self.own.incarnation;
        if is_later || update.incarnation == self.own.incarnation && is_wrong {
            self.own.incarnation = update.incarnation + 1;
            self.own_retransmits = self.retransmits();
        }
    }

    /// Queues a message with piggybacked updates.
    pub(super) fn send(&mut self, to: &str, message_type: MessageType, sequence: u64, target: String) {
        let members = self.updates_for(to);
        let digest = match message_type {
            MessageType::Ack => self.digest(),
            _ => 0,
        };
        let known = match message_type {
            MessageType::Join | MessageType::Exchange => self.fingerprints().collect(),
            _ => Vec::new(),
        };
        let message = Message {
            message_type: message_type as i32,
            sequence,
            target,
            members,
            digest,
            known,
        };
        self.outgoing.push(Envelope {
            to: to.to_string(),
            message,
        });
    }

    /// Returns the updates to piggyback on a message: those sent least often, as many as fit.
    fn updates_for(&mut self, to: &str) -> Vec<Member> {
        let mut members = Vec::new();
        // A node that does not know this node, or has a wrong entry of it, gets this node's entry
        // first.
        if self.own_retransmits > 0 || !self.is_alive(to) {
            self.own_retransmits = self.own_retransmits.saturating_sub(1);
            members.push(self.own.clone());
        }
        let pending = self.others.iter().filter(|(_, e)| e.retransmits > 0);
        let mut ranked: Vec<(&String, u32)> = pending.map(|(a, e)| (a, e.retransmits)).collect();
        ranked.sort_by_key(|(_, retransmits)| Reverse(*retransmits));
        let first = ranked.into_iter().take(self.config.message_members - 1);
        let mut addresses: BTreeSet<String> = first.map(|(a, _)| a.clone()).collect();
        // A suspected or removed node is sent its own entry, so that it can refute.
        if self.others.contains_key(to) && !self.is_alive(to) {
            addresses.insert(to.to_string());
        }
        for address in addresses {
            if let Some(entry) = self.others.get_mut(&address) {
                entry.retransmits = entry.retransmits.saturating_sub(1);
                members.push(entry.member.clone());
            }
        }
        members
    }
}
