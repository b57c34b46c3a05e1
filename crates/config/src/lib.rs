//! What a deployment and its operator say: the settings file, the configuration of routes and
//! services, and the constants that several crates share.

mod configuration;
pub mod constants;
mod duration_text;
mod error;
mod modification;
pub mod settings;

pub use configuration::{
    warmup_limit, ClientLimits, Configuration, Route, RouteKind, Service, WeightedService,
};
pub use duration_text::DurationText;
pub use error::{ConfigurationError, SettingsError};
pub use modification::apply_modification;
pub use settings::Settings;
