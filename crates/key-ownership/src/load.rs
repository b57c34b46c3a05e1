//! How busy keys and workers are.

use config::constants as c;
use control_state::KEY_SPACE;
use protocol::{name_hash, KeyCounts, Worker, WorkerStats};
use std::collections::BTreeMap;

#[derive(Clone, Default)]
struct ServiceLoad {
    /// Smoothed requests a second by key: with hundreds of holders a few hundred
    /// busy keys side by side must be spread over dozens of them.
    rates: Vec<f32>,
    counts: Vec<f32>,
    /// The sum of the rates of all keys before each.
    preceding: Vec<f64>,
    total: f64,
    periods: u32,
}

/// Loads as the proxies report them.
#[derive(Clone, Default)]
pub struct Loads {
    services: BTreeMap<u32, ServiceLoad>,
    /// Answer times of workers: their sum in ms, and how many; both fade.
    response_times: BTreeMap<u32, (f64, f64)>,
    period_began: u64,
}

impl Loads {
    /// Counts what a node reports: requests by key, and outcomes by worker.
    pub fn add(&mut self, keys: &[KeyCounts], capacity: &[WorkerStats]) {
        for k in keys {
            let load = self.services.entry(k.service).or_default();
            load.counts.resize(KEY_SPACE as usize, 0.0);
            for (bucket, count) in k.buckets.iter().zip(&k.counts) {
                if let Some(slot) = load.counts.get_mut(*bucket as usize) {
                    *slot += *count as f32;
                }
            }
        }
        for w in capacity.iter().filter(|w| w.served > 0) {
            let sum = self.response_times.entry(w.worker).or_default();
            sum.0 += f64::from(w.response_ms) * w.served as f64;
            sum.1 += w.served as f64;
        }
    }

    /// Closes a period of counting, when one is over; whether it was.
    pub fn close_period(&mut self, now: u64) -> bool {
        let span = now.saturating_sub(self.period_began);
        if span < c::KEY_LOAD_INTERVAL_MS {
            return false;
        }
        self.response_times.retain(|_, (sum, count)| {
            *sum *= c::KEY_RESPONSE_RETENTION;
            *count *= c::KEY_RESPONSE_RETENTION;
            *count > 0.01
        });
        self.period_began = now;
        let seconds = span.min(5000) as f32 / 1000.0;
        for load in self.services.values_mut() {
            load.rates.resize(KEY_SPACE as usize, 0.0);
            load.periods += 1;
            let weight = (1.0 / f64::from(load.periods)).max(c::KEY_LOAD_SMOOTHING) as f32;
            for (rate, counts) in load.rates.iter_mut().zip(&mut load.counts) {
                let usual = *rate * seconds;
                let is_surging =
                    *counts >= c::KEY_SURGE_MIN_REQUESTS && *counts > usual * c::KEY_SURGE_FACTOR;
                let weight = if is_surging {
                    weight.max(c::KEY_SURGE_SMOOTHING)
                } else {
                    weight
                };
                *rate += (*counts / seconds - *rate) * weight;
                *counts = 0.0;
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

    /// Requests a second of a service, as far as they are known.
    pub fn rate(&self, service: &str) -> f64 {
        self.services.get(&name_hash(service)).map_or(0.0, |l| l.total)
    }

    /// Whether enough was counted to go by.
    pub fn known(&self, service: &str) -> bool {
        self.services
            .get(&name_hash(service))
            .is_some_and(|l| l.periods >= 2 && l.total > 1.0)
    }

    /// The part of a service's load that falls on a range of keys; over all
    /// keys it adds up to 1.
    pub fn weight(&self, service: &str, from: u32, to: u32) -> f64 {
        let even_part = f64::from(to - from + 1) / f64::from(KEY_SPACE);
        let Some(load) = self.services.get(&name_hash(service)).filter(|l| l.total > 1.0) else {
            return even_part;
        };
        let preceding = |key: u32| load.preceding.get(key as usize).copied().unwrap_or(load.total);
        let counts = preceding(to + 1) - preceding(from);
        even_part * c::KEY_EVEN_LOAD_PART + counts / load.total * (1.0 - c::KEY_EVEN_LOAD_PART)
    }

    /// What each of these workers bears compared with their mean; never far
    /// from 1, since a busy worker looks slower than it is.
    pub fn capacities(&self, workers: &[&Worker]) -> Vec<f64> {
        let able = |w: &&Worker| {
            let (sum, count) = self
                .response_times
                .get(&name_hash(&w.id))
                .filter(|(_, count)| *count > 3.0)?;
            Some(f64::from(w.slots.max(1)) * count / sum.max(1.0))
        };
        let able: Vec<Option<f64>> = workers.iter().map(able).collect();
        let known = able.iter().flatten().count();
        let mean = able.iter().flatten().sum::<f64>() / known.max(1) as f64;
        let capacity = |a: Option<f64>| a.map_or(1.0, |a| (a / mean).clamp(0.7, 1.4));
        able.into_iter().map(capacity).collect()
    }
}
