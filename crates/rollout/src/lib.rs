//! Rollouts: a service's traffic moves to the workers of a new version in stages. It is observed,
//! and returns to the previous split if the version is bad or the rollout stalls.
//!
//! This crate contains state machines without I/O. The state of a [`Rollout`] changes only by
//! [`RolloutChange`]s in the order of the log; the leader's [`Watchdog`] proposes them based on the
//! outcomes that nodes have counted ([`CohortMetrics`]).

mod change;
mod constants;
mod emergency;
mod gate;
mod metrics;
mod rollout;
mod watchdog;

pub use change::{apply, Refusal, Table};
pub use constants::{stages, CONTACT_LOSS_FALLBACK_MS, USED_WORKERS_FRACTION};
pub use emergency::{EmergencyLevel, EmergencyTracker};
pub use gate::GateClosed;
pub use metrics::{bucket_of, CohortMetrics, CohortSample, CohortTotals, OutcomeSums, Verdict};
pub use rollout::{
    Action, AnalysisCriteria, Audit, Cohort, Create, Rollout, RolloutChange, RolloutStage, State,
};
pub use watchdog::{Conditions, Watchdog};
