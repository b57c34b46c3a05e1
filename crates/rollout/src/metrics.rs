//! What nodes have counted of the two versions, and what it comes to.

use crate::constants::{
    BAD_MIN, BAD_OUTCOMES_MIN, DEVIATIONS, LOST_ABOVE, LOST_MIN, P95_ANSWERS, RECENT_RETENTION, ROUTE_PART,
    ROUTE_REQUESTS_MIN, SLOW_ANSWERS, SLOW_MS, SLOW_STALE,
};
use crate::rollout::AnalysisCriteria;
use prost::Message;
use std::collections::BTreeMap;

/// Outcomes of one version on one route, as a node reports them.
#[derive(Clone, PartialEq, Message)]
pub struct CohortSample {
    /// The service, by the hash of its name.
    #[prost(fixed32, tag = "1")]
    pub service: u32,
    /// The route, by the hash of its name.
    #[prost(fixed32, tag = "2")]
    pub route: u32,
    /// The new version, not the old one.
    #[prost(bool, tag = "3")]
    pub new: bool,
    /// Answers that were no errors.
    #[prost(uint64, tag = "4")]
    pub served: u64,
    /// Answers that were errors of the worker's own.
    #[prost(uint64, tag = "5")]
    pub bad: u64,
    /// Tries without any answer.
    #[prost(uint64, tag = "6")]
    pub lost: u64,
    /// Sum of the response times of those, ms.
    #[prost(double, tag = "7")]
    pub ms: f64,
    /// Answers by [`bucket_of`] their time, and how many fell into each.
    #[prost(uint32, repeated, tag = "8")]
    pub buckets: Vec<u32>,
    /// Answers in each of these buckets.
    #[prost(uint32, repeated, tag = "9")]
    pub counts: Vec<u32>,
    /// The rollout that this counts for, by the index of its order.
    #[prost(uint64, tag = "10")]
    pub created_index: u64,
}

impl CohortSample {
    /// Adds what another node has counted of the same.
    pub fn merge(&mut self, other: &CohortSample) {
        self.served += other.served;
        self.bad += other.bad;
        self.lost += other.lost;
        self.ms += other.ms;
        let mut sums: BTreeMap<u32, u32> = BTreeMap::new();
        let mine = self.buckets.iter().zip(&self.counts);
        for (bucket, count) in mine.chain(other.buckets.iter().zip(&other.counts)) {
            *sums.entry(*bucket).or_default() += count;
        }
        (self.buckets, self.counts) = sums.into_iter().unzip();
    }

    /// Whether another sample counts the same.
    pub fn is_same(&self, other: &CohortSample) -> bool {
        (self.service, self.route, self.new, self.created_index)
            == (other.service, other.route, other.new, other.created_index)
    }
}

/// Two buckets for each doubling of the time.
pub fn bucket_of(ms: f64) -> u32 {
    (ms.max(1.0).log2() * 2.0).min(63.0) as u32
}

/// The longest time in a bucket.
fn bucket_end(bucket: u32) -> f64 {
    2f64.powf(f64::from(bucket + 1) / 2.0)
}

/// Outcomes, which may fade.
#[derive(Clone, Debug, Default)]
pub struct OutcomeSums {
    /// Answers that were no errors.
    pub served: f64,
    /// Answers that were errors of the worker's own.
    pub bad: f64,
    /// Attempts without any answer.
    pub lost: f64,
    /// Sum of the response times, ms.
    pub ms: f64,
    buckets: BTreeMap<u32, f64>,
}

impl OutcomeSums {
    /// Adds a sample.
    pub fn add(&mut self, t: &CohortSample) {
        self.served += t.served as f64;
        self.bad += t.bad as f64;
        self.lost += t.lost as f64;
        self.ms += t.ms;
        for (bucket, count) in t.buckets.iter().zip(&t.counts) {
            *self.buckets.entry(*bucket).or_default() += f64::from(*count);
        }
    }

    fn merge(&mut self, other: &OutcomeSums) {
        self.served += other.served;
        self.bad += other.bad;
        self.lost += other.lost;
        self.ms += other.ms;
        for (bucket, count) in &other.buckets {
            *self.buckets.entry(*bucket).or_default() += count;
        }
    }

    fn fade(&mut self, keep: f64) {
        self.served *= keep;
        self.bad *= keep;
        self.lost *= keep;
        self.ms *= keep;
        for count in self.buckets.values_mut() {
            *count *= keep;
        }
    }

    /// Answers, good and bad.
    pub fn answered(&self) -> f64 {
        self.served + self.bad
    }
    fn failing(&self) -> f64 {
        self.bad / self.answered().max(1e-9)
    }
    fn losing(&self) -> f64 {
        self.lost / (self.answered() + self.lost).max(1e-9)
    }
    fn mean_ms(&self) -> f64 {
        self.ms / self.served.max(1e-9)
    }
    fn p95_ms(&self) -> f64 {
        let wanted = self.buckets.values().sum::<f64>() * 0.95;
        let mut sum = 0.0;
        for (bucket, count) in &self.buckets {
            sum += count;
            if sum >= wanted {
                return bucket_end(*bucket);
            }
        }
        0.0
    }
}

/// What the figures of a version come to.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// It may be promoted.
    Good,
    /// Not enough to go by, or too near a limit: what is missing.
    Unproven(String),
    /// It must be rolled back: why.
    Bad(String),
}

/// The outcomes of both cohorts over all routes.
#[derive(Clone, Debug, Default)]
pub struct CohortTotals {
    /// The old versions', over the whole rollout.
    pub old: OutcomeSums,
    /// The new version's, in the stage in force.
    pub new: OutcomeSums,
}

#[derive(Clone, Debug, Default)]
struct CohortPair {
    old: OutcomeSums,
    new: OutcomeSums,
    recent_old: OutcomeSums,
    recent_new: OutcomeSums,
    /// The old version's, over the whole rollout.
    ever_old: OutcomeSums,
}

/// All that was counted for one rollout.
#[derive(Clone, Debug, Default)]
pub struct CohortMetrics {
    routes: BTreeMap<u32, CohortPair>,
    /// Answers of the old version since the last look.
    pub old_outcomes: f64,
}

impl CohortMetrics {
    /// Adds a sample.
    pub fn add(&mut self, t: &CohortSample) {
        let pair = self.routes.entry(t.route).or_default();
        if t.new {
            pair.new.add(t);
            pair.recent_new.add(t);
        } else {
            pair.old.add(t);
            pair.recent_old.add(t);
            pair.ever_old.add(t);
            self.old_outcomes += (t.served + t.bad + t.lost) as f64;
        }
    }

    /// A new stage is in force: what was counted before does not speak for it.
    pub fn next_stage(&mut self) {
        for pair in self.routes.values_mut() {
            let ever_old = std::mem::take(&mut pair.ever_old);
            *pair = CohortPair {
                ever_old,
                ..CohortPair::default()
            };
        }
    }

    /// Lets the recent outcomes fade.
    pub fn fade(&mut self) {
        for pair in self.routes.values_mut() {
            pair.recent_old.fade(RECENT_RETENTION);
            pair.recent_new.fade(RECENT_RETENTION);
        }
    }

    /// Answers of the new version in this stage.
    pub fn new_answers(&self) -> f64 {
        self.routes.values().map(|p| p.new.answered()).sum()
    }

    /// The figures of both cohorts over all routes.
    pub fn totals(&self) -> CohortTotals {
        let mut totals = CohortTotals::default();
        for pair in self.routes.values() {
            totals.old.merge(&pair.ever_old);
            totals.new.merge(&pair.new);
        }
        totals
    }

    /// What it comes to; `beside` while the old version has a share as well.
    pub fn judge(&self, criteria: &AnalysisCriteria, has_both: bool) -> Verdict {
        let mut totals = CohortPair::default();
        for p in self.routes.values() {
            totals.old.merge(&p.old);
            totals.new.merge(&p.new);
            totals.recent_old.merge(&p.recent_old);
            totals.recent_new.merge(&p.recent_new);
            totals.ever_old.merge(&p.ever_old);
        }
        let all = totals.ever_old.answered() + totals.new.answered();
        let mut unproven = None;
        let named = self.routes.iter().map(|(route, pair)| (Some(*route), pair));
        for (route, pair) in std::iter::once((None, &totals)).chain(named) {
            let name = route.map_or_else(|| "all routes".to_string(), |r| format!("route {r:08x}"));
            if let Some(why) = bad(&pair.new, &pair.old, &pair.ever_old, criteria, has_both).or_else(|| {
                bad(
                    &pair.recent_new,
                    &pair.recent_old,
                    &pair.ever_old,
                    criteria,
                    has_both,
                )
            }) {
                return Verdict::Bad(format!("{name}: {why}"));
            }
            let part = (pair.ever_old.answered() + pair.new.answered()) / all.max(1.0);
            let wanted = match route {
                None => criteria.min_requests.max(1),
                Some(_) if part > ROUTE_PART => ROUTE_REQUESTS_MIN,
                Some(_) => 0,
            };
            let (base, _) = measure(&pair.old, &pair.ever_old, has_both);
            if loses(&pair.recent_new, base) {
                let why = format!(
                    "{name}: {:.0}% without an answer",
                    100.0 * pair.recent_new.losing()
                );
                unproven.get_or_insert(why);
            } else if pair.new.answered() < wanted as f64 {
                let why = format!("{name}: {:.0} of {wanted} requests", pair.new.answered());
                unproven.get_or_insert(why);
            } else if pair.new.bad >= 3.0
                && pair.new.failing() > base.failing() + criteria.max_errors_above
                && wanted > 0
            {
                let why = format!("{name}: {:.1}% errors", 100.0 * pair.new.failing());
                unproven.get_or_insert(why);
            }
        }
        unproven.map_or(Verdict::Good, Verdict::Unproven)
    }
}

/// What the new version is measured by, and whether it is of the same span. What the
/// old version still ends once all has moved is no measure.
fn measure<'a>(old: &'a OutcomeSums, ever: &'a OutcomeSums, has_both: bool) -> (&'a OutcomeSums, bool) {
    if has_both && old.answered() >= SLOW_ANSWERS {
        (old, true)
    } else {
        (ever, false)
    }
}

/// Whether the new version leaves more tries without an answer than the old one.
fn loses(new: &OutcomeSums, base: &OutcomeSums) -> bool {
    new.lost >= LOST_MIN && new.losing() > base.losing() + LOST_ABOVE
}

/// Why the new version is bad beside the old one, if it is.
fn bad(
    new: &OutcomeSums,
    old: &OutcomeSums,
    ever: &OutcomeSums,
    criteria: &AnalysisCriteria,
    has_both: bool,
) -> Option<String> {
    let (base, fresh) = measure(old, ever, has_both);
    let (n, rate) = (new.answered(), new.failing());
    let usual = base.failing();
    let deviation = DEVIATIONS * (usual.max(0.01) * (1.0 - usual.min(0.99)) / n.max(1.0)).sqrt();
    if new.bad >= BAD_MIN && n >= BAD_OUTCOMES_MIN && rate > usual + criteria.max_errors + deviation {
        return Some(format!(
            "{:.1}% errors, the old version {:.1}%",
            100.0 * rate,
            100.0 * usual
        ));
    }
    // Machines that are lost strike all versions: only what both had in the same
    // span can be compared.
    if fresh && loses(new, base) {
        return Some(format!("{:.0}% without an answer", 100.0 * new.losing()));
    }
    if base.served < SLOW_ANSWERS || new.served < SLOW_ANSWERS {
        return None;
    }
    let stale = if fresh { 1.0 } else { SLOW_STALE };
    let (mean, usual) = (new.mean_ms(), base.mean_ms());
    if mean > usual * criteria.max_mean_ratio * stale + SLOW_MS {
        return Some(format!(
            "answers in {mean:.0} ms, the old version in {usual:.0} ms"
        ));
    }
    let (p95, usual) = (new.p95_ms(), base.p95_ms());
    if fresh && new.served >= P95_ANSWERS && p95 > usual * criteria.max_p95_ratio + SLOW_MS {
        return Some(format!("95% in {p95:.0} ms, the old version in {usual:.0} ms"));
    }
    None
}
