//! Rollouts: a service's traffic moves to the workers of a new version in
//! stages, is watched, and goes back to the split that was in force before if
//! the version is bad or the rollout stalls.
//!
//! Pure state machines. What a rollout is at ([`Preview`]) changes only by
//! [`PreviewChange`]s that the log orders; the leader's watchdog ([`Critic`])
//! proposes them from what nodes have counted ([`Tally`]).

mod critic;
mod limits;
mod rollout;
mod tally;

pub use critic::{Critic, Facts, Level, Levels};
pub use limits::{showings, FALLBACK_MS, USE_PART};
pub use rollout::{
    apply, Action, Audit, Create, Preview, PreviewChange, Refusal, Review, Showing, Side, State, Table,
};
pub use tally::{bucket_of, Sums, Tally, Trial, Verdict};
