//! What a deployment and its operator say: the settings file, the configuration of routes and
//! services, and the constants that several crates share.

pub mod configuration;
pub mod constants;
pub mod duration_text;
pub mod modify;
pub mod settings;

pub use configuration::{Configuration, Route, RouteKind, Service};
pub use settings::Settings;
