//! The protocol logic of pebblepond on simulated time, network and disks.
//!
//! - [`cluster`] is the simulated system; [`cluster::Cluster::check`] holds at every moment;
//! - [`scenario`] runs small text files of steps on it;
//! - [`plan`] draws random plans of faults and operator requests, [`exploration`] runs them;
//! - [`history`] is what everybody observed of such a run, and [`checker`] says whether it can be
//!   explained by what the system guarantees.

pub mod catch_up;
pub mod checker;
pub mod cluster;
pub mod command_handler;
pub mod configuration;
pub mod disk;
pub mod exploration;
pub mod history;
pub mod node;
pub mod plan;
pub mod scenario;
pub mod worker;
