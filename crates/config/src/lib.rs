//! Configuration of pebblepond: the settings file of a node, the operator's configuration of routes
//! and services, and the constants that several crates share.

mod configuration;
/// Constants that several crates share.
pub mod constants;
mod duration_text;
mod error;
mod modification;
/// The settings file of a node.
pub mod settings;
/// Timeouts and intervals of Raft and of the membership protocol.
pub mod timing;

pub use configuration::{
    warmup_limit, ClientLimits, Configuration, Route, RouteKind, Service, WeightedService,
};
pub use duration_text::DurationText;
pub use error::{ConfigurationError, SettingsError};
pub use modification::apply_modification;
pub use settings::Settings;
