//! Agreement: one elected leader orders changes in a log that a majority of
//! the voters has on disk.
//!
//! A pure state machine. Inputs (time, messages, proposals, word that a write
//! reached the disk) go in; effects (messages, writes, committed entries) come
//! out through [`Prompter::take_effects`].

mod cue;
mod fragment;
mod losses;
mod machine;
mod near;
mod progress;
mod tend;

pub use cue::{Cue, CueKind, Entry, EntryKind, Roll, Snapshot, Voter};
pub use losses::{bears, Losses};
pub use near::{FollowTiming, Following, Source};
pub use tend::{bears_loss, may_end, next_roll, Patience, Seen};

pub use machine::{Effects, Prompter, Role, Saved, Timing, Write};
