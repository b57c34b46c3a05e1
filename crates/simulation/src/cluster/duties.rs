//! The duties of nodes besides Raft: learners select their upstream, the leader maintains the
//! membership, the list of workers and the ownership of keys.

use super::network::{Caller, InFlight, WORKER_CALL_MS};
use super::{voter_of, Cluster, TOLERANCE};
use crate::node::{Node, Process};
use config::{constants as c, timing};
use key_ownership::Action;
use protocol::{Change, ChangeKind, KeyLeaseChange, Worker, WorkersChange};
use raft::{next_membership, PeerObservation, UpstreamCandidate};
use rand::rngs::SmallRng;
use rand::Rng;
use std::collections::BTreeSet;

/// Time between two subscriptions of a learner to its upstream, ms.
const SUBSCRIPTION_INTERVAL_MS: u64 = 200;

impl Cluster {
    /// Lets nodes without a disk select their upstream.
    pub(super) fn select_upstreams(&mut self) {
        let now = self.now;
        let with_disk = self
            .nodes
            .values()
            .filter(|n| n.disk.is_some() && n.process.is_some());
        let voters: Vec<(u64, String)> = with_disk.map(|n| (n.id(), n.region.clone())).collect();
        let frozen = &self.frozen;
        let is_running_learner = |n: &&mut Node| n.disk.is_none() && !frozen.contains(&n.name);
        for node in self.nodes.values_mut().filter(is_running_learner) {
            let Some(process) = &mut node.process else {
                continue;
            };
            let candidate = |(id, region): &(u64, String)| UpstreamCandidate {
                id: *id,
                same_zone: false,
                same_region: *region == node.region,
            };
            let candidates: Vec<UpstreamCandidate> = voters.iter().map(candidate).collect();
            let (own_id, upstream) = (process.raft.id(), process.raft.upstream());
            let selector = &mut process.upstream_selector;
            if let Some(chosen) = selector.select(now, own_id, upstream, &candidates, timing::UPSTREAM) {
                process.raft.subscribe(now, chosen);
            } else if now % SUBSCRIPTION_INTERVAL_MS == 1 {
                process.raft.repeat_subscription();
            }
        }
    }

    /// Lets the leader maintain the membership, and the node with the lease perform its other
    /// duties.
    pub(super) fn perform_leader_duties(&mut self) {
        let now = self.now;
        let observe = |node: &Node| PeerObservation {
            voter: voter_of(node),
            has_disk: node.disk.is_some(),
            is_alive: true,
        };
        let running = self.nodes.values().filter(|n| n.process.is_some());
        let peers: Vec<PeerObservation> = running.map(observe).collect();
        let listed: Vec<Worker> = self.workers.values().map(|w| w.listed.clone()).collect();
        let mut calls = Vec::new();
        for node in self.nodes.values_mut() {
            let Some(process) = &mut node.process else {
                continue;
            };
            if self.frozen.contains(&node.name) {
                continue;
            }
            if !process.raft.is_leader() {
                process.ownership_since = None;
                continue;
            }
            process.maintain_membership(now, &peers);
            // A duty that reads the control state waits until all committed entries are applied.
            let is_behind = process.state.index < process.raft.commit_index();
            if is_behind || !process.raft.holds_lease(now) || process.state.configuration.is_none() {
                continue;
            }
            process.update_workers(now, &listed);
            for action in process.next_key_actions(now) {
                let caller = Caller {
                    node: node.name.clone(),
                    started: process.started,
                };
                match action {
                    Action::Log(put) => {
                        let change = ChangeKind::KeyLeases(KeyLeaseChange { put });
                        process.raft.propose(Change::encode(change));
                    }
                    Action::Grant(call) => {
                        calls.extend(grant(now, caller, call, self.lag_ms, &mut self.rng));
                    }
                    Action::Release(call) => {
                        calls.push((now + WORKER_CALL_MS, InFlight::Release { caller, call }));
                    }
                }
            }
        }
        self.in_flight.extend(calls);
    }
}

/// Returns a grant in flight and, if its answer would arrive too late, the time-out of its caller.
fn grant(
    now: u64,
    caller: Caller,
    call: key_ownership::GrantCall,
    lag_ms: u64,
    rng: &mut SmallRng,
) -> Vec<(u64, InFlight)> {
    let transit_ms = WORKER_CALL_MS + rng.gen_range(0..=lag_ms);
    let is_late = transit_ms + WORKER_CALL_MS > c::GRANT_TIMEOUT_MS;
    let mut in_flight = Vec::new();
    if is_late {
        let timeout = InFlight::GrantAnswer {
            caller: caller.clone(),
            call: call.clone(),
            result: key_ownership::GrantResult::Unknown,
        };
        in_flight.push((now + c::GRANT_TIMEOUT_MS, timeout));
    }
    let grant = InFlight::Grant {
        caller,
        call,
        sent: now,
        is_late,
    };
    in_flight.push((now + transit_ms, grant));
    in_flight
}

impl Process {
    fn maintain_membership(&mut self, now: u64, peers: &[PeerObservation]) {
        let own_id = self.raft.id();
        let others = peers.iter().filter(|p| p.voter.id != own_id);
        let learners: BTreeSet<u64> = others
            .clone()
            .filter(|p| p.has_disk)
            .map(|p| p.voter.id)
            .collect();
        self.raft.set_learners(&learners);
        let others: Vec<PeerObservation> = others.cloned().collect();
        if let Some(membership) = next_membership(&self.raft, now, &others, TOLERANCE, timing::VOTER_SILENCE)
        {
            self.raft.propose_membership(&membership);
        }
    }

    /// Logs the differences between the platform's list of workers and the control state.
    fn update_workers(&mut self, now: u64, listed: &[Worker]) {
        if now < self.next_poll {
            return;
        }
        self.next_poll = now + c::LIST_INTERVAL_MS;
        let known = &self.state.workers;
        let is_listed = |id: &str| listed.iter().any(|w| w.id == id);
        let removed: Vec<String> = known.keys().filter(|id| !is_listed(id)).cloned().collect();
        let is_known = |w: &Worker| known.get(&w.id).is_some_and(|k| k.draining == w.draining);
        let put: Vec<Worker> = listed.iter().filter(|w| !is_known(w)).cloned().collect();
        if !put.is_empty() || !removed.is_empty() {
            let change = ChangeKind::Workers(WorkersChange {
                put,
                removed,
                ..Default::default()
            });
            self.raft.propose(Change::encode(change));
        }
    }

    fn next_key_actions(&mut self, now: u64) -> Vec<Action> {
        let leader_since = self.raft.leader_since();
        if self.ownership_since != Some(leader_since) {
            self.ownership_since = Some(leader_since);
            self.ownership.begin(now, &self.state);
        }
        // A change of key leases counts as logged once it is applied. There is one at a time.
        if self.raft.last_index() <= self.state.index {
            self.ownership.on_logged();
        }
        self.ownership.tick(now, &self.state)
    }
}
