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
    ResponseStarted,
    /// Its answer has come whole.
    Complete,
}

/// What an answer says of the attempt that it belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum IdEcho {
    /// It echoes the id of this attempt.
    Ours,
    /// It echoes another id, or several.
    Other,
    Missing,
}

/// The head of an answer, as far as it matters here.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct HeadSummary {
    pub status: u16,
    pub echo: IdEcho,
    /// It says that the worker did not run the request.
    pub not_executed: bool,
    /// It has what a worker's success bears: the stamp, and a body of which one
    /// can tell where it ends.
    pub sealed: bool,
}

impl HeadSummary {
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
pub enum HeadAction {
    /// It is this attempt's: read the body, then tell [`Attempt::on_complete`].
    Ours,
    /// It belongs to somebody else: pass over its body and read on.
    Unmatched,
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
const MAX_UNMATCHED: u32 = config::constants::MAX_UNMATCHED_RESPONSES;

/// One attempt at a request.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Attempt {
    phase: Phase,
    /// Whether the request has an id that answers echo.
    named: bool,
    /// The answer before on this connection bore no id, and a doubled one could
    /// not be told from ours.
    follows_no_id: bool,
    all_sent: bool,
    unmatched: u32,
    head: Option<HeadSummary>,
    /// The connection broke or time is up: nothing more is read or sent.
    is_over: bool,
}

impl Attempt {
    /// An attempt at a request with an id, on a connection on which the answer
    /// before bore none, or not.
    pub fn named(follows_no_id: bool) -> Attempt {
        Attempt {
            phase: Phase::Unsent,
            named: true,
            follows_no_id,
            all_sent: false,
            unmatched: 0,
            head: None,
            is_over: false,
        }
    }

    /// A call whose answers bear no id: the connection alone pairs them.
    pub fn without_id() -> Attempt {
        Attempt {
            named: false,
            ..Attempt::named(false)
        }
    }

    /// How far it has come.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Bytes went out; `all` if they were the last.
    pub fn on_written(&mut self, all: bool) {
        self.all_sent |= all;
        if self.phase < Phase::ResponseStarted {
            self.phase = if all { Phase::Sent } else { Phase::Partial };
        }
    }

    /// The head of an answer has come.
    pub fn head(&mut self, head: HeadSummary) -> HeadAction {
        let before_us = self.phase == Phase::Unsent;
        if self.is_over || before_us || self.phase >= Phase::ResponseStarted || head.status == 101 {
            self.is_over = true;
            return HeadAction::Broken;
        }
        let is_unmatched = match head.echo {
            _ if head.status < 200 => true,
            _ if !self.named => false,
            IdEcho::Ours => false,
            IdEcho::Other => true,
            IdEcho::Missing => head.is_success(),
        };
        if is_unmatched {
            self.unmatched += 1;
            if self.unmatched > MAX_UNMATCHED {
                self.is_over = true;
                return HeadAction::Broken;
            }
            return if head.status < 200 {
                HeadAction::Interim
            } else {
                HeadAction::Unmatched
            };
        }
        if self.named && head.is_success() && !head.sealed {
            self.is_over = true;
            return HeadAction::Broken;
        }
        self.phase = Phase::ResponseStarted;
        self.head = Some(head);
        HeadAction::Ours
    }

    /// The answer has come whole.
    pub fn on_complete(&mut self) {
        if self.phase == Phase::ResponseStarted && !self.is_over {
            self.phase = Phase::Complete;
        }
    }

    /// The connection broke, the answer was no answer, or time is up.
    pub fn on_broken(&mut self) {
        self.is_over = true;
    }

    /// Whether the answer taken can be nobody else's. One without an id can be
    /// only ours if the answer before on the connection bore one, and nothing
    /// strange has come: a doubled answer repeats the id it had.
    fn is_attributable(&self, head: &HeadSummary) -> bool {
        !self.named || head.echo == IdEcho::Ours || !self.follows_no_id && self.unmatched == 0
    }

    /// What it has come to so far.
    pub fn outcome(&self) -> Outcome {
        if self.phase == Phase::Unsent {
            return Outcome::NotRun;
        }
        let proven_by_head = self.head.as_ref().map(|head| self.proves(head));
        match (self.phase, proven_by_head) {
            (Phase::Complete, Some(proven_by_head)) => proven_by_head,
            // A long answer is passed on as it comes; what cuts it shows.
            (Phase::ResponseStarted, Some(Outcome::Answered)) if !self.is_over => Outcome::Answered,
            _ => Outcome::MayHaveRun,
        }
    }

    /// What an answer proves, once it is whole.
    fn proves(&self, head: &HeadSummary) -> Outcome {
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
    pub fn may_reuse_connection(&self) -> bool {
        self.phase == Phase::Complete && self.all_sent && !self.is_over && self.unmatched == 0
    }

    /// Whether the last answer on the connection bore no id: what doubles it
    /// follows it before the next.
    pub fn lacks_id(&self) -> bool {
        self.head
            .map_or(self.follows_no_id, |h| h.echo == IdEcho::Missing)
    }
}

/// All attempts at one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct AttemptHistory {
    /// It must not run twice.
    is_non_idempotent: bool,
    may_have_run: bool,
}

impl AttemptHistory {
    /// No attempts yet, at a request that must not run twice, or may.
    pub fn new(is_non_idempotent: bool) -> AttemptHistory {
        AttemptHistory {
            is_non_idempotent,
            may_have_run: false,
        }
    }

    /// Takes note of how an attempt ended.
    pub fn note_outcome(&mut self, outcome: Outcome) {
        let proven = outcome == Outcome::NotRun || outcome == Outcome::TurnedAway && !self.is_non_idempotent;
        self.may_have_run |= !proven;
    }

    /// Whether it may be sent again.
    pub fn may_repeat(&self) -> bool {
        !self.is_non_idempotent || !self.may_have_run
    }

    /// Whether the client may be told that it has not run and never will.
    pub fn may_promise(&self) -> bool {
        !self.may_have_run
    }
}
