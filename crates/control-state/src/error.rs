//! Errors of the control state.

use config::ConfigurationError;

/// The reason why a change is invalid. The text is shown to the operator.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidChange {
    /// The resulting configuration is invalid.
    #[error(transparent)]
    Configuration(#[from] ConfigurationError),
    /// The version of the new configuration is not above the version in force.
    #[error("Version {version} is not above the current {current}")]
    VersionNotNewer {
        /// The version of the new configuration.
        version: u64,
        /// The version in force.
        current: u64,
    },
    /// The base of a delta is not the configuration in force.
    #[error("a change of another configuration")]
    OtherBase,
    /// The log entry cannot be decoded.
    #[error("a change that cannot be read")]
    Undecodable,
}

/// The reason why the data of a snapshot cannot be read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SnapshotError {
    /// The snapshot has no data although its index is above 0.
    #[error("no data")]
    Empty,
    /// The packed image is truncated.
    #[error("it ends too soon, {bytes} bytes")]
    Truncated {
        /// Size of the packed image, in bytes.
        bytes: usize,
    },
    /// The unpacked image exceeds the size limit.
    #[error("it unpacks to too much, {bytes} bytes")]
    TooLarge {
        /// Size of the packed image, in bytes.
        bytes: usize,
    },
    /// The checksum of the unpacked image does not match.
    #[error("its checksum is another, {bytes} bytes")]
    Checksum {
        /// Size of the packed image, in bytes.
        bytes: usize,
    },
    /// The packed image is malformed, with the decompressor's message.
    #[error("{0}")]
    Unpack(String),
    /// The image is malformed.
    #[error(transparent)]
    Decode(#[from] prost::DecodeError),
    /// The configuration in the image is invalid.
    #[error("its configuration cannot be read")]
    Configuration(#[source] ConfigurationError),
}
