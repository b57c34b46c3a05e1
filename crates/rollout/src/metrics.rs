//! Outcomes of the two versions as counted by the nodes, and their evaluation.

use crate::constants::{
    ERROR_RATE_DEVIATIONS, MAX_EXCESS_LOST, MIN_ERRORS, MIN_LOST, MIN_OUTCOMES, MIN_RESPONSES_FOR_MEAN,
    MIN_RESPONSES_FOR_P95, MIN_ROUTE_FRACTION, MIN_ROUTE_REQUESTS, RECENT_RETENTION, RESPONSE_MARGIN_MS,
    STALE_BASELINE_FACTOR,
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
    /// Whether the outcomes are of the new version; otherwise they are of the old one.
    #[prost(bool, tag = "3")]
    pub new: bool,
    /// Number of responses that were not errors.
    #[prost(uint64, tag = "4")]
    pub served: u64,
    /// Number of error responses of the worker itself.
    #[prost(uint64, tag = "5")]
    pub bad: u64,
    /// Attempts without a response.
    #[prost(uint64, tag = "6")]
    pub lost: u64,
    /// Sum of the response times of the served requests, in milliseconds.
    #[prost(double, tag = "7")]
    pub ms: f64,
    /// Response time buckets, as returned by [`bucket_of`], that contain responses.
    #[prost(uint32, repeated, tag = "8")]
    pub buckets: Vec<u32>,
    /// Number of responses in each of these buckets.
    #[prost(uint32, repeated, tag = "9")]
    pub counts: Vec<u32>,
    /// The rollout to which the outcomes belong, by the log index at which it was created.
    #[prost(uint64, tag = "10")]
    pub created_index: u64,
}

impl CohortSample {
    /// Adds another node's outcomes for the same service, route, version and rollout.
    pub fn merge(&mut self, other: &CohortSample) {
        self.served += other.served;
        self.bad += other.bad;
        self.lost += other.lost;
        self.ms += other.ms;
        let mut sums: BTreeMap<u32, u32> = BTreeMap::new();
        let own_buckets = self.buckets.iter().zip(&self.counts);
        for (bucket, count) in own_buckets.chain(other.buckets.iter().zip(&other.counts)) {
            *sums.entry(*bucket).or_default() += count;
        }
        (self.buckets, self.counts) = sums.into_iter().unzip();
    }

    /// Returns whether another sample is of the same service, route, version and rollout.
    pub fn is_same(&self, other: &CohortSample) -> bool {
        (self.service, self.route, self.new, self.created_index)
            == (other.service, other.route, other.new, other.created_index)
    }
}

/// Returns the histogram bucket of a response time in milliseconds. There are two buckets for each
/// doubling of the time.
pub fn bucket_of(ms: f64) -> u32 {
    (ms.max(1.0).log2() * 2.0).min(63.0) as u32
}

/// Returns the upper end of a bucket, in milliseconds.
fn bucket_end(bucket: u32) -> f64 {
    2f64.powf(f64::from(bucket + 1) / 2.0)
}

/// Sums of outcomes, which may decay.
#[derive(Clone, Debug, Default)]
pub struct OutcomeSums {
    /// Number of responses that were not errors.
    pub served: f64,
    /// Number of error responses of the worker itself.
    pub errors: f64,
    /// Attempts without a response.
    pub unanswered: f64,
    /// Sum of the response times, in milliseconds.
    pub response_ms: f64,
    buckets: BTreeMap<u32, f64>,
}

impl OutcomeSums {
    /// Adds a sample.
    pub fn add(&mut self, sample: &CohortSample) {
        self.served += sample.served as f64;
        self.errors += sample.bad as f64;
        self.unanswered += sample.lost as f64;
        self.response_ms += sample.ms;
        for (bucket, count) in sample.buckets.iter().zip(&sample.counts) {
            *self.buckets.entry(*bucket).or_default() += f64::from(*count);
        }
    }

    fn merge(&mut self, other: &OutcomeSums) {
        self.served += other.served;
        self.errors += other.errors;
        self.unanswered += other.unanswered;
        self.response_ms += other.response_ms;
        for (bucket, count) in &other.buckets {
            *self.buckets.entry(*bucket).or_default() += count;
        }
    }

    fn decay(&mut self, retention: f64) {
        self.served *= retention;
        self.errors *= retention;
        self.unanswered *= retention;
        self.response_ms *= retention;
        for count in self.buckets.values_mut() {
            *count *= retention;
        }
    }

    /// Returns the number of responses, errors included.
    pub fn answered(&self) -> f64 {
        self.served + self.errors
    }
    fn error_rate(&self) -> f64 {
        self.errors / self.answered().max(1e-9)
    }
    fn lost_rate(&self) -> f64 {
        self.unanswered / (self.answered() + self.unanswered).max(1e-9)
    }
    fn mean_ms(&self) -> f64 {
        self.response_ms / self.served.max(1e-9)
    }
    fn p95_ms(&self) -> f64 {
        let target = self.buckets.values().sum::<f64>() * 0.95;
        let mut sum = 0.0;
        for (bucket, count) in &self.buckets {
            sum += count;
            if sum >= target {
                return bucket_end(*bucket);
            }
        }
        0.0
    }
}

/// Result of evaluating the metrics of a version.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// The version may be promoted.
    Good,
    /// The evidence is not sufficient, or the version is near a limit; the text is the reason.
    Unproven(String),
    /// The version must be rolled back; the text is the reason.
    Bad(String),
}

/// Outcomes of both cohorts over all routes.
#[derive(Clone, Debug, Default)]
pub struct CohortTotals {
    /// Outcomes of the old versions since the start of the rollout.
    pub old: OutcomeSums,
    /// Outcomes of the new version in the current stage.
    pub new: OutcomeSums,
}

#[derive(Clone, Debug, Default)]
struct CohortPair {
    old: OutcomeSums,
    new: OutcomeSums,
    recent_old: OutcomeSums,
    recent_new: OutcomeSums,
    /// Outcomes of the old version since the start of the rollout.
    old_since_start: OutcomeSums,
}

/// Outcomes of one rollout.
#[derive(Clone, Debug, Default)]
pub struct CohortMetrics {
    routes: BTreeMap<u32, CohortPair>,
    /// Attempts on the old version since the last check.
    pub old_outcomes: f64,
}

impl CohortMetrics {
    /// Adds a sample.
    pub fn add(&mut self, sample: &CohortSample) {
        let pair = self.routes.entry(sample.route).or_default();
        if sample.new {
            pair.new.add(sample);
            pair.recent_new.add(sample);
        } else {
            pair.old.add(sample);
            pair.recent_old.add(sample);
            pair.old_since_start.add(sample);
            self.old_outcomes += (sample.served + sample.bad + sample.lost) as f64;
        }
    }

    /// Starts a new stage. Outcomes of earlier stages are dropped, except the old version's
    /// outcomes since the start of the rollout.
    pub fn next_stage(&mut self) {
        for pair in self.routes.values_mut() {
            let old_since_start = std::mem::take(&mut pair.old_since_start);
            *pair = CohortPair {
                old_since_start,
                ..CohortPair::default()
            };
        }
    }

    /// Lets the recent outcomes decay.
    pub fn decay(&mut self) {
        for pair in self.routes.values_mut() {
            pair.recent_old.decay(RECENT_RETENTION);
            pair.recent_new.decay(RECENT_RETENTION);
        }
    }

    /// Returns the number of responses of the new version in the current stage.
    pub fn new_answers(&self) -> f64 {
        self.routes.values().map(|pair| pair.new.answered()).sum()
    }

    /// Returns the outcomes of both cohorts over all routes.
    pub fn totals(&self) -> CohortTotals {
        let mut totals = CohortTotals::default();
        for pair in self.routes.values() {
            totals.old.merge(&pair.old_since_start);
            totals.new.merge(&pair.new);
        }
        totals
    }

    /// Evaluates the new version. `has_both` says whether the old version has a share of the
    /// traffic as well.
    pub fn evaluate(&self, criteria: &AnalysisCriteria, has_both: bool) -> Verdict {
        let mut totals = CohortPair::default();
        for pair in self.routes.values() {
            totals.old.merge(&pair.old);
            totals.new.merge(&pair.new);
            totals.recent_old.merge(&pair.recent_old);
            totals.recent_new.merge(&pair.recent_new);
            totals.old_since_start.merge(&pair.old_since_start);
        }
        let total_responses = totals.old_since_start.answered() + totals.new.answered();
        let mut unproven = None;
        let by_route = self.routes.iter().map(|(route, pair)| (Some(*route), pair));
        for (route, pair) in std::iter::once((None, &totals)).chain(by_route) {
            let name = route.map_or_else(|| "all routes".to_string(), |r| format!("route {r:08x}"));
            if let Some(why) = find_fault(&pair.new, &pair.old, &pair.old_since_start, criteria, has_both)
                .or_else(|| {
                    find_fault(
                        &pair.recent_new,
                        &pair.recent_old,
                        &pair.old_since_start,
                        criteria,
                        has_both,
                    )
                })
            {
                return Verdict::Bad(format!("{name}: {why}"));
            }
            let route_fraction =
                (pair.old_since_start.answered() + pair.new.answered()) / total_responses.max(1.0);
            let required = match route {
                None => criteria.min_requests.max(1),
                Some(_) if route_fraction > MIN_ROUTE_FRACTION => MIN_ROUTE_REQUESTS,
                Some(_) => 0,
            };
            let (reference, _) = baseline(&pair.old, &pair.old_since_start, has_both);
            if loses_more(&pair.recent_new, reference) {
                let why = format!(
                    "{name}: {:.0}% without an answer",
                    100.0 * pair.recent_new.lost_rate()
                );
                unproven.get_or_insert(why);
            } else if pair.new.answered() < required as f64 {
                let why = format!("{name}: {:.0} of {required} requests", pair.new.answered());
                unproven.get_or_insert(why);
            } else if pair.new.errors >= 3.0
                && pair.new.error_rate() > reference.error_rate() + criteria.max_errors_above
                && required > 0
            {
                let why = format!("{name}: {:.1}% errors", 100.0 * pair.new.error_rate());
                unproven.get_or_insert(why);
            }
        }
        unproven.map_or(Verdict::Good, Verdict::Unproven)
    }
}

/// Returns the outcomes with which the new version is compared, and whether they are from the same
/// time. Once all traffic has moved, the last requests of the old version are no basis for
/// comparison.
fn baseline<'a>(
    old: &'a OutcomeSums,
    old_since_start: &'a OutcomeSums,
    has_both: bool,
) -> (&'a OutcomeSums, bool) {
    if has_both && old.answered() >= MIN_RESPONSES_FOR_MEAN {
        (old, true)
    } else {
        (old_since_start, false)
    }
}

/// Returns whether the new version leaves more attempts without a response than the old one.
fn loses_more(new: &OutcomeSums, old: &OutcomeSums) -> bool {
    new.unanswered >= MIN_LOST && new.lost_rate() > old.lost_rate() + MAX_EXCESS_LOST
}

/// Returns why the new version is bad compared with the old one, or `None` if it is not.
fn find_fault(
    new: &OutcomeSums,
    old: &OutcomeSums,
    old_since_start: &OutcomeSums,
    criteria: &AnalysisCriteria,
    has_both: bool,
) -> Option<String> {
    let (reference, is_concurrent) = baseline(old, old_since_start, has_both);
    let (responses, rate) = (new.answered(), new.error_rate());
    let usual = reference.error_rate();
    let deviation =
        ERROR_RATE_DEVIATIONS * (usual.max(0.01) * (1.0 - usual.min(0.99)) / responses.max(1.0)).sqrt();
    if new.errors >= MIN_ERRORS && responses >= MIN_OUTCOMES && rate > usual + criteria.max_errors + deviation
    {
        return Some(format!(
            "{:.1}% errors, the old version {:.1}%",
            100.0 * rate,
            100.0 * usual
        ));
    }
    // Lost machines affect all versions, so only attempts from the same time can be compared.
    if is_concurrent && loses_more(new, reference) {
        return Some(format!("{:.0}% without an answer", 100.0 * new.lost_rate()));
    }
    if reference.served < MIN_RESPONSES_FOR_MEAN || new.served < MIN_RESPONSES_FOR_MEAN {
        return None;
    }
    let tolerance = if is_concurrent { 1.0 } else { STALE_BASELINE_FACTOR };
    let (mean, usual) = (new.mean_ms(), reference.mean_ms());
    if mean > usual * criteria.max_mean_ratio * tolerance + RESPONSE_MARGIN_MS {
        return Some(format!(
            "answers in {mean:.0} ms, the old version in {usual:.0} ms"
        ));
    }
    let (p95, usual) = (new.p95_ms(), reference.p95_ms());
    if is_concurrent
        && new.served >= MIN_RESPONSES_FOR_P95
        && p95 > usual * criteria.max_p95_ratio + RESPONSE_MARGIN_MS
    {
        return Some(format!("95% in {p95:.0} ms, the old version in {usual:.0} ms"));
    }
    None
}
