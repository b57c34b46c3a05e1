//! Errors of the control state.

use config::ConfigurationError;

/// Why a change is invalid. The text is what the operator is told.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidChange {
    /// The configuration that it leads to is invalid.
    #[error(transparent)]
    Configuration(#[from] ConfigurationError),
    /// Versions only go up.
    #[error("Version {version} is not above the current {current}")]
    VersionNotNewer {
        /// The version of the new configuration.
        version: u64,
        /// The version in force.
        current: u64,
    },
    /// A delta that changes another configuration than the one in force.
    #[error("a change of another configuration")]
    OtherBase,
    /// An entry of the log that cannot be decoded.
    #[error("a change that cannot be read")]
    Undecodable,
}

/// Why the data of a snapshot does not stand for a state.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SnapshotError {
    /// There is none, and the log does not begin here.
    #[error("no data")]
    Empty,
    /// The packed image is cut short.
    #[error("it ends too soon, {bytes} bytes")]
    Truncated {
        /// Packed bytes.
        bytes: usize,
    },
    /// It unpacks to more than any state takes.
    #[error("it unpacks to too much, {bytes} bytes")]
    TooLarge {
        /// Packed bytes.
        bytes: usize,
    },
    /// The image is not the one that was packed.
    #[error("its checksum is another, {bytes} bytes")]
    Checksum {
        /// Packed bytes.
        bytes: usize,
    },
    /// The packed image is malformed.
    #[error("{0}")]
    Unpack(String),
    /// The image is malformed.
    #[error(transparent)]
    Decode(#[from] prost::DecodeError),
    /// The configuration in it is invalid.
    #[error("its configuration cannot be read")]
    Configuration(#[source] ConfigurationError),
}
