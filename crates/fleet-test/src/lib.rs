//! A small fleet of real `pebblepond` processes on loopback addresses, with a simulated platform.
//! It is driven over the public HTTP interfaces and exposed to injected faults.
//!
//! The `pebblepond` program itself does not use this crate. Each node has its own address in
//! 127.0.0.0/8; all nodes use the same ports. All started processes are ended and the fleet's
//! folder is removed, even when this process is killed ([`guard`]).
//!
//! Links are not cut or reset: on loopback that needs privileges, and nodes know each other by the
//! addresses that they listen on, so no relay can be placed between them. A frozen node stands in
//! for a partitioned one.

/// Calls to `control`.
pub mod call;
/// Checks on the answers to `control` calls.
pub mod checker;
/// The fleet and the faults injected into it.
pub mod fleet;
/// Cleanup of the fleet's processes and folder.
pub mod guard;
/// Loopback addresses and ports.
pub mod net;
/// A node's process.
pub mod node;
/// Clients of `control`.
pub mod operator;
/// Configurations that are sent.
pub mod orders;
/// The simulated platform.
pub mod platform;
/// Lookup of the program under test.
pub mod program;
/// The scenarios.
pub mod scenarios;
/// Settings files.
pub mod settings;
/// Soak tests: fleets under series of faults, checked by what clients, workers and operators
/// observed.
pub mod soak;

/// A reason why a scenario could not be run. It says nothing about the system under test.
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
