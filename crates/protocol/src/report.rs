//! What a node tells the leader twice a second: rates, capacities and distances.

use prost::Message;
use rollout::CohortSample;
use std::collections::BTreeMap;

/// A name in four bytes (FNV-1a), for reports: they go between regions twice a second, and
/// the leader knows the names.
pub fn name_hash(name: &str) -> u32 {
    name.bytes()
        .fold(0x811c_9dc5, |h, b| (h ^ u32::from(b)).wrapping_mul(0x0100_0193))
}

/// What a node has counted since its last report.
#[derive(Clone, PartialEq, Message)]
pub struct Report {
    /// The node's zone.
    #[prost(string, tag = "1")]
    pub zone: String,
    /// The node's site: its region, or its zone where zones are the sites.
    #[prost(string, tag = "2")]
    pub site: String,
    /// The time that the counts cover, ms.
    #[prost(uint64, tag = "3")]
    pub interval_ms: u64,
    /// Requests by service and client group.
    #[prost(message, repeated, tag = "4")]
    pub demand: Vec<Demand>,
    /// What was observed of workers.
    #[prost(message, repeated, tag = "5")]
    pub workers: Vec<WorkerStats>,
    /// Distances to other sites.
    #[prost(message, repeated, tag = "6")]
    pub round_trips: Vec<RoundTrip>,
    /// Requests a second that the node itself can forward.
    #[prost(double, tag = "7")]
    pub forwarding_rate: f64,
    /// Requests for keys.
    #[prost(message, repeated, tag = "8")]
    pub keys: Vec<KeyCounts>,
    /// Outcomes of services that are being rolled out.
    #[prost(message, repeated, tag = "9")]
    pub rollout_samples: Vec<CohortSample>,
}

/// Requests for a service.
#[derive(Clone, PartialEq, Message)]
pub struct Demand {
    /// The service, by [`name_hash`].
    #[prost(fixed32, tag = "1")]
    pub service: u32,
    /// The client group: the zone that the clients are in; empty for the node's own.
    #[prost(string, tag = "2")]
    pub group: String,
    /// Requests.
    #[prost(uint64, tag = "3")]
    pub count: u64,
}

/// What a node has observed of a worker.
#[derive(Clone, PartialEq, Message)]
pub struct WorkerStats {
    /// The worker, by [`name_hash`].
    #[prost(fixed32, tag = "1")]
    pub worker: u32,
    /// Mean response time, ms.
    #[prost(float, tag = "2")]
    pub response_ms: f32,
    /// Requests that it answered.
    #[prost(uint64, tag = "3")]
    pub served: u64,
    /// Requests that it failed.
    #[prost(uint64, tag = "4")]
    pub failed: u64,
}

/// The distance to a site.
#[derive(Clone, PartialEq, Message)]
pub struct RoundTrip {
    /// The site, by [`name_hash`].
    #[prost(fixed32, tag = "1")]
    pub site: u32,
    /// Round trip, ms.
    #[prost(float, tag = "2")]
    pub rtt_ms: f32,
}

/// Requests for the keys of a service, by bucket of neighbouring keys.
#[derive(Clone, PartialEq, Message)]
pub struct KeyCounts {
    /// The service, by [`name_hash`].
    #[prost(fixed32, tag = "1")]
    pub service: u32,
    /// The buckets with requests, ascending.
    #[prost(uint32, repeated, tag = "2")]
    pub buckets: Vec<u32>,
    /// The requests of each.
    #[prost(uint32, repeated, tag = "3")]
    pub counts: Vec<u32>,
}

impl Report {
    /// Adds what another node of the same region reports: a voter passes on the sum of what
    /// its learners have counted.
    pub fn merge(&mut self, other: Report) {
        self.merge_demand(&other.zone, other.demand);
        self.merge_workers(other.workers);
        for round_trip in other.round_trips {
            let known = self.round_trips.iter_mut().find(|r| r.site == round_trip.site);
            match known {
                Some(known) => known.rtt_ms = (known.rtt_ms + round_trip.rtt_ms) / 2.0,
                None => self.round_trips.push(round_trip),
            }
        }
        for sample in other.rollout_samples {
            match self.rollout_samples.iter_mut().find(|s| s.is_same(&sample)) {
                Some(known) => known.merge(&sample),
                None => self.rollout_samples.push(sample),
            }
        }
        self.interval_ms = self.interval_ms.max(other.interval_ms);
        self.forwarding_rate += other.forwarding_rate;
        for keys in other.keys {
            match self.keys.iter_mut().find(|k| k.service == keys.service) {
                Some(known) => known.merge(&keys),
                None => self.keys.push(keys),
            }
        }
    }

    fn merge_demand(&mut self, zone: &str, demand: Vec<Demand>) {
        for mut other in demand {
            if other.group.is_empty() {
                other.group = zone.to_string();
            }
            let own = other.group == self.zone;
            let same = |d: &Demand| {
                d.service == other.service && (d.group == other.group || own && d.group.is_empty())
            };
            match self.demand.iter_mut().find(|d| same(d)) {
                Some(known) => known.count += other.count,
                None => self.demand.push(other),
            }
        }
    }

    fn merge_workers(&mut self, workers: Vec<WorkerStats>) {
        let known = self.workers.iter().enumerate();
        let mut positions: BTreeMap<u32, usize> = known.map(|(i, w)| (w.worker, i)).collect();
        for other in workers {
            let at = *positions.entry(other.worker).or_insert(self.workers.len());
            match self.workers.get_mut(at) {
                Some(known) => known.merge(&other),
                None => self.workers.push(other),
            }
        }
    }
}

impl WorkerStats {
    fn merge(&mut self, other: &WorkerStats) {
        let served = self.served + other.served;
        if served > 0 {
            let sum = f64::from(self.response_ms) * self.served as f64
                + f64::from(other.response_ms) * other.served as f64;
            self.response_ms = (sum / served as f64) as f32;
        }
        self.served = served;
        self.failed += other.failed;
    }
}

impl KeyCounts {
    fn merge(&mut self, other: &KeyCounts) {
        let own = self.buckets.iter().zip(&self.counts);
        let counts = own.chain(other.buckets.iter().zip(&other.counts));
        let mut sums: BTreeMap<u32, u32> = BTreeMap::new();
        for (bucket, count) in counts {
            *sums.entry(*bucket).or_default() += count;
        }
        (self.buckets, self.counts) = sums.into_iter().unzip();
    }
}
