//! Rollouts: a service's traffic moves to the workers of a new version in stages, is watched,
//! and goes back to the split that was in force before if the version is bad or the rollout
//! stalls.
//!
//! Pure state machines. Where a [`Rollout`] stands changes only by [`RolloutChange`]s that the
//! log orders; the leader's [`Watchdog`] proposes them from what nodes have counted
//! ([`CohortMetrics`]).

mod change;
mod constants;
mod emergency;
mod gate;
mod metrics;
mod rollout;
mod watchdog;

pub use change::{apply, Refusal, Table};
pub use constants::{stages, FALLBACK_MS, USED_WORKERS_PART};
pub use emergency::{EmergencyLevel, EmergencyTracker};
pub use gate::GateClosed;
pub use metrics::{bucket_of, CohortMetrics, CohortSample, CohortTotals, OutcomeSums, Verdict};
pub use rollout::{
    Action, AnalysisCriteria, Audit, Cohort, Create, Rollout, RolloutChange, RolloutStage, State,
};
pub use watchdog::{Conditions, Watchdog};
