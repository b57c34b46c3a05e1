//! Every constant of the rollouts, with its unit and its reason. The source's
//! 5 minutes, 100 requests, 5%, 1 point, +50 ms and +20% are starting values;
//! here a whole rollout lasts some seconds, and its bounds are the rules'.

use crate::rollout::{AnalysisCriteria, RolloutStage};

/// Share of the traffic in the first stage as a part of what the rule allows a
/// bad version: the draw of each request is luck.
pub const EXPOSURE_PART: f64 = 0.8;
/// Least and most share of the first stage: a part of the whole that gives
/// evidence within seconds, and is borne if it fails.
pub const FIRST_SHARE_RANGE: (f64, f64) = (0.005, 0.08);
/// Share of the second stage: a step between the first and all.
pub const SECOND_SHARE: f64 = 0.3;
/// Observation of the three stages as parts of the rollout's duration: what turns
/// bad late should do so while it has little; the rest
/// is for workers to start and to get warm.
pub const OBSERVE_PARTS: [f64; 3] = [0.32, 0.07, 0.15];
/// Least observation of each stage, ms: reports come twice a second, and what
/// runs on the old workers takes seconds to end.
pub const OBSERVE_MIN_MS: [u64; 3] = [2000, 800, 2000];
/// Most observation of a stage, ms (the source's default of 5 minutes).
pub const OBSERVE_MAX_MS: u64 = 300_000;
/// Workers that a share is put on, as a part of what the old version would use:
/// they are loaded as by the whole, so that what is bad under load shows.
pub const USED_WORKERS_PART: f64 = 0.9;
/// Audit records kept of a service, records.
pub const AUDIT_RECORDS: usize = 24;
/// A node that has not heard the core for this long restores the snapshot by
/// itself, ms: longer than a change of leader takes.
pub const FALLBACK_MS: u64 = 1500;

/// Outcomes before the new version may be promoted: the source asks for 100 in five
/// minutes; a stage here lasts seconds, and this many tell a bad part of a fifth.
pub const REQUESTS_MIN: u64 = 40;
/// The same for each route that carries more than [`ROUTE_PART`] of the traffic.
pub const ROUTE_REQUESTS_MIN: u64 = 15;
/// Part of a service's requests from which a route is judged by itself.
pub const ROUTE_PART: f64 = 0.02;
/// Error rate of the new version above the old one's that blocks promotion
/// (the source's 1 point).
pub const ERRORS_ABOVE: f64 = 0.01;
/// Error rate of the new version that is bad (the source's 5%).
pub const ERRORS_MOST: f64 = 0.05;
/// Errors before a version is called bad.
pub const BAD_MIN: f64 = 6.0;
/// Outcomes before a version is called bad.
pub const BAD_OUTCOMES_MIN: f64 = 12.0;
/// Standard deviations of luck above that.
pub const DEVIATIONS: f64 = 2.0;
/// Part of tries without any answer, above the old version's, that is bad: cuts
/// and lost machines strike both versions, but not evenly.
pub const LOST_ABOVE: f64 = 0.25;
/// Tries without an answer before that counts.
pub const LOST_MIN: f64 = 10.0;
/// Mean response time, times the old version's, that is bad: workers of
/// one version differ by half among themselves.
pub const SLOW_MEAN: f64 = 2.0;
/// 95th percentile of response times, times the old version's, that is bad.
pub const SLOW_P95: f64 = 2.5;
/// The same against figures of the old version from before.
pub const SLOW_STALE: f64 = 1.5;
/// Milliseconds on top of both (the source's 50).
pub const SLOW_MS: f64 = 50.0;
/// Answers before means are compared.
pub const SLOW_ANSWERS: f64 = 25.0;
/// Answers before percentiles are compared.
pub const P95_ANSWERS: f64 = 60.0;
/// What is kept of the recent outcomes from one look to the next.
pub const RECENT_RETENTION: f64 = 0.85;

/// Part of the old version's workers that the new one must have warm before it
/// gets a share, as a multiple of that share, and the most that is asked.
pub const READY_PART: f64 = 0.8;
/// Nodes that have not applied a stage are waited for this long, ms.
pub const APPLIED_WAIT_MS: u64 = 1500;
/// A stage is tried again by the watchdog after this pause, ms.
pub const ACTION_PAUSE_MS: u64 = 400;
/// Quiet on the old workers before the rollout is completed, ms: their outcomes
/// come with the reports, through one relay.
pub const OLD_QUIET_MS: u64 = 1300;
/// Before the term, the rest that is enough to complete all the same, ms: the
/// operator counts from before the order was taken, and reads now and then.
pub const COMPLETION_MARGIN_MS: u64 = 1500;
/// Figures older than this cannot be read, ms: the gate is closed.
pub const MAX_REPORT_AGE_MS: u64 = 2000;
/// Part of all tries that fail at which emergency levels 1, 2 and 3 begin.
pub const EMERGENCY_LEVELS: [f64; 3] = [0.05, 0.3, 0.6];
/// Tries before a level is derived.
pub const EMERGENCY_MIN_ATTEMPTS: f64 = 100.0;
/// Looks in a row before level 2 or 3 is taken for real: one report may hold
/// the end of a machine.
pub const EMERGENCY_CHECKS: u32 = 3;

/// The stages of a rollout that lasts so long, when a bad version may get at
/// most `exposure` of the requests.
pub fn stages(duration_ms: u64, exposure: f64) -> Vec<RolloutStage> {
    let exposure = if exposure > 0.0 { exposure } else { 0.1 };
    let (least, most) = FIRST_SHARE_RANGE;
    let first = (exposure * EXPOSURE_PART).clamp(least, most);
    let shares = [first, SECOND_SHARE.max(first), 1.0];
    let stage = |i: usize| RolloutStage {
        share: shares[i],
        observe_ms: ((duration_ms as f64 * OBSERVE_PARTS[i]) as u64).clamp(OBSERVE_MIN_MS[i], OBSERVE_MAX_MS),
        auto_promote: true,
        criteria: Some(AnalysisCriteria {
            max_errors: ERRORS_MOST,
            max_errors_above: ERRORS_ABOVE,
            max_mean_ratio: SLOW_MEAN,
            max_p95_ratio: SLOW_P95,
            min_requests: REQUESTS_MIN,
        }),
    };
    (0..3).map(stage).collect()
}
