//! The protocol logic of pebblepond on simulated time, network and
//! disks, told what to do by scenarios in small text files. Whatever a scenario
//! does, a few things must hold at every moment; see [`world::World::check`]. What
//! everybody saw of a run is judged by [`checker`].

pub mod checker;
pub mod disk;
pub mod faults;
pub mod front;
pub mod history;
pub mod node;
pub mod run;
pub mod script;
pub mod workers;
pub mod world;
