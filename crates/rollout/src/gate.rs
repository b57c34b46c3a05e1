//! Reasons for which an operator's change of a rollout is refused.

/// Reason why a change of a rollout is not allowed now.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum GateClosed {
    /// No rollout starts or is promoted while the kill switch is on.
    #[error("the kill switch is on")]
    KillSwitch,
    /// The emergency level is too high; the value is the level.
    #[error("the emergency level is {0}")]
    Emergency(u8),
    /// The last report is too old.
    #[error("the figures cannot be read")]
    StaleMetrics,
    /// This node has no metrics of the rollout.
    #[error("there are no figures")]
    NoMetrics,
    /// The metrics do not suffice to evaluate the version.
    #[error("not proven: {0}")]
    Unproven(String),
    /// The version is bad.
    #[error("the version is bad: {0}")]
    BadVersion(String),
    /// The last stage would leave keys without a holder.
    #[error("keys are still held by workers of the old version")]
    KeysRemain,
    /// The service has no rollout.
    #[error("no such rollout")]
    Unknown,
}
