//! Placement: which sites the directory points the clients of each group at,
//! for each service.
//!
//! A site is a region, a client group is a client zone. The method is that of
//! the project's design: a watermark-capped min-cost flow over merged groups,
//! then a second flow that removes tiny flows, with hysteresis.

mod bench;
mod casting;
mod draw;
mod flow;
mod ledger;
mod place;

pub use bench::Bench;
pub use casting::{is_nothing, Caller, Casting, Listed, Scene};
pub use draw::draw;
pub use flow::Network;
pub use ledger::{differs, Ledger};
pub use place::{place, Inputs, Options, Placement};
