//! The protocol logic of pebblepond on simulated time, network and disks.
//!
//! - [`cluster`] is the simulated system; [`cluster::Cluster::check`] must succeed at every moment;
//! - [`scenario`] runs text files of steps on a cluster;
//! - [`plan`] generates random plans of faults and operator requests, [`exploration`] runs them;
//! - [`history`] records the observations of such a run, and [`checker`] decides whether they are
//!   consistent with the guarantees of the system.

/// Measures how long an absent member takes to catch up.
pub mod catch_up;
/// Checks histories against the guarantees of the system.
pub mod checker;
/// The simulated system.
pub mod cluster;
/// Command handling of a node.
pub mod command_handler;
/// Configurations for simulated operators.
pub mod configuration;
/// Simulated disks.
pub mod disk;
/// Execution of random plans.
pub mod exploration;
/// Recorded observations of a run.
pub mod history;
/// Simulated nodes.
pub mod node;
/// Random plans.
pub mod plan;
/// Scenario files.
pub mod scenario;
/// Simulated workers.
pub mod worker;
