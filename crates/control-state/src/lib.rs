//! The replicated control state: every node holds a copy; two copies that stand at the same
//! index of the log are equal.

mod command_history;
mod delta;
mod state;

pub use command_history::{body_digest, key_of, order_digests, short_digest, Known, Ledger};
pub use delta::{delta, patch};
pub use state::{encode_change, encode_order, Judgement, Outcome, Stage, KEYS};
