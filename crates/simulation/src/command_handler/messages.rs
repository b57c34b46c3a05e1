//! What reaches a command handler, what it wants done, and what may be planted in it.

use crate::history::{Reply, Request};
use protocol::{CallId, CommandTag};

/// What may be wrong with a command handler, planted to see that the checker finds it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mutant {
    #[default]
    None,
    /// A leader refuses out of its own copy, without the log, however long it has heard
    /// nobody.
    RefusesByCopy,
    /// It acknowledges once a command is in its own log.
    AcknowledgesEarly,
    /// It answers reads out of its copy, without a round, however long it has heard nobody.
    ReadsCopy,
    /// Calls are paired with answers by a number that restarts with the process.
    PairsByNumber,
    /// Whoever waits for an index is told what came of whatever stands there, also when
    /// another has taken the lead.
    IgnoresTerm,
    /// Commands without a base carry no tag.
    SendsNoTag,
}

/// A command as it travels.
#[derive(Clone, Debug)]
pub struct RoutedCommand {
    /// The number of the command, and of the attempt that it was sent in; the system
    /// does not look at them.
    pub number: u64,
    pub attempt: u64,
    pub request: Request,
    pub body: Vec<u8>,
    /// What it is known by that names no base; given by the node that it reaches.
    pub tag: Option<CommandTag>,
}

/// Who waits for a command.
#[derive(Clone, Debug)]
pub enum Origin {
    /// The connection of an attempt.
    Operator { attempt: u64 },
    /// A node that passed it on.
    Node { name: String, id: CallId },
}

/// What a command handler wants done.
pub enum HandlerAction {
    /// Sends a command to another node.
    Pass {
        to: u64,
        id: CallId,
        command: RoutedCommand,
    },
    Respond {
        origin: Origin,
        reply: Reply,
    },
    /// A command stands in the log at an index and term.
    Logged {
        index: u64,
        term: u64,
        command: u64,
        attempt: u64,
    },
}
