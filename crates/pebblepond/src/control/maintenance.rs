//! The driver's periodic work: bootstrapping a cluster, selecting an upstream, and asking peers
//! for newer copies of the state.

use super::driver::RaftDriver;
use config::{constants as c, timing};
use gossip::Member;
use protocol::{Payload, RangeDigests};
use raft::{FaultTolerance, UpstreamCandidate, Voter};
use rand::seq::SliceRandom;
use rand::Rng;

impl RaftDriver {
    /// Performs one maintenance round.
    pub(super) fn maintain(&mut self) {
        let now = self.context.now();
        self.log_contact();
        self.bootstrap();
        self.select_upstream(now);
        if self.raft.is_leader() {
            self.change_membership(now);
            self.settle_commands(now);
        } else {
            self.ask_peers_for_repair(now);
        }
        self.publish_own_member();
        self.flush();
    }

    /// Logs when this node loses contact with the majority, and when contact is restored.
    fn log_contact(&mut self) {
        let silent_ms = self.silent_ms();
        let term = self.raft.term();
        let in_contact = silent_ms < c::OUT_OF_CONTACT_MS || self.raft.membership().voters.is_empty();
        if in_contact == self.in_contact {
            return;
        }
        self.in_contact = in_contact;
        if in_contact {
            log::info!("event=in_contact term={term}");
        } else {
            log::warn!("event=out_of_contact silent_ms={silent_ms} term={term}");
        }
    }

    /// Bootstraps a new cluster, if this node is the one to do so. The first seed node in the list
    /// chooses the node: itself if it has a disk, otherwise the node with a disk and the lowest
    /// name that it knows. The chosen node bootstraps only if its own disk was empty at the
    /// initial start of the whole system and no known node belongs to a cluster yet.
    fn bootstrap(&mut self) {
        let members = self.context.members.get();
        if self.context.status.get().cluster != 0 || members.iter().any(|m| m.cluster != 0) {
            return;
        }
        let settings = self.context.settings.get();
        let first_seed = settings.seed_addresses().first().map(ToString::to_string);
        let own_address = settings.internal_address().to_string();
        let is_first_seed = first_seed.as_deref() == Some(&own_address);
        if settings.own_entity.initial_start && is_first_seed && self.appointed == 0 {
            self.appointed = self.appoint(&members);
        }
        let own_id = self.raft.id();
        let by_first_seed = |m: &Member| m.appointed == own_id && Some(&m.address) == first_seed.as_ref();
        let is_appointed = self.appointed == own_id || members.iter().any(by_first_seed);
        if self.is_new_system && is_appointed {
            let cluster = rand::thread_rng().gen_range(1..u64::MAX);
            log::info!("event=cluster_bootstrapped cluster={cluster:x}");
            self.join_cluster(cluster);
            self.raft.bootstrap(self.as_voter());
        }
    }

    /// Returns the ID of the node that the first seed node chooses; 0 while it knows none.
    fn appoint(&self, members: &[Member]) -> u64 {
        if self.is_new_system {
            return self.raft.id();
        }
        let has_waited = self.context.now() > self.started_at + 2 * c::JOIN_INTERVAL_MS;
        if self.storage.is_some() || !has_waited {
            return 0;
        }
        let candidates = members.iter().filter(|m| m.is_new_system && m.is_alive());
        candidates.min_by(|a, b| a.name.cmp(&b.name)).map_or(0, |m| m.id)
    }

    /// Returns this node as a voter.
    fn as_voter(&self) -> Voter {
        let settings = self.context.settings.get();
        Voter {
            id: self.raft.id(),
            address: settings.internal_address().to_string(),
            zone: settings.own_entity.zone.clone(),
            region: settings.own_entity.region.clone(),
        }
    }

    /// Selects the upstream of a node without a disk: a nearby voter from which it receives the
    /// log, so that the leader does not replicate to every node.
    pub(super) fn select_upstream(&mut self, now: u64) {
        if self.storage.is_some() {
            return;
        }
        let candidates = self.upstream_candidates();
        let (own_id, current) = (self.raft.id(), self.raft.upstream());
        let selected =
            self.upstream_selector
                .select(now, own_id, current, &candidates, timing::UPSTREAM_TIMEOUTS);
        if let Some(upstream) = selected {
            self.context.counters.increment("upstreams_selected");
            log::debug!(
                "event=upstream_selected upstream={upstream:x} of={}",
                candidates.len()
            );
            self.raft.subscribe(now, upstream);
        } else {
            self.raft.repeat_subscription();
        }
        let address = self.address_of(self.raft.upstream().id);
        if *self.context.upstream.get() != address {
            self.context.upstream.set(address);
        }
    }

    fn upstream_candidates(&self) -> Vec<UpstreamCandidate> {
        let settings = self.context.settings.get();
        let cluster = self.context.status.get().cluster;
        let members = self.context.members.get();
        let is_in_cluster = |m: &Member| m.cluster != 0 && (cluster == 0 || m.cluster == cluster);
        let candidates: Vec<&Member> = members
            .iter()
            .filter(|m| m.has_disk && m.id != 0 && m.is_alive() && is_in_cluster(m))
            .collect();
        // After a long network partition this node's membership may be out of date. If it contains
        // none of the candidates, all of them are kept.
        let voters = self.raft.membership();
        let any_is_voter = candidates.iter().any(|m| voters.contains(m.id));
        let candidates = candidates
            .into_iter()
            .filter(|m| voters.contains(m.id) || !any_is_voter);
        // The log may name a voter before gossip among hundreds of nodes has spread it. Without
        // such voters all learners would follow the first voter, most of them over a long
        // distance.
        let is_missing_from_gossip = |v: &&Voter| members.iter().all(|m| m.address != v.address);
        let missing_voters = voters.voters.iter().filter(is_missing_from_gossip);
        let own = &settings.own_entity;
        let candidate = |id, zone: &str, region: &str| UpstreamCandidate {
            id,
            is_same_zone: zone == own.zone,
            is_same_region: region == own.region,
        };
        candidates
            .map(|m| candidate(m.id, &m.zone, &m.region))
            .chain(missing_voters.map(|v| candidate(v.id, &v.zone, &v.region)))
            .collect()
    }

    /// Notifies the other nodes that this process is shutting down. Returns whether they can
    /// continue without it. A node that does not vote, or is the only voter, has nothing to wait for.
    pub(super) fn announce_shutdown(&mut self) -> bool {
        self.raft.announce_shutdown(self.context.now());
        self.publish_own_member();
        self.flush();
        let is_only_voter = self.raft.membership().voters.len() < 2;
        self.storage.is_none() || is_only_voter || self.raft.is_shutdown_safe()
    }

    /// Returns the simultaneous losses that the settings require the cluster to tolerate.
    pub(super) fn tolerance(&self) -> FaultTolerance {
        let tolerance = self.context.settings.get().terms.tolerance;
        FaultTolerance {
            machines: tolerance.machines,
            zones: tolerance.zones,
            regions: tolerance.regions,
        }
    }

    /// Asks peers for newer parts of the state if this node is not current some time after its
    /// start: serving from a peer's copy is better than not serving.
    fn ask_peers_for_repair(&mut self, now: u64) {
        if self.context.status.get().is_current
            || now < self.started_at + c::PEER_REPAIR_DELAY_MS
            || now < self.asked_peers_at + c::CONTACT_TIMEOUT_MS
        {
            return;
        }
        self.asked_peers_at = now;
        let members = self.context.members.get();
        let own_id = self.raft.id();
        let settings = self.context.settings.get();
        let candidates = members
            .iter()
            .filter(|m| m.id != own_id && m.is_ready && m.is_alive());
        let (near, far): (Vec<_>, Vec<_>) = candidates.partition(|m| m.zone == settings.own_entity.zone);
        // After an outage all nodes ask at the same time; random choice spreads the load over the
        // peers.
        let mut rng = rand::thread_rng();
        let selected = near.choose(&mut rng).into_iter().chain(far.choose(&mut rng));
        let digests = anti_entropy::digests(&self.state);
        for member in selected {
            let call = self.repairs.begin(member.id, now, digests.clone());
            let digests = RangeDigests {
                incarnation: call.incarnation.0,
                number: call.number,
                ..digests.clone()
            };
            self.send_to_peer(member.address.clone(), Payload::Digests(digests));
        }
    }
}
