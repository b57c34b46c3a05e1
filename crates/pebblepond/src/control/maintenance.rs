//! What the driver does at a slow pace: bootstrapping a cluster, choosing an upstream, looking
//! for newer copies among peers.

use super::driver::RaftDriver;
use config::{constants as c, timing};
use gossip::Member;
use protocol::{Payload, RangeDigests};
use raft::{FaultTolerance, UpstreamCandidate, Voter};
use rand::seq::SliceRandom;
use rand::Rng;

impl RaftDriver {
    /// One round of maintenance.
    pub(super) fn maintain(&mut self) {
        let now = self.context.now();
        self.log_contact();
        self.bootstrap();
        self.select_upstream(now);
        if self.raft.is_leader() {
            self.change_membership(now);
        } else {
            self.ask_peers_for_repair(now);
        }
        self.tell_members();
        self.flush();
    }

    /// A line when the majority falls silent, and one when it is heard again.
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

    /// Begins a new cluster, if that is for this node. The first seed in the list chooses who
    /// does: itself if it has a disk, else the node with a disk and the lowest name that it
    /// knows. The one chosen begins only if its own disk was empty at the first start of the
    /// whole system and nobody belongs to a cluster yet.
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

    /// Whom the first seed chooses; 0 while it knows nobody.
    fn appoint(&self, members: &[Member]) -> u64 {
        if self.is_new_system {
            return self.raft.id();
        }
        let has_waited = self.context.now() > self.started_at + 2 * c::JOIN_INTERVAL_MS;
        if self.storage.is_some() || !has_waited {
            return 0;
        }
        let able = members.iter().filter(|m| m.is_new_system && m.is_alive());
        able.min_by(|a, b| a.name.cmp(&b.name)).map_or(0, |m| m.id)
    }

    /// This node as a voter.
    fn as_voter(&self) -> Voter {
        let settings = self.context.settings.get();
        Voter {
            id: self.raft.id(),
            address: settings.internal_address().to_string(),
            zone: settings.own_entity.zone.clone(),
            region: settings.own_entity.region.clone(),
        }
    }

    /// A node without a disk takes the log from a voter near it; the leader replicates to the
    /// voters only.
    pub(super) fn select_upstream(&mut self, now: u64) {
        if self.storage.is_some() {
            return;
        }
        let candidates = self.upstream_candidates();
        let (own_id, current) = (self.raft.id(), self.raft.upstream());
        let selected = self
            .upstream_selector
            .select(now, own_id, current, &candidates, timing::UPSTREAM);
        if let Some(upstream) = selected {
            self.context.counters.add("upstreams_selected");
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
        let is_ours = |m: &Member| m.cluster != 0 && (cluster == 0 || m.cluster == cluster);
        let able: Vec<&Member> = members
            .iter()
            .filter(|m| m.has_disk && m.id != 0 && m.is_alive() && is_ours(m))
            .collect();
        // The membership of a node that was cut off for long may be out of date.
        let voters = self.raft.membership();
        let any_votes = able.iter().any(|m| voters.contains(m.id));
        let able = able.into_iter().filter(|m| voters.contains(m.id) || !any_votes);
        // The log names a voter sooner than word of it comes among hundreds; until then all
        // would take the log from the first, most of them from afar.
        let is_unheard = |v: &&Voter| members.iter().all(|m| m.address != v.address);
        let named = voters.voters.iter().filter(is_unheard);
        let own = &settings.own_entity;
        let candidate = |id, zone: &str, region: &str| UpstreamCandidate {
            id,
            same_zone: zone == own.zone,
            same_region: region == own.region,
        };
        able.map(|m| candidate(m.id, &m.zone, &m.region))
            .chain(named.map(|v| candidate(v.id, &v.zone, &v.region)))
            .collect()
    }

    /// Tells the others that this process is about to end; whether they go on without it.
    /// Without a vote, or with nobody to hand anything to, nothing is to be waited for.
    pub(super) fn announce_shutdown(&mut self) -> bool {
        self.raft.announce_shutdown(self.context.now());
        self.tell_members();
        self.flush();
        let is_alone = self.raft.membership().voters.len() < 2;
        self.storage.is_none() || is_alone || self.raft.is_shutdown_safe()
    }

    /// What may be lost at the same time.
    pub(super) fn tolerance(&self) -> FaultTolerance {
        let tolerance = self.context.settings.get().terms.tolerance;
        FaultTolerance {
            machines: tolerance.machines,
            zones: tolerance.zones,
            regions: tolerance.regions,
        }
    }

    /// A node that finds no leader after its start takes the newest copy that its peers have: a
    /// copy that serves is better than none.
    fn ask_peers_for_repair(&mut self, now: u64) {
        if self.context.status.get().is_current
            || now < self.started_at + c::PEER_CATCH_UP_MS
            || now < self.asked_peers_at + c::CONTACT_TIMEOUT_MS
        {
            return;
        }
        self.asked_peers_at = now;
        let members = self.context.members.get();
        let own_id = self.raft.id();
        let settings = self.context.settings.get();
        let able = members
            .iter()
            .filter(|m| m.id != own_id && m.is_ready && m.is_alive());
        let (near, far): (Vec<_>, Vec<_>) = able.partition(|m| m.zone == settings.own_entity.zone);
        // After a loss all ask at the same time: not all the same peers.
        let mut rng = rand::thread_rng();
        let asked = near.choose(&mut rng).into_iter().chain(far.choose(&mut rng));
        let digests = anti_entropy::digests(&self.state);
        for member in asked {
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
