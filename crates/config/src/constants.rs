//! The constants that several crates share. Values that depend on the deployment (bounds, limits,
//! addresses) are not defined here: they come from the settings file, the operator and the
//! workers.

mod balancing;
mod control;
mod discovery;
mod gossip;
mod keys;
mod outlier;
mod placement;
mod process;
mod proxy;
mod raft;
mod rollout;
mod storage;
mod transport;
mod warmup;

pub use balancing::*;
pub use control::*;
pub use discovery::*;
pub use gossip::*;
pub use keys::*;
pub use outlier::*;
pub use placement::*;
pub use process::*;
pub use proxy::*;
pub use raft::*;
pub use rollout::*;
pub use storage::*;
pub use transport::*;
pub use warmup::*;
