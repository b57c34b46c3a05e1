//! Outlier detection: ejects workers for a time if they fail, or are much slower than the other
//! workers of their service. The leader decides, since one node sees few requests of each worker
//! and the leader sees all. Health checks are ignored: the outcomes of requests outweigh them.

use crate::outcomes::Outcomes;
use config::constants as c;
use control_state::ControlState;
use protocol::{name_hash, Worker, WorkerStats};
use rollout::Cohort;
use std::collections::{BTreeMap, BTreeSet};

#[derive(Clone, Copy, Debug)]
struct Ejection {
    /// Time at which the ejection ends, in milliseconds.
    until: u64,
    duration_ms: u64,
}

/// Outcomes by worker, and the resulting ejections.
#[derive(Default)]
pub struct OutlierDetector {
    /// Outcomes by the hash of the worker's name. They decay at each evaluation.
    outcomes: BTreeMap<u32, Outcomes>,
    ejections: BTreeMap<String, Ejection>,
    /// Time before which no worker is newly ejected, in milliseconds.
    ejections_allowed_at: u64,
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(0.0)
}

impl OutlierDetector {
    /// Resets the state for a new leader. For [`c::OUTLIER_GRACE_PERIOD_MS`] no worker is newly
    /// ejected.
    pub fn reset(&mut self, now: u64) {
        *self = OutlierDetector {
            ejections_allowed_at: now + c::OUTLIER_GRACE_PERIOD_MS,
            ..Default::default()
        };
    }

    /// Adds a node's counts of its workers' outcomes.
    pub fn record(&mut self, stats: &[WorkerStats]) {
        for worker in stats {
            self.outcomes.entry(worker.worker).or_default().add(worker);
        }
    }

    /// Evaluates all services and returns the workers that are ejected from now on.
    pub fn evaluate(&mut self, now: u64, state: &ControlState) -> BTreeSet<String> {
        self.adopt_ejections(now, state);
        for (id, ejection) in &self.ejections {
            if now < ejection.until {
                // Outcomes from before and during the ejection do not count afterwards.
                self.outcomes.remove(&name_hash(id));
            }
        }
        let mut ejected: BTreeSet<String> = BTreeSet::new();
        for (service, workers) in candidates(state) {
            ejected.extend(self.evaluate_service(now, state, service, &workers));
        }
        self.outcomes
            .retain(|_, outcomes| outcomes.decay(c::OUTLIER_RETENTION));
        self.ejections.retain(|id, ejection| {
            state.workers.contains_key(id) && now < ejection.until + 2 * c::EJECTION_MAX_MS
        });
        ejected
    }

    /// Adopts the ejections of an earlier leader.
    fn adopt_ejections(&mut self, now: u64, state: &ControlState) {
        for id in state.ejected.iter() {
            self.ejections.entry(id.clone()).or_insert(Ejection {
                until: now + c::EJECTION_MS,
                duration_ms: c::EJECTION_MS,
            });
        }
    }

    /// Compares the workers of a service with each other and returns those that are ejected.
    fn evaluate_service(
        &mut self,
        now: u64,
        state: &ControlState,
        service: &str,
        workers: &[&str],
    ) -> Vec<String> {
        let is_ejected = |id: &str| self.ejections.get(id).is_some_and(|e| now < e.until);
        let still_ejected: Vec<&str> = workers.iter().copied().filter(|id| is_ejected(id)).collect();
        let outliers = if now < self.ejections_allowed_at {
            Vec::new()
        } else {
            self.outliers(state, service, workers)
        };
        let limit = (workers.len() as f64 * c::MAX_EJECTED_FRACTION) as usize;
        let newly_ejected = outliers.into_iter().filter(|id| !still_ejected.contains(id));
        let newly_ejected: Vec<&str> = newly_ejected
            .take(limit.saturating_sub(still_ejected.len()))
            .collect();
        for id in &newly_ejected {
            self.eject(now, id);
        }
        newly_ejected
            .into_iter()
            .chain(still_ejected)
            .map(str::to_string)
            .collect()
    }

    /// Ejects a worker. Each ejection lasts twice as long as the one before, up to a maximum.
    fn eject(&mut self, now: u64, id: &str) {
        let last = self.ejections.get(id);
        let duration_ms = last.map_or(c::EJECTION_MS, |ejection| ejection.duration_ms * 2);
        let duration_ms = duration_ms.min(c::EJECTION_MAX_MS);
        let until = now + duration_ms;
        self.ejections
            .insert(id.to_string(), Ejection { until, duration_ms });
    }

    /// Returns the workers whose failure rate or response time is far above the service's median,
    /// worst first.
    fn outliers<'a>(&self, state: &ControlState, service: &str, workers: &[&'a str]) -> Vec<&'a str> {
        let measured: Vec<(&str, Outcomes)> = workers
            .iter()
            .filter_map(|id| Some((*id, *self.outcomes.get(&name_hash(id))?)))
            .filter(|(_, outcomes)| outcomes.count() >= c::OUTLIER_MIN_OUTCOMES)
            .collect();
        let failure_rates = measured.iter().map(|(_, outcomes)| outcomes.failure_rate());
        let median_failure_rate = median(failure_rates.collect());
        let has_served = |outcomes: &Outcomes| outcomes.served >= c::OUTLIER_MIN_OUTCOMES;
        let answered = measured.iter().filter(|(_, outcomes)| has_served(outcomes));
        let median_ms = median(
            answered
                .map(|(_, outcomes)| outcomes.mean_response_ms())
                .collect(),
        );
        // A slow worker of a partitioned service may only hold busy keys.
        let is_partitioned = state.service(service).is_some_and(|s| s.partitioned);
        let excess = |outcomes: &Outcomes| {
            let failures = (outcomes.failure_rate() - median_failure_rate) / c::OUTLIER_EXCESS_FAILURE_RATE;
            let slowness = if is_partitioned || !has_served(outcomes) {
                0.0
            } else {
                outcomes.mean_response_ms() / (median_ms.max(1.0) * c::OUTLIER_RESPONSE_TIME_FACTOR)
            };
            failures.max(slowness)
        };
        let mut outliers: Vec<(f64, &str)> = measured
            .iter()
            .map(|(id, outcomes)| (excess(outcomes), *id))
            .filter(|(excess, _)| *excess > 1.0)
            .collect();
        outliers.sort_by(|a, b| b.0.total_cmp(&a.0));
        outliers.into_iter().map(|(_, id)| id).collect()
    }
}

/// Returns the workers that may be ejected, by service. Workers of a version under rollout are left
/// to the rollout, which evaluates the version as a whole.
fn candidates(state: &ControlState) -> BTreeMap<&str, Vec<&str>> {
    let mut services: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
    let may_be_ejected = |worker: &&Worker| !worker.draining && state.cohort(worker) == Cohort::Old;
    for worker in state.workers.values().map(|w| &**w).filter(may_be_ejected) {
        services.entry(&worker.service).or_default().push(&worker.id);
    }
    services
}
