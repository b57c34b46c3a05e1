//! Constants of rollouts. The source's 5 minutes, 100 requests, 5%, 1 point, +50 ms and +20% are
//! starting values; here a whole rollout lasts some seconds, and its bounds are those of the rules.

use crate::rollout::{AnalysisCriteria, RolloutStage};

/// Share of the first stage, as a fraction of the traffic that a bad version may receive. It is
/// below 1 because requests are drawn at random.
pub const EXPOSURE_FRACTION: f64 = 0.8;
/// Minimum and maximum share of the first stage: enough traffic to give evidence within seconds,
/// and little enough to tolerate if the version fails.
pub const FIRST_SHARE_RANGE: (f64, f64) = (0.005, 0.08);
/// Share of the second stage, a step between the first stage and all traffic.
pub const SECOND_SHARE: f64 = 0.3;
/// Observation times of the three stages, as fractions of the rollout's duration. The first is the
/// longest, so that a version that turns bad late does so while its share is small. The remaining
/// time is for workers to start and warm up.
pub const OBSERVE_FRACTIONS: [f64; 3] = [0.32, 0.07, 0.15];
/// Minimum observation time of each stage, in milliseconds. Reports arrive twice per second, and
/// requests on the old workers take seconds to complete.
pub const OBSERVE_MIN_MS: [u64; 3] = [2000, 800, 2000];
/// Maximum observation time of a stage, in milliseconds (the source's default of 5 minutes).
pub const OBSERVE_MAX_MS: u64 = 300_000;
/// Number of workers that receive a share, as a fraction of the number that the old version would
/// use for it. They are loaded as they would be with all traffic, so that faults under load show.
pub const USED_WORKERS_FRACTION: f64 = 0.9;
/// Maximum number of audit records kept per service.
pub const AUDIT_RECORDS: usize = 24;
/// Time without contact to the core after which a node returns to the previous versions by itself,
/// in milliseconds. It is longer than a change of leader takes.
pub const CONTACT_LOSS_FALLBACK_MS: u64 = 1500;

/// Number of outcomes required before the new version may be promoted. The source asks for 100 in
/// five minutes; a stage here lasts seconds, and this number reveals a fault in a fifth of the
/// outcomes.
pub const MIN_REQUESTS: u64 = 40;
/// Number of outcomes required on each route that carries more than [`MIN_ROUTE_FRACTION`] of the
/// traffic.
pub const MIN_ROUTE_REQUESTS: u64 = 15;
/// Fraction of a service's requests above which a route must have enough outcomes of its own.
pub const MIN_ROUTE_FRACTION: f64 = 0.02;
/// Excess of the new version's error rate over the old version's that blocks promotion (the
/// source's 1 point).
pub const PROMOTION_MAX_EXCESS_ERRORS: f64 = 0.01;
/// Excess of the new version's error rate over the old version's above which the new version is bad
/// (the source's 5%).
pub const MAX_EXCESS_ERRORS: f64 = 0.05;
/// Number of errors required before a version is considered bad.
pub const MIN_ERRORS: f64 = 6.0;
/// Number of outcomes required before a version is considered bad.
pub const MIN_OUTCOMES: f64 = 12.0;
/// Number of standard deviations that are added to the limit of the error rate.
pub const ERROR_RATE_DEVIATIONS: f64 = 2.0;
/// Excess of the new version's fraction of attempts without a response over the old version's that
/// is bad. It is high because network partitions and lost machines affect both versions, but not
/// evenly.
pub const MAX_EXCESS_LOST: f64 = 0.25;
/// Number of attempts without a response required before that limit applies.
pub const MIN_LOST: f64 = 10.0;
/// Ratio of the mean response times, new to old version, that is bad. Workers of one version differ
/// by half among themselves.
pub const MAX_MEAN_RATIO: f64 = 2.0;
/// Ratio of the 95th percentiles of response times, new to old version, that is bad.
pub const MAX_P95_RATIO: f64 = 2.5;
/// Factor on the allowed ratio of mean response times if the old version's figures are from an
/// earlier time.
pub const STALE_BASELINE_FACTOR: f64 = 1.5;
/// Margin added to both limits on response times, in milliseconds (the source's 50).
pub const RESPONSE_MARGIN_MS: f64 = 50.0;
/// Number of responses required before means are compared.
pub const MIN_RESPONSES_FOR_MEAN: f64 = 25.0;
/// Number of responses required before percentiles are compared.
pub const MIN_RESPONSES_FOR_P95: f64 = 60.0;
/// Fraction of the recent outcomes that is kept from one check to the next.
pub const RECENT_RETENTION: f64 = 0.85;

/// Number of warm workers that the new version needs before it gets a share, as a fraction of the
/// old version's workers times the share.
pub const READY_FRACTION: f64 = 0.8;
/// Maximum time to wait for nodes that have not applied a stage, in milliseconds.
pub const APPLIED_WAIT_MS: u64 = 1500;
/// Minimum time between two actions of the watchdog on a rollout, in milliseconds.
pub const ACTION_PAUSE_MS: u64 = 400;
/// Time without outcomes from the old workers after which the rollout may be completed, in
/// milliseconds. Outcomes arrive with the reports, which pass through one relay.
pub const OLD_IDLE_MS: u64 = 1300;
/// Remaining time before the deadline in which a rollout is completed even if old workers still
/// report outcomes, in milliseconds. The operator counts from before the command was accepted, and
/// reads the state only now and then.
pub const COMPLETION_MARGIN_MS: u64 = 1500;
/// Age of the last report above which the gate is closed, in milliseconds.
pub const MAX_REPORT_AGE_MS: u64 = 2000;
/// Fractions of failed attempts at which emergency levels 1, 2 and 3 begin.
pub const EMERGENCY_LEVELS: [f64; 3] = [0.05, 0.3, 0.6];
/// Number of attempts required before a level is derived.
pub const EMERGENCY_MIN_ATTEMPTS: f64 = 100.0;
/// Number of consecutive checks required before level 2 or 3 takes effect. One report may contain
/// the failure of a machine.
pub const EMERGENCY_CHECKS: u32 = 3;

/// Returns the stages of a rollout that lasts `duration_ms` milliseconds, if a bad version may
/// receive at most the fraction `exposure` of the requests.
pub fn stages(duration_ms: u64, exposure: f64) -> Vec<RolloutStage> {
    let exposure = if exposure > 0.0 { exposure } else { 0.1 };
    let (min_share, max_share) = FIRST_SHARE_RANGE;
    let first = (exposure * EXPOSURE_FRACTION).clamp(min_share, max_share);
    let shares = [first, SECOND_SHARE.max(first), 1.0];
    let stage = |i: usize| RolloutStage {
        share: shares[i],
        observe_ms: ((duration_ms as f64 * OBSERVE_FRACTIONS[i]) as u64)
            .clamp(OBSERVE_MIN_MS[i], OBSERVE_MAX_MS),
        auto_promote: true,
        criteria: Some(AnalysisCriteria {
            max_errors: MAX_EXCESS_ERRORS,
            max_errors_above: PROMOTION_MAX_EXCESS_ERRORS,
            max_mean_ratio: MAX_MEAN_RATIO,
            max_p95_ratio: MAX_P95_RATIO,
            min_requests: MIN_REQUESTS,
        }),
    };
    (0..3).map(stage).collect()
}
