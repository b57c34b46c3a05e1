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

pub mod call;
pub mod checker;
pub mod fleet;
pub mod guard;
pub mod net;
pub mod node;
pub mod operator;
pub mod orders;
pub mod platform;
pub mod program;
pub mod scenarios;
pub mod settings;

/// What keeps a scenario from being run: no statement about the system.
pub type ScenarioError = String;
