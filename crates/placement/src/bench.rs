//! Which workers get nothing for a while because they fail, or lag far behind
//! their fellows. One node sees few requests of each worker; the leader sees
//! them all. Health answers play no part: what requests show outweighs them.

use config::constants as c;
use control_state::ControlState;
use protocol::{name_hash, Worker, WorkerStats};
use rollout::Cohort;
use std::collections::{BTreeMap, BTreeSet};

/// Outcomes that fade.
#[derive(Clone, Copy, Debug, Default)]
struct Outcomes {
    served: f64,
    failed: f64,
    answered_ms: f64,
}

impl Outcomes {
    fn count(&self) -> f64 {
        self.served + self.failed
    }
    fn failing(&self) -> f64 {
        self.failed / self.count().max(1e-9)
    }
    fn mean_ms(&self) -> f64 {
        self.answered_ms / self.served.max(1e-9)
    }
}

#[derive(Clone, Copy, Debug)]
struct Sentence {
    until: u64,
    lasted: u64,
}

/// Outlier detection: outcomes by worker, and who sits on the bench.
#[derive(Default)]
pub struct Bench {
    outcomes: BTreeMap<u32, Outcomes>,
    sentences: BTreeMap<String, Sentence>,
    /// Who is judged anew from then on.
    settled_at: u64,
}

fn median(mut of: Vec<f64>) -> f64 {
    of.sort_by(f64::total_cmp);
    of.get(of.len() / 2).copied().unwrap_or(0.0)
}

impl Bench {
    /// Begins the duty: for a while only those on the bench are looked after.
    pub fn begin(&mut self, now: u64) {
        *self = Bench {
            settled_at: now + c::OUTLIER_SETTLE_MS,
            ..Default::default()
        };
    }

    pub fn take(&mut self, capacity: &[WorkerStats]) {
        for w in capacity {
            let o = self.outcomes.entry(w.worker).or_default();
            o.served += w.served as f64;
            o.failed += w.failed as f64;
            o.answered_ms += f64::from(w.response_ms) * w.served as f64;
        }
    }

    /// Who is on the bench from now on.
    pub fn decide(&mut self, now: u64, stage: &ControlState) -> BTreeSet<String> {
        for id in stage.ejected.iter() {
            // Benched by an earlier leader.
            self.sentences.entry(id.clone()).or_insert(Sentence {
                until: now + c::EJECTION_MS,
                lasted: c::EJECTION_MS,
            });
        }
        for (id, s) in &self.sentences {
            if now < s.until {
                // What it did before does not count when it comes back.
                self.outcomes.remove(&name_hash(id));
            }
        }
        let mut on: BTreeSet<String> = BTreeSet::new();
        let mut services: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
        // A version on trial is judged as a whole.
        let able = |w: &&Worker| !w.draining && stage.cohort(w) == Cohort::Old;
        for w in stage.workers.values().map(|w| &**w).filter(able) {
            services.entry(&w.service).or_default().push(&w.id);
        }
        for (service, workers) in services {
            self.judge(now, stage, service, &workers, &mut on);
        }
        for o in self.outcomes.values_mut() {
            o.served *= c::OUTLIER_RETENTION;
            o.failed *= c::OUTLIER_RETENTION;
            o.answered_ms *= c::OUTLIER_RETENTION;
        }
        self.outcomes.retain(|_, o| o.count() > 0.1);
        self.sentences
            .retain(|id, s| stage.workers.contains_key(id) && now < s.until + 2 * c::EJECTION_MAX_MS);
        on
    }

    /// Judges the workers of a service against each other.
    fn judge(
        &mut self,
        now: u64,
        stage: &ControlState,
        service: &str,
        workers: &[&str],
        on: &mut BTreeSet<String>,
    ) {
        let known: Vec<(&str, Outcomes)> = workers
            .iter()
            .filter_map(|id| Some((*id, *self.outcomes.get(&name_hash(id))?)))
            .filter(|(_, o)| o.count() >= c::OUTLIER_MIN_OUTCOMES)
            .collect();
        let failing = median(known.iter().map(|(_, o)| o.failing()).collect());
        let answered = known.iter().filter(|(_, o)| o.served >= c::OUTLIER_MIN_OUTCOMES);
        let usual_ms = median(answered.map(|(_, o)| o.mean_ms()).collect());
        // A worker of a divided service that lags may only have busy keys.
        let divided = stage.service(service).is_some_and(|s| s.partitioned);
        let mut bad: Vec<(f64, &str)> = known
            .iter()
            .filter_map(|(id, o)| {
                let fails = (o.failing() - failing) / c::OUTLIER_EXCESS_FAILURES;
                let slow = o.mean_ms() / (usual_ms.max(1.0) * c::OUTLIER_SLOWNESS);
                let slow = if divided || o.served < c::OUTLIER_MIN_OUTCOMES {
                    0.0
                } else {
                    slow
                };
                let worst = fails.max(slow);
                (worst > 1.0).then_some((worst, *id))
            })
            .collect();
        bad.sort_by(|a, b| b.0.total_cmp(&a.0));
        if now < self.settled_at {
            bad.clear();
        }
        let room = (workers.len() as f64 * c::MAX_EJECTED_PART) as usize;
        let sitting: Vec<&str> = workers
            .iter()
            .copied()
            .filter(|id| self.sentences.get(*id).is_some_and(|s| now < s.until))
            .collect();
        let fresh = bad.iter().map(|(_, id)| *id).filter(|id| !sitting.contains(id));
        let fresh: Vec<&str> = fresh.take(room.saturating_sub(sitting.len())).collect();
        for id in fresh {
            let lasted = self.sentences.get(id).map_or(c::EJECTION_MS, |s| s.lasted * 2);
            let lasted = lasted.min(c::EJECTION_MAX_MS);
            let until = now + lasted;
            self.sentences.insert(id.to_string(), Sentence { until, lasted });
            on.insert(id.to_string());
        }
        on.extend(sitting.into_iter().map(str::to_string));
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use protocol::Change;
    use protocol::{ChangeKind, WorkersChange};
    use std::sync::Arc;

    fn stage(count: usize) -> ControlState {
        let mut stage = ControlState::default();
        let put = (0..count).map(|i| Worker {
            id: format!("w{i}"),
            service: "s".into(),
            ..Default::default()
        });
        let put = put.collect();
        stage.apply(
            1,
            &Change::encode(ChangeKind::Workers(WorkersChange {
                put,
                ..Default::default()
            })),
        );
        stage
    }

    /// What a second of traffic shows when these workers fail two in five, and
    /// those take eight times as long.
    fn second(bench: &mut Bench, count: usize, grey: &[usize], slow: &[usize]) {
        for i in 0..count {
            let failed = if grey.contains(&i) { 4 } else { 0 };
            bench.take(&[WorkerStats {
                worker: name_hash(&format!("w{i}")),
                response_ms: if slow.contains(&i) { 800.0 } else { 80.0 + i as f32 },
                served: 10 - failed,
                failed,
            }]);
        }
    }

    #[test]
    fn workers_that_fail_or_lag_sit_out_and_longer_the_next_time() {
        let mut stage = stage(20);
        let mut bench = Bench::default();
        let names = |set: &BTreeSet<String>| set.iter().cloned().collect::<Vec<_>>().join(" ");
        let mut last_seen = 0;
        for t in (0..20_000).step_by(500) {
            second(&mut bench, 20, &[3], &[7]);
            let on = bench.decide(t, &stage);
            assert!(on.iter().all(|id| id == "w3" || id == "w7"), "{}", names(&on));
            if on.contains("w3") && on.contains("w7") {
                last_seen = t;
            }
            if t == 1000 {
                assert_eq!(names(&on), "w3 w7");
            }
            stage.ejected = Arc::new(on);
        }
        assert!(last_seen > 15_000, "what stays ill sits out again: {last_seen}");
        // Well again: off the bench for good.
        for t in (20_000..40_000).step_by(500) {
            second(&mut bench, 20, &[], &[]);
            stage.ejected = Arc::new(bench.decide(t, &stage));
        }
        assert!(stage.ejected.is_empty());
    }

    #[test]
    fn a_new_leader_judges_nobody_at_first_but_keeps_who_sits() {
        let mut stage = stage(20);
        stage.ejected = Arc::new(BTreeSet::from(["w9".to_string()]));
        let mut bench = Bench::default();
        bench.begin(0);
        for t in (500..c::OUTLIER_SETTLE_MS).step_by(500) {
            second(&mut bench, 20, &[3], &[]);
            let on = bench.decide(t, &stage);
            assert!(!on.contains("w3"), "at {t}");
            assert_eq!(on.contains("w9"), t < 500 + c::EJECTION_MS, "at {t}");
            stage.ejected = Arc::new(on);
        }
        second(&mut bench, 20, &[3], &[]);
        assert!(bench.decide(c::OUTLIER_SETTLE_MS, &stage).contains("w3"));
    }

    #[test]
    fn what_strikes_all_benches_nobody_and_never_more_than_the_cap() {
        let stage = stage(20);
        let mut bench = Bench::default();
        for t in (0..5000).step_by(500) {
            second(&mut bench, 20, &(0..20).collect::<Vec<_>>(), &[]);
            assert!(bench.decide(t, &stage).is_empty(), "all fail alike");
        }
        let mut bench = Bench::default();
        for t in (0..5000).step_by(500) {
            second(&mut bench, 20, &(0..9).collect::<Vec<_>>(), &[]);
            assert!(bench.decide(t, &stage).len() <= 6);
        }
    }
}
