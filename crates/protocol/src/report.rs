//! Reports that a node sends to the leader twice a second: request counts, capacities and round
//! trips.

use prost::Message;
use rollout::CohortSample;
use std::collections::BTreeMap;

/// Returns the 32-bit FNV-1a hash of a name. Reports hold hashes instead of names to stay small,
/// because they are sent between regions twice a second and the leader knows the names.
pub fn name_hash(name: &str) -> u32 {
    name.bytes()
        .fold(0x811c_9dc5, |h, b| (h ^ u32::from(b)).wrapping_mul(0x0100_0193))
}

/// The counts and measurements of a node since its last report.
#[derive(Clone, PartialEq, Message)]
pub struct Report {
    /// Zone of the node.
    #[prost(string, tag = "1")]
    pub zone: String,
    /// Site of the node: its region, or its zone in deployments where zones are the sites.
    #[prost(string, tag = "2")]
    pub site: String,
    /// Time that the counts cover, in milliseconds.
    #[prost(uint64, tag = "3")]
    pub interval_ms: u64,
    /// Number of requests by service and client group.
    #[prost(message, repeated, tag = "4")]
    pub demand: Vec<Demand>,
    /// Observed results of workers.
    #[prost(message, repeated, tag = "5")]
    pub workers: Vec<WorkerStats>,
    /// Round trips to other sites.
    #[prost(message, repeated, tag = "6")]
    pub round_trips: Vec<RoundTrip>,
    /// Forwarding capacity of the node, in requests per second.
    #[prost(double, tag = "7")]
    pub forwarding_rate: f64,
    /// Number of requests by service and key bucket.
    #[prost(message, repeated, tag = "8")]
    pub keys: Vec<KeyCounts>,
    /// Request outcomes of services with a rollout in progress.
    #[prost(message, repeated, tag = "9")]
    pub rollout_samples: Vec<CohortSample>,
}

/// The number of requests for a service from a client group.
#[derive(Clone, PartialEq, Message)]
pub struct Demand {
    /// The [`name_hash`] of the service.
    #[prost(fixed32, tag = "1")]
    pub service: u32,
    /// The client group, which is the zone of the clients; empty for the node's own zone.
    #[prost(string, tag = "2")]
    pub group: String,
    /// The number of requests.
    #[prost(uint64, tag = "3")]
    pub count: u64,
}

/// The results of a worker as observed by a node.
#[derive(Clone, PartialEq, Message)]
pub struct WorkerStats {
    /// The [`name_hash`] of the worker's identifier.
    #[prost(fixed32, tag = "1")]
    pub worker: u32,
    /// Mean response time, in milliseconds.
    #[prost(float, tag = "2")]
    pub response_ms: f32,
    /// Number of requests that the worker answered.
    #[prost(uint64, tag = "3")]
    pub served: u64,
    /// Number of requests that failed at the worker.
    #[prost(uint64, tag = "4")]
    pub failed: u64,
}

/// The round trip to a site.
#[derive(Clone, PartialEq, Message)]
pub struct RoundTrip {
    /// The [`name_hash`] of the site.
    #[prost(fixed32, tag = "1")]
    pub site: u32,
    /// Round-trip time, in milliseconds.
    #[prost(float, tag = "2")]
    pub rtt_ms: f32,
}

/// The number of requests for the keys of a service, by bucket of adjacent keys.
#[derive(Clone, PartialEq, Message)]
pub struct KeyCounts {
    /// The [`name_hash`] of the service.
    #[prost(fixed32, tag = "1")]
    pub service: u32,
    /// Numbers of the buckets with requests, ascending.
    #[prost(uint32, repeated, tag = "2")]
    pub buckets: Vec<u32>,
    /// Number of requests for each of these buckets.
    #[prost(uint32, repeated, tag = "3")]
    pub counts: Vec<u32>,
}

impl Report {
    /// Adds the report of another node in the same region. A voter forwards the sum of its
    /// learners' reports.
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
            let is_own_zone = other.group == self.zone;
            let is_same = |d: &Demand| {
                d.service == other.service && (d.group == other.group || is_own_zone && d.group.is_empty())
            };
            match self.demand.iter_mut().find(|d| is_same(d)) {
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
