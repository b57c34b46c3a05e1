//! A small fleet of real `pebblepond` processes on loopback addresses, with a
//! simulator for the platform, driven over the published HTTP and put to faults.
//!
//! Not used by the program itself. Each node has its own address in 127.0.0.0/8; all
//! nodes have the same ports. Whatever is started is ended, and the folder of the fleet
//! removed, also when this process is killed ([`guard`]).
//!
//! Links are not cut or reset: on loopback that needs privileges, and nodes know each
//! other by the addresses that they listen on, so that no relay can stand between them.
//! A node that is frozen takes the place of one that is cut off.

/// Calls to `control`.
pub mod call;
/// What the answers must add up to.
pub mod checker;
/// The fleet and its faults.
pub mod fleet;
/// The end of all that was started.
pub mod guard;
/// Loopback addresses.
pub mod net;
/// One process.
pub mod node;
/// Callers of `control`.
pub mod operator;
/// Configurations that are sent.
pub mod orders;
/// The simulated platform.
pub mod platform;
/// Which program is started.
pub mod program;
/// The scenarios.
pub mod scenarios;
/// Settings files.
pub mod settings;
/// Soaks: whole fleets under faults in series, judged by what clients, workers and operators saw.
pub mod soak;

/// What keeps a scenario from being run: no statement about the system.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct ScenarioError(String);

impl From<String> for ScenarioError {
    fn from(what: String) -> ScenarioError {
        ScenarioError(what)
    }
}

impl From<&str> for ScenarioError {
    fn from(what: &str) -> ScenarioError {
        ScenarioError(what.into())
    }
}
