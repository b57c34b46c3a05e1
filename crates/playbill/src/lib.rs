//! What every part of pebblepond agrees on: the settings file, the operator's
//! configuration, the messages between nodes, the replicated state, and the
//! one file of constants.

pub mod amend;
pub mod config;
pub mod constants;
pub mod delta;
pub mod ledger;
pub mod letters;
pub mod pairing;
pub mod settings;
pub mod span;
pub mod stage;

pub use config::{Configuration, Route, RouteKind, Service};
pub use pairing::{CallId, Calls, Life};
pub use settings::Settings;
pub use stage::Stage;
