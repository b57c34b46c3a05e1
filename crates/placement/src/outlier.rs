//! Outlier detection: which workers are ejected for a while because they fail, or lag far behind
//! the others of their service. One node sees few requests of each worker; the leader sees them
//! all. Health answers do not count: what requests show outweighs them.

use crate::outcomes::Outcomes;
use config::constants as c;
use control_state::ControlState;
use protocol::{name_hash, Worker, WorkerStats};
use rollout::Cohort;
use std::collections::{BTreeMap, BTreeSet};

#[derive(Clone, Copy, Debug)]
struct Ejection {
    /// When it ends, ms.
    until: u64,
    duration_ms: u64,
}

/// Outcomes by worker, and the ejections that they have led to.
#[derive(Default)]
pub struct OutlierDetector {
    /// By the hash of the worker's name; they fade at each evaluation.
    outcomes: BTreeMap<u32, Outcomes>,
    ejections: BTreeMap<String, Ejection>,
    /// Nobody is ejected anew before then, ms.
    settled_at: u64,
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(0.0)
}

impl OutlierDetector {
    /// Begins the duty of a new leader: for [`c::OUTLIER_SETTLE_MS`] nobody is ejected anew.
    pub fn reset(&mut self, now: u64) {
        *self = OutlierDetector {
            settled_at: now + c::OUTLIER_SETTLE_MS,
            ..Default::default()
        };
    }

    /// Counts what a node reports of its workers.
    pub fn record(&mut self, stats: &[WorkerStats]) {
        for worker in stats {
            self.outcomes.entry(worker.worker).or_default().add(worker);
        }
    }

    /// The workers that are ejected from now on.
    pub fn evaluate(&mut self, now: u64, state: &ControlState) -> BTreeSet<String> {
        self.adopt_ejections(now, state);
        for (id, ejection) in &self.ejections {
            if now < ejection.until {
                // What it did before does not count when it comes back.
                self.outcomes.remove(&name_hash(id));
            }
        }
        let mut ejected: BTreeSet<String> = BTreeSet::new();
        for (service, workers) in candidates(state) {
            ejected.extend(self.evaluate_service(now, state, service, &workers));
        }
        self.outcomes
            .retain(|_, outcomes| outcomes.fade(c::OUTLIER_RETENTION));
        self.ejections.retain(|id, ejection| {
            state.workers.contains_key(id) && now < ejection.until + 2 * c::EJECTION_MAX_MS
        });
        ejected
    }

    /// Takes over the ejections of an earlier leader.
    fn adopt_ejections(&mut self, now: u64, state: &ControlState) {
        for id in state.ejected.iter() {
            self.ejections.entry(id.clone()).or_insert(Ejection {
                until: now + c::EJECTION_MS,
                duration_ms: c::EJECTION_MS,
            });
        }
    }

    /// Compares the workers of a service with each other; those that are ejected.
    fn evaluate_service(
        &mut self,
        now: u64,
        state: &ControlState,
        service: &str,
        workers: &[&str],
    ) -> Vec<String> {
        let is_ejected = |id: &str| self.ejections.get(id).is_some_and(|e| now < e.until);
        let already: Vec<&str> = workers.iter().copied().filter(|id| is_ejected(id)).collect();
        let outliers = if now < self.settled_at {
            Vec::new()
        } else {
            self.outliers(state, service, workers)
        };
        let limit = (workers.len() as f64 * c::MAX_EJECTED_PART) as usize;
        let fresh = outliers.into_iter().filter(|id| !already.contains(id));
        let fresh: Vec<&str> = fresh.take(limit.saturating_sub(already.len())).collect();
        for id in &fresh {
            self.eject(now, id);
        }
        fresh.into_iter().chain(already).map(str::to_string).collect()
    }

    /// Ejects a worker, each time for twice as long as the last.
    fn eject(&mut self, now: u64, id: &str) {
        let last = self.ejections.get(id);
        let duration_ms = last.map_or(c::EJECTION_MS, |ejection| ejection.duration_ms * 2);
        let duration_ms = duration_ms.min(c::EJECTION_MAX_MS);
        let until = now + duration_ms;
        self.ejections
            .insert(id.to_string(), Ejection { until, duration_ms });
    }

    /// The workers of a service that fail or lag far more than its median worker, worst first.
    fn outliers<'a>(&self, state: &ControlState, service: &str, workers: &[&'a str]) -> Vec<&'a str> {
        let known: Vec<(&str, Outcomes)> = workers
            .iter()
            .filter_map(|id| Some((*id, *self.outcomes.get(&name_hash(id))?)))
            .filter(|(_, outcomes)| outcomes.count() >= c::OUTLIER_MIN_OUTCOMES)
            .collect();
        let failure_rates = known.iter().map(|(_, outcomes)| outcomes.failure_rate());
        let usual_failure_rate = median(failure_rates.collect());
        let has_served = |outcomes: &Outcomes| outcomes.served >= c::OUTLIER_MIN_OUTCOMES;
        let answered = known.iter().filter(|(_, outcomes)| has_served(outcomes));
        let usual_ms = median(
            answered
                .map(|(_, outcomes)| outcomes.mean_response_ms())
                .collect(),
        );
        // A worker of a partitioned service that lags may only have busy keys.
        let is_partitioned = state.service(service).is_some_and(|s| s.partitioned);
        let excess = |outcomes: &Outcomes| {
            let failures = (outcomes.failure_rate() - usual_failure_rate) / c::OUTLIER_EXCESS_FAILURES;
            let slowness = if is_partitioned || !has_served(outcomes) {
                0.0
            } else {
                outcomes.mean_response_ms() / (usual_ms.max(1.0) * c::OUTLIER_SLOWNESS)
            };
            failures.max(slowness)
        };
        let mut outliers: Vec<(f64, &str)> = known
            .iter()
            .map(|(id, outcomes)| (excess(outcomes), *id))
            .filter(|(excess, _)| *excess > 1.0)
            .collect();
        outliers.sort_by(|a, b| b.0.total_cmp(&a.0));
        outliers.into_iter().map(|(_, id)| id).collect()
    }
}

/// The workers that may be ejected, by service. Those of a version on trial are left to the
/// rollout, which judges the version as a whole.
fn candidates(state: &ControlState) -> BTreeMap<&str, Vec<&str>> {
    let mut services: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
    let may_be_ejected = |worker: &&Worker| !worker.draining && state.cohort(worker) == Cohort::Old;
    for worker in state.workers.values().map(|w| &**w).filter(may_be_ejected) {
        services.entry(&worker.service).or_default().push(&worker.id);
    }
    services
}
