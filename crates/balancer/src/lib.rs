//! Load balancing: selection of a worker for a request, limits on how often a request is sent, and
//! limits on the load of a warming worker. A node decides from its own counts and from its share of
//! what all nodes together may do.
//!
//! - [`LoadBalancer`] selects workers (`balancer`, `selection`) from the [`Subset`] of a service's
//!   workers that this node uses, based on what it has observed of each (`endpoint`, `warmup`).
//! - [`RetryBudget`] limits further attempts; [`Attempt`] is the state machine of one attempt.
//! - `rollout_samples` counts the results of attempts for services that are in a rollout.

mod attempt;
mod balancer;
mod endpoint;
mod retry_budget;
mod rollout_cohort;
mod rollout_samples;
mod selection;
mod subset;
mod warmup;

pub use attempt::{
    Attempt, AttemptHistory, HeadAction, HeadSummary, IdEcho, Outcome, Phase, NOT_EXECUTED_STATUSES,
};
pub use balancer::{LoadBalancer, PeerInfo, SelectedWorker, Selection, SelectionRequest, WorkerObservation};
pub use endpoint::AttemptResult;
pub use retry_budget::RetryBudget;
pub use rollout_samples::{ExposureCounter, SampleLabel};
pub use subset::{Locality, Member, Subset};
