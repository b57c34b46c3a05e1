//! The inputs and actions of a command handler, and the faults that tests plant in it.

use crate::history::{Reply, Request};
use protocol::{CallId, CommandTag};

/// A fault planted in a command handler to show that the checker finds it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mutant {
    #[default]
    None,
    /// A leader refuses commands by its own replica, without the log, however long it has been
    /// out of contact.
    RefusesByCopy,
    /// A leader acknowledges a command as soon as it is in its own log.
    AcknowledgesEarly,
    /// A leader answers reads from its replica without confirmation by a majority, however long it
    /// has been out of contact.
    ReadsCopy,
    /// Calls are matched with answers by a number that restarts with the process.
    PairsByNumber,
    /// A command that waits for an index gets the outcome of whatever entry is there, even if
    /// another leader has written it.
    IgnoresTerm,
    /// Commands without a base carry no tag.
    SendsNoTag,
}

/// A command with its routing data.
#[derive(Clone, Debug)]
pub struct RoutedCommand {
    /// Number of the command. Like `attempt`, it is used only by the checker, not by the system.
    pub number: u64,
    /// Number of the attempt in which the command was sent.
    pub attempt: u64,
    pub request: Request,
    pub body: Vec<u8>,
    /// Identifies a command without a base; set by the node that the operator sent it to.
    pub tag: Option<CommandTag>,
}

/// The origin of a command, which waits for its reply.
#[derive(Clone, Debug)]
pub enum Origin {
    /// An operator, on the connection of an attempt.
    Operator { attempt: u64 },
    /// A node that forwarded the command.
    Node { name: String, id: CallId },
}

/// An action that a command handler requests.
pub enum HandlerAction {
    /// Forwards a command to another node.
    Forward {
        to: u64,
        id: CallId,
        command: RoutedCommand,
    },
    Respond {
        origin: Origin,
        reply: Reply,
    },
    /// A command is in the log at `index` and `term`.
    Logged {
        index: u64,
        term: u64,
        command: u64,
        attempt: u64,
    },
}
