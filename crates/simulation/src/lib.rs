//! The protocol logic of pebblepond on simulated time, network and disks.
//!
//! - [`cluster`] is the simulated system; [`cluster::Cluster::check`] holds at every moment;
//! - [`scenario`] runs small text files of steps on it;
//! - [`plan`] draws random plans of faults and operator requests, [`exploration`] runs them;
//! - [`history`] is what everybody observed of such a run, and [`checker`] says whether it can be
//!   explained by what the system guarantees.

/// How long an absent member takes to catch up.
pub mod catch_up;
/// Whether a history can be explained.
pub mod checker;
/// The simulated system.
pub mod cluster;
/// How a node deals with commands.
pub mod command_handler;
/// Configurations for simulated operators.
pub mod configuration;
/// Simulated disks.
pub mod disk;
/// Runs of random plans.
pub mod exploration;
/// What everybody observed.
pub mod history;
/// Simulated nodes.
pub mod node;
/// Random plans.
pub mod plan;
/// Scenario files.
pub mod scenario;
/// Simulated workers.
pub mod worker;
