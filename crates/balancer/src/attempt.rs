//! One attempt at a request, on one connection to one worker: how far it has
//! come, whose answer has come in, and what may follow. A pure state machine; it
//! is told of bytes, heads of answers, ends and time, and decides what they prove.
//!
//! Nothing but two states prove that a request has not run: not one byte of it
//! went out, or the worker says so in an answer that belongs to this attempt.

/// How far an attempt has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Phase {
    /// Not one byte went out.
    Unsent,
    /// Some bytes went out.
    Partial,
    /// All bytes went out.
    Sent,
    /// The head of its answer has come.
    Begun,
    /// Its answer has come whole.
    Ended,
}

/// What an answer says of the attempt that it belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Echo {
    /// It echoes the id of this attempt.
    Ours,
    /// It echoes another id, or several.
    Other,
    Missing,
}

/// The head of an answer, as far as it matters here.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Head {
    pub status: u16,
    pub echo: Echo,
    /// It says that the worker did not run the request.
    pub not_executed: bool,
    /// It has what a worker's success bears: the stamp, and a body of which one
    /// can tell where it ends.
    pub sealed: bool,
}

impl Head {
    fn is_success(&self) -> bool {
        (200..300).contains(&self.status)
    }

    /// The worker turned the request away: it says so, or that it is not the one
    /// that was meant.
    fn turns_away(&self) -> bool {
        self.not_executed || self.status == 421
    }
}

/// What to do with a head.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Taken {
    /// It is this attempt's: read the body, then tell [`Attempt::ended`].
    Ours,
    /// It belongs to somebody else: pass over its body and read on.
    Stranger,
    /// An interim answer (1xx): read on.
    Interim,
    /// No answer to this attempt can be told from others any more.
    Broken,
}

/// What an attempt has come to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// It has not run and never will: proven.
    NotRun,
    /// The worker seems to have turned it away; the answer may be another's.
    TurnedAway,
    /// The worker's answer may be passed on.
    Answered,
    /// It may have run, may still run, and nothing usable came back.
    MayHaveRun,
}

/// Statuses that promise a client that its request has not run and never will.
pub const PROMISES: [u16; 4] = [408, 421, 429, 503];

/// Heads that are not ours, passed over before a connection is given up, heads.
const STRANGERS: u32 = config::constants::MAX_UNMATCHED_RESPONSES;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Attempt {
    phase: Phase,
    /// Whether the request has an id that answers echo.
    named: bool,
    /// The answer before on this connection bore no id, and a doubled one could
    /// not be told from ours.
    nameless: bool,
    all_sent: bool,
    strangers: u32,
    head: Option<Head>,
    /// The connection broke or time is up: nothing more is read or sent.
    over: bool,
}

impl Attempt {
    /// An attempt at a request with an id, on a connection on which the answer
    /// before bore none, or not.
    pub fn named(nameless: bool) -> Attempt {
        Attempt {
            phase: Phase::Unsent,
            named: true,
            nameless,
            all_sent: false,
            strangers: 0,
            head: None,
            over: false,
        }
    }

    /// A call whose answers bear no id: the connection alone pairs them.
    pub fn unnamed() -> Attempt {
        Attempt {
            named: false,
            ..Attempt::named(false)
        }
    }

    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Bytes went out; `all` if they were the last.
    pub fn wrote(&mut self, all: bool) {
        self.all_sent |= all;
        if self.phase < Phase::Begun {
            self.phase = if all { Phase::Sent } else { Phase::Partial };
        }
    }

    /// The head of an answer has come.
    pub fn head(&mut self, head: Head) -> Taken {
        let before_us = self.phase == Phase::Unsent;
        if self.over || before_us || self.phase >= Phase::Begun || head.status == 101 {
            self.over = true;
            return Taken::Broken;
        }
        let stranger = match head.echo {
            _ if head.status < 200 => true,
            _ if !self.named => false,
            Echo::Ours => false,
            Echo::Other => true,
            Echo::Missing => head.is_success(),
        };
        if stranger {
            self.strangers += 1;
            if self.strangers > STRANGERS {
                self.over = true;
                return Taken::Broken;
            }
            return if head.status < 200 {
                Taken::Interim
            } else {
                Taken::Stranger
            };
        }
        if self.named && head.is_success() && !head.sealed {
            self.over = true;
            return Taken::Broken;
        }
        self.phase = Phase::Begun;
        self.head = Some(head);
        Taken::Ours
    }

    /// The answer has come whole.
    pub fn ended(&mut self) {
        if self.phase == Phase::Begun && !self.over {
            self.phase = Phase::Ended;
        }
    }

    /// The connection broke, the answer was no answer, or time is up.
    pub fn broke(&mut self) {
        self.over = true;
    }

    /// Whether the answer taken can be nobody else's. One without an id can be
    /// only ours if the answer before on the connection bore one, and nothing
    /// strange has come: a doubled answer repeats the id it had.
    fn is_attributable(&self, head: &Head) -> bool {
        !self.named || head.echo == Echo::Ours || !self.nameless && self.strangers == 0
    }

    /// What it has come to so far.
    pub fn outcome(&self) -> Outcome {
        if self.phase == Phase::Unsent {
            return Outcome::NotRun;
        }
        let said = self.head.as_ref().map(|head| self.says(head));
        match (self.phase, said) {
            (Phase::Ended, Some(said)) => said,
            // A long answer is passed on as it comes; what cuts it shows.
            (Phase::Begun, Some(Outcome::Answered)) if !self.over => Outcome::Answered,
            _ => Outcome::MayHaveRun,
        }
    }

    /// What an answer proves, once it is whole.
    fn says(&self, head: &Head) -> Outcome {
        let proven = self.is_attributable(head);
        // What is wrong with the request itself is the client's to hear.
        let elsewhere = head.turns_away() && (head.status == 421 || head.status >= 429);
        match () {
            () if elsewhere && proven => Outcome::NotRun,
            () if elsewhere => Outcome::TurnedAway,
            () if !proven => Outcome::MayHaveRun,
            () if PROMISES.contains(&head.status) && !head.turns_away() => Outcome::MayHaveRun,
            () => Outcome::Answered,
        }
    }

    /// Whether another request may go out on the connection: this one went out
    /// whole, its answer came whole, and nothing else came.
    pub fn may_pool(&self) -> bool {
        self.phase == Phase::Ended && self.all_sent && !self.over && self.strangers == 0
    }

    /// Whether the last answer on the connection bore no id: what doubles it
    /// follows it before the next.
    pub fn is_nameless(&self) -> bool {
        self.head.map_or(self.nameless, |h| h.echo == Echo::Missing)
    }
}

/// All attempts at one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Tries {
    /// It must not run twice.
    once: bool,
    may_have_run: bool,
}

impl Tries {
    pub fn new(once: bool) -> Tries {
        Tries {
            once,
            may_have_run: false,
        }
    }

    /// Takes note of how an attempt ended.
    pub fn note(&mut self, outcome: Outcome) {
        let proven = outcome == Outcome::NotRun || outcome == Outcome::TurnedAway && !self.once;
        self.may_have_run |= !proven;
    }

    /// Whether it may be sent again.
    pub fn may_repeat(&self) -> bool {
        !self.once || !self.may_have_run
    }

    /// Whether the client may be told that it has not run and never will.
    pub fn may_promise(&self) -> bool {
        !self.may_have_run
    }
}
