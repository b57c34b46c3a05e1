//! Failure detection: pings, indirect pings, suspicion and removal.

use super::{Config, MembershipProtocol};
use crate::message::{Member, MemberState, MessageType};
use rand::seq::SliceRandom;

/// Maximum number of pending probes, so that the nodes of a lost region need not be detected one
/// after the other.
const MAX_PROBES: usize = 4;
/// Time after which a probe made on behalf of another node is dropped, in milliseconds.
const RELAYED_PROBE_MS: u64 = 2000;
/// Weight of the newest round-trip time in the smoothed one.
const ROUND_TRIP_SMOOTHING: f64 = 0.3;

/// A pending probe.
pub(super) struct Probe {
    target: String,
    sequence: u64,
    sent_at: u64,
    is_indirect: bool,
    /// Nodes that were asked for an indirect ping.
    helpers: Vec<String>,
}

impl Probe {
    pub(super) fn next_deadline(&self, config: &Config) -> u64 {
        let wait = if self.is_indirect {
            config.suspect_after_ms
        } else {
            config.probe_timeout_ms
        };
        self.sent_at + wait
    }
}

/// A probe made on behalf of another node.
pub(super) struct RelayedProbe {
    requester: String,
    /// The requester's sequence number of the probe.
    sequence: u64,
    target: String,
    sent_at: u64,
}

impl MembershipProtocol {
    /// Pings the next node in random order.
    pub(super) fn probe_next_member(&mut self, now: u64) {
        if self.probes.len() >= MAX_PROBES {
            return;
        }
        while let Some(target) = self.probe_order.pop() {
            let known = self.get(&target);
            if known.is_some_and(|m| m.state() != MemberState::Dead) {
                self.sequence += 1;
                self.probes.push(Probe {
                    target: target.clone(),
                    sequence: self.sequence,
                    sent_at: now,
                    is_indirect: false,
                    helpers: Vec::new(),
                });
                self.send(&target, MessageType::Ping, self.sequence, String::new());
                return;
            }
        }
        self.probe_order = self.members().map(|m| m.address.clone()).collect();
        self.probe_order.shuffle(&mut self.rng);
    }

    /// Asks other nodes for indirect pings where an ack is late, and suspects nodes whose ack has
    /// not arrived in time.
    pub(super) fn check_probes(&mut self, now: u64) {
        let config = self.config;
        let mut failed = Vec::new();
        let mut unacknowledged = Vec::new();
        self.probes.retain_mut(|probe| {
            let elapsed_ms = now.saturating_sub(probe.sent_at);
            if elapsed_ms >= config.suspect_after_ms {
                failed.push(probe.target.clone());
            } else if elapsed_ms >= config.probe_timeout_ms && !probe.is_indirect {
                probe.is_indirect = true;
                unacknowledged.push((probe.target.clone(), probe.sequence));
            }
            elapsed_ms < config.suspect_after_ms
        });
        for target in failed {
            self.suspect(now, &target);
        }
        for (target, sequence) in unacknowledged {
            // Other nodes may be unresponsive as well, so the next one is probed at once.
            self.next_probe = now;
            self.request_pings(&target, sequence);
        }
    }

    fn suspect(&mut self, now: u64, target: &str) {
        if let Some(member) = self.get(target).filter(|m| m.is_alive()) {
            let suspect = Member {
                state: MemberState::Suspect as i32,
                ..member.clone()
            };
            self.learn(now, suspect);
        }
    }

    fn request_pings(&mut self, target: &str, sequence: u64) {
        let others = self.alive_members().map(|m| m.address.clone());
        let others: Vec<String> = others.filter(|a| a != target).collect();
        let helpers = others.choose_multiple(&mut self.rng, self.config.indirect_probes);
        let helpers: Vec<String> = helpers.cloned().collect();
        if let Some(probe) = self.probes.iter_mut().find(|p| p.sequence == sequence) {
            probe.helpers.clone_from(&helpers);
        }
        for helper in helpers {
            self.send(&helper, MessageType::PingRequest, sequence, target.to_string());
        }
    }

    /// Pings a node on behalf of another one.
    pub(super) fn relay_probe(&mut self, now: u64, requester: &str, sequence: u64, target: String) {
        self.sequence += 1;
        let probe = RelayedProbe {
            requester: requester.to_string(),
            sequence,
            target: target.clone(),
            sent_at: now,
        };
        self.relayed_probes.insert(self.sequence, probe);
        self.send(&target, MessageType::Ping, self.sequence, String::new());
    }

    /// Handles an ack. It completes the probe with its sequence number if it comes from the probed
    /// node, or from a node that was asked for an indirect ping.
    pub(super) fn handle_ack(&mut self, now: u64, from: &str, sequence: u64) {
        if self
            .relayed_probes
            .get(&sequence)
            .is_some_and(|p| p.target == from)
        {
            if let Some(probe) = self.relayed_probes.remove(&sequence) {
                self.send(&probe.requester, MessageType::Ack, probe.sequence, String::new());
            }
            return;
        }
        let is_expected_sender = |p: &Probe| p.target == from || p.helpers.iter().any(|h| h == from);
        let matching = |p: &Probe| p.sequence == sequence && is_expected_sender(p);
        let Some(position) = self.probes.iter().position(matching) else {
            self.unmatched_acks += 1;
            return;
        };
        let probe = self.probes.swap_remove(position);
        if !probe.is_indirect {
            let ms = now.saturating_sub(probe.sent_at) as f64;
            let smoothed = self.round_trips.entry(probe.target).or_insert(ms);
            *smoothed = *smoothed * (1.0 - ROUND_TRIP_SMOOTHING) + ms * ROUND_TRIP_SMOOTHING;
        }
    }

    /// Removes suspects whose suspicion timeout has passed, and drops removed nodes whose retention
    /// time has passed.
    pub(super) fn expire(&mut self, now: u64) {
        let timeout = self.config.suspicion_timeout_ms;
        let suspects = self
            .others
            .values()
            .filter(|e| e.member.state() == MemberState::Suspect && now.saturating_sub(e.since) >= timeout);
        let expired: Vec<Member> = suspects.map(|e| e.member.clone()).collect();
        for member in expired {
            let dead = Member {
                state: MemberState::Dead as i32,
                ..member
            };
            self.learn(now, dead);
        }
        let retention = self.config.dead_retention_ms;
        self.others
            .retain(|_, e| e.member.state() != MemberState::Dead || now.saturating_sub(e.since) < retention);
        self.relayed_probes
            .retain(|_, p| now.saturating_sub(p.sent_at) < RELAYED_PROBE_MS);
    }
}
