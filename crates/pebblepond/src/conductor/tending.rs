//! What the conductor does at a slow pace: beginning a system, caring for the
//! roll, looking for copies among peers, and watching the disk.

use super::Conductor;
use config::constants as c;
use gossip::Member;
use protocol::{Payload, RangeDigests};
use raft::{
    next_membership, FaultTolerance, PeerObservation, SilenceTimeouts, UpstreamCandidate, UpstreamTimeouts,
    Voter,
};
use rand::seq::SliceRandom;
use rand::Rng;
use std::collections::BTreeSet;

impl Conductor {
    pub(super) fn look_around(&mut self) {
        let now = self.house.now();
        self.tell_contact();
        self.begin_system();
        self.choose_source(now);
        if self.raft.is_leader() {
            self.tend_roll(now);
        } else {
            self.ask_peers(now);
        }
        self.say();
        self.flush();
    }

    /// A line when the core falls silent, and one when it is heard again.
    fn tell_contact(&mut self) {
        let silent = self.silent_ms();
        let in_contact = silent < c::OUT_OF_CONTACT_MS || self.raft.membership().voters.is_empty();
        if in_contact != self.in_contact {
            self.in_contact = in_contact;
            if in_contact {
                log::info!("event=in_contact term={}", self.raft.term());
            } else {
                log::warn!(
                    "event=out_of_contact silent_ms={silent} term={}",
                    self.raft.term()
                );
            }
        }
    }

    /// Genesis. The first seed in the list chooses who begins: itself if it
    /// has a disk, else the disk machine with the lowest name that it knows.
    /// The one chosen begins only if its own disk was empty at the first start
    /// of the whole system and nobody belongs to a cluster yet.
    pub(super) fn begin_system(&mut self) {
        let standing = self.house.standing.get();
        if standing.cluster != 0 {
            return;
        }
        let settings = self.house.settings.get();
        let members = self.house.members.get();
        if members.iter().any(|m| m.cluster != 0) {
            return;
        }
        let first_seed = settings.seed_addresses().first().map(ToString::to_string);
        let me = settings.internal_address().to_string();
        if settings.own_entity.initial_start && first_seed.as_deref() == Some(&me) && self.appoints == 0 {
            if self.fresh {
                self.appoints = standing.id;
            } else if self.vault.is_none() && self.house.now() > self.started + 2 * c::JOIN_INTERVAL_MS {
                let chosen = members
                    .iter()
                    .filter(|m| m.fresh && m.is_alive())
                    .min_by(|a, b| a.name.cmp(&b.name));
                self.appoints = chosen.map_or(0, |m| m.id);
            }
        }
        let appointed = self.appoints == standing.id
            || members
                .iter()
                .any(|m| m.appoints == standing.id && Some(&m.address) == first_seed.as_ref());
        if self.fresh && appointed {
            let cluster = rand::thread_rng().gen_range(1..u64::MAX);
            log::info!("event=begins cluster={cluster:x}");
            self.join_cluster(cluster);
            self.raft.bootstrap(self.as_voter());
        }
    }

    /// A node without a disk follows a voter near it; the leader feeds the
    /// voters only.
    pub(super) fn choose_source(&mut self, now: u64) {
        if self.vault.is_some() {
            return;
        }
        let settings = self.house.settings.get();
        let cluster = self.house.standing.get().cluster;
        let members = self.house.members.get();
        let ours = |m: &&Member| m.cluster != 0 && (cluster == 0 || m.cluster == cluster);
        let able: Vec<&Member> = members
            .iter()
            .filter(|m| m.disk && m.id != 0 && m.is_alive())
            .filter(ours)
            .collect();
        // The roll of a node that was cut off for long may be out of date.
        let roll = self.raft.membership();
        let any_votes = able.iter().any(|m| roll.contains(m.id));
        let own = &settings.own_entity;
        let source = |id, zone: &str, region: &str| UpstreamCandidate {
            id,
            same_zone: zone == own.zone,
            same_region: region == own.region,
        };
        // The log names a voter sooner than word of it comes among hundreds; until
        // then all would be fed by the first, most of them from afar.
        let unheard = |v: &&Voter| members.iter().all(|m| m.address != v.address);
        let named = roll.voters.iter().filter(unheard);
        let sources: Vec<UpstreamCandidate> = able
            .iter()
            .filter(|m| roll.contains(m.id) || !any_votes)
            .map(|m| source(m.id, &m.zone, &m.region))
            .chain(named.map(|v| source(v.id, &v.zone, &v.region)))
            .collect();
        let timing = UpstreamTimeouts {
            silence_ms: c::UPSTREAM_SILENCE_MS,
            avoid_ms: c::UPSTREAM_AVOID_MS,
        };
        let feed = self.raft.upstream();
        let me = self.raft.id();
        if let Some(source) = self.following.select(now, me, feed, &sources, timing) {
            self.house.counters.add("sources_chosen");
            log::debug!("event=follows source={source:x} of={}", sources.len());
            self.raft.subscribe(now, source);
        } else {
            self.raft.repeat_subscription();
        }
        let from = self.raft.upstream().id;
        let address = self.address_of(from);
        if *self.house.source.get() != address {
            self.house.source.set(address);
        }
    }

    pub(super) fn as_voter(&self) -> Voter {
        let settings = self.house.settings.get();
        Voter {
            id: self.raft.id(),
            address: settings.internal_address().to_string(),
            zone: settings.own_entity.zone.clone(),
            region: settings.own_entity.region.clone(),
        }
    }

    /// Every other machine with a disk that may belong to this cluster.
    pub(super) fn observers(&self) -> BTreeSet<u64> {
        let standing = self.house.standing.get();
        let members = self.house.members.get();
        let ours = |m: &&Member| m.cluster == 0 || m.cluster == standing.cluster;
        members
            .iter()
            .filter(|m| m.disk)
            .filter(ours)
            .map(|m| m.id)
            .filter(|id| *id != 0 && *id != standing.id)
            .collect()
    }

    /// The leader's care for observers and voters, one voter at a time.
    pub(super) fn tend_roll(&mut self, now: u64) {
        self.raft.set_learners(&self.observers());
        let standing = self.house.standing.get();
        let members = self.house.members.get();
        let seen: Vec<PeerObservation> = members
            .iter()
            .filter(|m| m.id != 0 && m.id != standing.id)
            // Who has answered the log has joined, whether word of it came or not.
            .filter(|m| {
                let answered = self.raft.progress(m.id).is_some_and(|p| p.matched > 0);
                m.cluster == standing.cluster || m.cluster == 0 && answered
            })
            .map(|m| PeerObservation {
                voter: Voter {
                    id: m.id,
                    address: m.address.clone(),
                    zone: m.zone.clone(),
                    region: m.region.clone(),
                },
                has_disk: m.disk,
                is_alive: m.is_alive(),
            })
            .collect();
        let patience = SilenceTimeouts {
            contact_ms: c::CONTACT_TIMEOUT_MS,
            removal_ms: c::VOTER_REMOVAL_MS,
            urgent_removal_ms: c::VOTER_URGENT_REMOVAL_MS,
        };
        if let Some(roll) = next_membership(&self.raft, now, &seen, self.losses(), patience) {
            let before = self.raft.membership().voters.len();
            log::info!("event=roll voters={} before={before}", roll.voters.len());
            self.raft.propose_membership(&roll);
        }
    }

    /// Once a change of the roll is committed the next one need not wait for its turn.
    /// `true` if there is one.
    pub(super) fn tend_on(&mut self) -> bool {
        let under_way = self.raft.is_leader() && self.raft.is_membership_pending();
        let done = std::mem::replace(&mut self.roll_under_way, under_way) && !under_way;
        if done && self.raft.is_established_leader() {
            self.tend_roll(self.house.now());
            self.roll_under_way = self.raft.is_membership_pending();
        }
        done && self.roll_under_way
    }

    /// Tells the others that this process is about to end; whether they go on without
    /// it. Without a vote, or with nobody to hand anything to, nothing is to be waited for.
    pub(super) fn leave(&mut self) -> bool {
        self.raft.announce_shutdown(self.house.now());
        self.say();
        self.flush();
        self.vault.is_none() || self.raft.membership().voters.len() < 2 || self.raft.is_shutdown_safe()
    }

    /// What may be lost at the same time.
    pub(super) fn losses(&self) -> FaultTolerance {
        let t = self.house.settings.get().terms.tolerance;
        FaultTolerance {
            machines: t.machines,
            zones: t.zones,
            regions: t.regions,
        }
    }

    /// A node that finds no leader after its start takes the newest copy that
    /// its peers have: a copy that serves is better than none.
    pub(super) fn ask_peers(&mut self, now: u64) {
        if self.house.standing.get().current
            || now < self.started + c::PEER_CATCH_UP_MS
            || now < self.asked_peers + c::CONTACT_TIMEOUT_MS
        {
            return;
        }
        self.asked_peers = now;
        let members = self.house.members.get();
        let (me, zone) = (self.raft.id(), &self.house.settings.get().own_entity.zone);
        let able = members.iter().filter(|m| m.id != me && m.ready && m.is_alive());
        let (near, far): (Vec<_>, Vec<_>) = able.partition(|m| m.zone == *zone);
        // After a loss all ask at the same time: not all the same peers.
        let mut rng = rand::thread_rng();
        let asked = near.choose(&mut rng).into_iter().chain(far.choose(&mut rng));
        let digests = anti_entropy::digests(&self.stage);
        for m in asked {
            let call = self.mends.begin(m.id, now, digests.clone());
            let digests = RangeDigests {
                incarnation: call.incarnation.0,
                number: call.number,
                ..digests.clone()
            };
            self.post(m.address.clone(), Payload::Digests(digests));
        }
    }

    pub(super) fn watch_disk(&mut self, now: u64) {
        if self.written == self.done {
            if self.in_trouble {
                self.in_trouble = false;
                log::info!("event=disk_well");
            }
            self.raft.set_storage_failed(false);
        } else if now.saturating_sub(self.written_at) > c::DISK_TIMEOUT_MS && !self.in_trouble {
            self.trouble("a write takes too long");
        }
    }

    pub(super) fn trouble(&mut self, what: &str) {
        if !self.in_trouble {
            self.in_trouble = true;
            log::warn!("event=disk_trouble what={what:?}");
        }
        self.raft.set_storage_failed(true);
    }
}
