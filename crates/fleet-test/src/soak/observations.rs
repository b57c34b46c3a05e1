//! What the parties of a soak saw, each on its own sockets: the only thing that is judged.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Instant;

/// How a client's request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ending {
    /// With a whole answer of this status; whether it was that to this request.
    Answered { status: u16, is_own: bool },
    /// The connection ended without a whole answer.
    Closed,
    /// The client's deadline passed.
    DeadlinePassed,
    /// It was not sent whole.
    NotSent,
}

/// A request of a client.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its `Attempt-Id`.
    pub id: String,
    /// Its path.
    pub path: String,
    /// Whether it may run more than once.
    pub is_repeatable: bool,
    /// The node that it was sent to.
    pub node: u8,
    /// When its last byte was sent, ms.
    pub sent_at: u64,
    /// When it ended, ms.
    pub ended_at: u64,
    /// What the client waits, and the timeout of its route if that is shorter, ms.
    pub deadline_ms: u64,
    /// How it ended.
    pub ending: Ending,
}

/// A request that a worker began to work on.
#[derive(Clone, Debug)]
pub struct Run {
    /// The `Attempt-Id`.
    pub id: String,
    /// The worker.
    pub worker: String,
    /// The key, at a partitioned service.
    pub key: Option<u32>,
    /// When it began, ms.
    pub began_at: u64,
    /// When the work was done and the answer handed over, ms; `None` if it never was.
    pub ended_at: Option<u64>,
}

/// Keys that a worker held.
#[derive(Clone, Debug, PartialEq)]
pub struct Hold {
    /// The worker.
    pub worker: String,
    /// First key.
    pub from: u32,
    /// Last key.
    pub to: u32,
    /// Fencing token.
    pub token: u64,
    /// From when on, ms.
    pub since: u64,
    /// Until when, ms: the end of its time, its release or its worker's end.
    pub until: u64,
}

/// A worker.
#[derive(Clone, Debug, Default)]
pub struct WorkerFacts {
    /// Its zone.
    pub zone: String,
    /// When the list showed it as draining, ms.
    pub draining_at: Option<u64>,
    /// When its process ended, ms.
    pub ended_at: Option<u64>,
}

/// What an order of the operator asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderKind {
    /// To begin an evacuation, or to end the one that this operator began.
    Evacuation { zone: String, begin: bool },
    /// A configuration: its version, and whether it has the route that comes and goes.
    Configuration { version: u64, has_extra_route: bool },
}

/// An order of an operator.
#[derive(Clone, Debug)]
pub struct Order {
    /// Who gave it; an operator gives one order after the other.
    pub operator: usize,
    /// What it asks for.
    pub kind: OrderKind,
    /// When its first attempt was sent, ms.
    pub sent_at: u64,
    /// When an attempt was answered well, ms; answers that were lost count as none.
    pub acknowledged_at: Option<u64>,
    /// It was refused for good.
    pub is_refused: bool,
}

/// What befell a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TroubleKind {
    /// Its process was killed, and is down until the end of the trouble.
    Killed,
    /// Its process stood still.
    Frozen,
    /// It was told to end, has ended and is down until the end of the trouble.
    Terminated,
    /// It was told to read its settings.
    HungUp,
}

/// Something that befell a node.
#[derive(Clone, Debug)]
pub struct Trouble {
    /// What.
    pub kind: TroubleKind,
    /// Which node.
    pub node: u8,
    /// Whether the node votes.
    pub is_voter: bool,
    /// When it began, ms.
    pub at: u64,
    /// When its process ran again, ms; far away while it lasts.
    pub until: u64,
}

/// Everything that was seen.
#[derive(Clone, Debug, Default)]
pub struct Observations {
    /// Requests, as they ended.
    pub requests: Vec<Request>,
    /// Runs, as they began.
    pub runs: Vec<Run>,
    /// Holds, as they were granted.
    pub holds: Vec<Hold>,
    /// Workers by identifier.
    pub workers: BTreeMap<String, WorkerFacts>,
    /// Orders, as they were first sent.
    pub orders: Vec<Order>,
    /// Troubles, as they began.
    pub troubles: Vec<Trouble>,
    /// The version that was read at the end, and when that was, ms.
    pub read_back: Option<(u64, u64)>,
}

/// The record that all parties write.
#[derive(Clone)]
pub struct Record {
    seen: Rc<RefCell<Observations>>,
    began: Instant,
}

impl Default for Record {
    fn default() -> Self {
        Record {
            seen: Rc::default(),
            began: Instant::now(),
        }
    }
}

impl Record {
    /// Milliseconds since the soak began.
    pub fn now(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    /// Enters something.
    pub fn note<T>(&self, enter: impl FnOnce(&mut Observations) -> T) -> T {
        enter(&mut self.seen.borrow_mut())
    }

    /// What was seen so far.
    pub fn observations(&self) -> Observations {
        self.seen.borrow().clone()
    }
}
