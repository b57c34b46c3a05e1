//! What a deployment and its operator say: the settings file, the configuration of routes and
//! services, and the constants that several crates share.

mod configuration;
/// Constants that several crates share, with unit and reason.
pub mod constants;
mod duration_text;
mod error;
mod modification;
/// The settings file of a node.
pub mod settings;
/// Times of Raft and of the membership protocol.
pub mod timing;

pub use configuration::{
    warmup_limit, ClientLimits, Configuration, Route, RouteKind, Service, WeightedService,
};
pub use duration_text::DurationText;
pub use error::{ConfigurationError, SettingsError};
pub use modification::apply_modification;
pub use settings::Settings;
