//! Messages between nodes, and the changes that the log orders.

mod correlation;
mod messages;

pub use correlation::{CallId, Calls, Life, Unknown};
pub use messages::*;
