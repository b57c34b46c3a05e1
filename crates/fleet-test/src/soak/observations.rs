//! What the parties of a soak observed on their own sockets. The checker uses nothing else.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Instant;

/// How a client's request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ending {
    /// A complete answer with this status arrived; `matches_request` tells whether it belongs to
    /// this request.
    Answered { status: u16, matches_request: bool },
    /// The connection ended without a complete answer.
    Closed,
    /// The client's deadline passed.
    DeadlinePassed,
    /// The request was not sent completely.
    NotSent,
}

/// A request of a client.
#[derive(Clone, Debug)]
pub struct Request {
    /// The request's `Attempt-Id`.
    pub id: String,
    /// The request's path.
    pub path: String,
    /// Whether the request may run more than once.
    pub is_idempotent: bool,
    /// The node that the request was sent to.
    pub node: u8,
    /// Time at which the last byte was sent, in milliseconds.
    pub sent_at: u64,
    /// Time at which the request ended, in milliseconds.
    pub ended_at: u64,
    /// Shorter of the client's deadline and its route's timeout, in milliseconds.
    pub deadline_ms: u64,
    /// How the request ended.
    pub ending: Ending,
}

/// A request that a worker began to process.
#[derive(Clone, Debug)]
pub struct Run {
    /// The request's `Attempt-Id`.
    pub id: String,
    /// The worker's identifier.
    pub worker: String,
    /// The request's key, for a partitioned service.
    pub key: Option<u32>,
    /// Time at which the run began, in milliseconds.
    pub began_at: u64,
    /// Time at which the work was done and the answer was sent, in milliseconds; `None` if that did
    /// not happen.
    pub ended_at: Option<u64>,
}

/// A range of keys that a worker held.
#[derive(Clone, Debug, PartialEq)]
pub struct KeyLease {
    /// The worker's identifier.
    pub worker: String,
    /// First key of the range.
    pub from: u32,
    /// Last key of the range.
    pub to: u32,
    /// Fencing token.
    pub token: u64,
    /// Time from which the worker held the keys, in milliseconds.
    pub since: u64,
    /// Time until which the worker held the keys, in milliseconds: the lease's expiry, its release
    /// or the worker's end.
    pub until: u64,
}

/// What is known about a worker.
#[derive(Clone, Debug, Default)]
pub struct WorkerFacts {
    /// The worker's zone.
    pub zone: String,
    /// Time from which the platform's list showed the worker as draining, in milliseconds.
    pub draining_at: Option<u64>,
    /// Time at which the worker's process ended, in milliseconds.
    pub ended_at: Option<u64>,
}

/// What an operator's command requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommandKind {
    /// Begins an evacuation, or finishes the one that this operator began.
    Evacuation { zone: String, begin: bool },
    /// Replaces the configuration, with this version and with or without the extra route.
    Configuration { version: u64, has_extra_route: bool },
}

/// A command of an operator.
#[derive(Clone, Debug)]
pub struct Command {
    /// Number of the operator, which sends one command after the other.
    pub operator: usize,
    /// What the command requests.
    pub kind: CommandKind,
    /// Time at which the first attempt was sent, in milliseconds.
    pub sent_at: u64,
    /// Time at which the last attempt was sent, in milliseconds.
    pub last_sent_at: u64,
    /// Time at which an attempt was acknowledged, in milliseconds. Lost answers do not count.
    pub acknowledged_at: Option<u64>,
    /// Whether the command was refused permanently.
    pub is_refused: bool,
}

/// The kind of a fault at a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NodeFaultKind {
    /// The process was killed, and is down until the end of the fault.
    Killed,
    /// The process was suspended.
    Frozen,
    /// The process was asked to shut down, and is down until the end of the fault once it has
    /// ended.
    Terminated,
    /// The process was asked to reload its settings.
    SettingsReload,
}

/// A fault that was injected at a node.
#[derive(Clone, Debug)]
pub struct NodeFault {
    /// The kind of the fault.
    pub kind: NodeFaultKind,
    /// The node's number.
    pub node: u8,
    /// Whether the node is a voter.
    pub is_voter: bool,
    /// Time at which the fault began, in milliseconds.
    pub at: u64,
    /// Time at which the process ran again, in milliseconds; `u64::MAX` while the fault lasts.
    pub until: u64,
}

/// Everything that was observed.
#[derive(Clone, Debug, Default)]
pub struct Observations {
    /// Requests in the order in which they ended.
    pub requests: Vec<Request>,
    /// Runs in the order in which they began.
    pub runs: Vec<Run>,
    /// Key leases in the order in which they were granted.
    pub key_leases: Vec<KeyLease>,
    /// Workers by identifier.
    pub workers: BTreeMap<String, WorkerFacts>,
    /// Commands in the order in which they were first sent.
    pub commands: Vec<Command>,
    /// Faults in the order in which they began.
    pub node_faults: Vec<NodeFault>,
    /// The zones that were evacuated according to the status read at the end.
    pub evacuated_at_end: Option<Vec<String>>,
    /// The zones that stay evacuated although they were finished once more at the end.
    pub evacuated_after_further_finish: Vec<String>,
    /// The version read at the end and the time of that read in milliseconds.
    pub read_back: Option<(u64, u64)>,
}

/// The record that all parties write to.
#[derive(Clone)]
pub struct Record {
    seen: Rc<RefCell<Observations>>,
    started_at: Instant,
}

impl Default for Record {
    fn default() -> Self {
        Record {
            seen: Rc::default(),
            started_at: Instant::now(),
        }
    }
}

impl Record {
    /// Returns the milliseconds since the soak began.
    pub fn now(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64
    }

    /// Applies a change to the observations.
    pub fn update<T>(&self, change: impl FnOnce(&mut Observations) -> T) -> T {
        change(&mut self.seen.borrow_mut())
    }

    /// Returns a copy of the observations so far.
    pub fn observations(&self) -> Observations {
        self.seen.borrow().clone()
    }
}
