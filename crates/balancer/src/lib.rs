//! Load balancing: which worker gets a request, how often a request may be sent, and how much a
//! warming worker bears. Everything a node decides rests on its own counts and on its share of
//! what all nodes may do together.
//!
//! - [`LoadBalancer`] chooses workers (`balancer`, `selection`), of the [`Subset`] of a
//!   service's workers that this node uses, by what it has seen of each (`endpoint`, `warmup`).
//! - [`RetryBudget`] bounds further attempts; [`Attempt`] is the state machine of one.
//! - `rollout_samples` counts outcomes of services that are being rolled out.

mod attempt;
mod balancer;
mod endpoint;
mod retry_budget;
mod rollout_cohort;
mod rollout_samples;
mod selection;
mod subset;
mod warmup;

pub use attempt::{Attempt, AttemptHistory, HeadAction, HeadSummary, IdEcho, Outcome, Phase, PROMISES};
pub use balancer::{LoadBalancer, PeerInfo, SelectedWorker, Selection, SelectionRequest, WorkerObservation};
pub use endpoint::AttemptResult;
pub use retry_budget::RetryBudget;
pub use rollout_samples::{ExposureCounter, SampleLabel};
pub use subset::{Locality, Member, Subset};
