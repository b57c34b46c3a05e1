//! Measured load of keys and workers.

use config::constants as c;
use control_state::KEY_SPACE;
use protocol::{name_hash, KeyCounts, Worker, WorkerStats};
use std::collections::BTreeMap;

#[derive(Clone, Default)]
struct ServiceLoad {
    /// Smoothed requests per second by key. Rates are kept per key because with hundreds of
    /// holders, a few hundred busy neighbouring keys must be spread over dozens of holders.
    rates: Vec<f32>,
    counts: Vec<f32>,
    /// For each key, the sum of the rates of all keys before it; the last entry is the total.
    preceding: Vec<f64>,
    total: f64,
    periods: u32,
}

/// Load of keys and workers as reported by the proxies.
#[derive(Clone, Default)]
pub struct Loads {
    services: BTreeMap<u32, ServiceLoad>,
    /// Response times by hash of the worker's name: their sum in milliseconds and their count. Both
    /// decay.
    response_times: BTreeMap<u32, (f64, f64)>,
    period_started_at: u64,
}

impl Loads {
    /// Adds a node's report: requests by key, and outcomes by worker.
    pub fn add(&mut self, keys: &[KeyCounts], capacity: &[WorkerStats]) {
        for service_keys in keys {
            let load = self.services.entry(service_keys.service).or_default();
            load.counts.resize(KEY_SPACE as usize, 0.0);
            for (bucket, count) in service_keys.buckets.iter().zip(&service_keys.counts) {
                if let Some(slot) = load.counts.get_mut(*bucket as usize) {
                    *slot += *count as f32;
                }
            }
        }
        for worker in capacity.iter().filter(|worker| worker.served > 0) {
            let sum = self.response_times.entry(worker.worker).or_default();
            sum.0 += f64::from(worker.response_ms) * worker.served as f64;
            sum.1 += worker.served as f64;
        }
    }

    /// Closes the counting period if it has lasted long enough. Returns whether it was closed.
    pub fn close_period(&mut self, now: u64) -> bool {
        let elapsed_ms = now.saturating_sub(self.period_started_at);
        if elapsed_ms < c::KEY_LOAD_INTERVAL_MS {
            return false;
        }
        self.response_times.retain(|_, (sum, count)| {
            *sum *= c::KEY_RESPONSE_RETENTION;
            *count *= c::KEY_RESPONSE_RETENTION;
            *count > 0.01
        });
        self.period_started_at = now;
        let seconds = elapsed_ms.min(5000) as f32 / 1000.0;
        for load in self.services.values_mut() {
            load.rates.resize(KEY_SPACE as usize, 0.0);
            load.periods += 1;
            let weight = (1.0 / f64::from(load.periods)).max(c::KEY_LOAD_SMOOTHING) as f32;
            for (rate, count) in load.rates.iter_mut().zip(&mut load.counts) {
                let usual = *rate * seconds;
                let is_surging = *count >= c::KEY_SURGE_MIN_REQUESTS && *count > usual * c::KEY_SURGE_FACTOR;
                let weight = if is_surging {
                    weight.max(c::KEY_SURGE_SMOOTHING)
                } else {
                    weight
                };
                *rate += (*count / seconds - *rate) * weight;
                *count = 0.0;
            }
            load.preceding.clear();
            load.total = 0.0;
            for rate in &load.rates {
                load.preceding.push(load.total);
                load.total += f64::from(*rate);
            }
            load.preceding.push(load.total);
        }
        true
    }

    /// Returns the measured requests per second of a service, or 0 if none are known.
    pub fn rate(&self, service: &str) -> f64 {
        self.services.get(&name_hash(service)).map_or(0.0, |l| l.total)
    }

    /// Returns whether enough requests were counted to base decisions on.
    pub fn has_enough_samples(&self, service: &str) -> bool {
        self.services
            .get(&name_hash(service))
            .is_some_and(|l| l.periods >= 2 && l.total > 1.0)
    }

    /// Returns the fraction of a service's load that falls on a range of keys. The fractions of all
    /// keys sum to 1.
    pub fn weight(&self, service: &str, from: u32, to: u32) -> f64 {
        let even_fraction = f64::from(to - from + 1) / f64::from(KEY_SPACE);
        let Some(load) = self.services.get(&name_hash(service)).filter(|l| l.total > 1.0) else {
            return even_fraction;
        };
        let rate_before = |key: u32| load.preceding.get(key as usize).copied().unwrap_or(load.total);
        let range_rate = rate_before(to + 1) - rate_before(from);
        even_fraction * c::KEY_EVEN_LOAD_FRACTION
            + range_rate / load.total * (1.0 - c::KEY_EVEN_LOAD_FRACTION)
    }

    /// Returns the capacity of each worker relative to their mean. Values stay near 1, since a busy
    /// worker looks slower than it is.
    pub fn capacities(&self, workers: &[&Worker]) -> Vec<f64> {
        let service_rate = |w: &&Worker| {
            let (sum, count) = self
                .response_times
                .get(&name_hash(&w.id))
                .filter(|(_, count)| *count > 3.0)?;
            Some(f64::from(w.slots.max(1)) * count / sum.max(1.0))
        };
        let service_rates: Vec<Option<f64>> = workers.iter().map(service_rate).collect();
        let known_count = service_rates.iter().flatten().count();
        let mean = service_rates.iter().flatten().sum::<f64>() / known_count.max(1) as f64;
        let capacity = |rate: Option<f64>| rate.map_or(1.0, |rate| (rate / mean).clamp(0.7, 1.4));
        service_rates.into_iter().map(capacity).collect()
    }
}
