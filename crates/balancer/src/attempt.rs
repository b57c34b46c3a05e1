//! Pure state machine of one attempt at a request, on one connection to one worker: how much of the
//! request was sent, which response was received, and what may follow. It is notified of written
//! bytes, response heads, ends of responses and timeouts, and decides what they prove.
//!
//! Only two states prove that a request was not executed: no byte of it was sent, or the worker
//! states it in a response that belongs to this attempt.

/// Progress of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Phase {
    /// No byte of the request was sent.
    Unsent,
    /// A part of the request was sent.
    Partial,
    /// The whole request was sent.
    Sent,
    /// The head of the response was received.
    ResponseStarted,
    /// The complete response was received.
    Complete,
}

/// How the attempt id that a response echoes relates to the attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum IdEcho {
    /// The response echoes the id of this attempt.
    Same,
    /// The response echoes a different id, or several ids.
    Different,
    Missing,
}

/// The parts of a response head that decide what the response proves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct HeadSummary {
    pub status: u16,
    pub echo: IdEcho,
    /// Whether the worker states that it did not execute the request.
    pub not_executed: bool,
    /// Whether the response has what every success of a worker has: the server seal, and a body
    /// whose end can be determined.
    pub is_sealed_and_framed: bool,
}

impl HeadSummary {
    fn is_success(&self) -> bool {
        (200..300).contains(&self.status)
    }

    /// Returns whether the worker rejected the request: it states that it did not execute it, or
    /// that it is not the instance that was addressed.
    fn is_rejection(&self) -> bool {
        self.not_executed || self.status == 421
    }
}

/// What the caller does after a response head.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum HeadAction {
    /// The response belongs to this attempt: read the body, then call [`Attempt::on_complete`].
    Accepted,
    /// The response belongs to another request: skip its body and continue reading.
    Unmatched,
    /// An interim response (1xx): continue reading.
    Interim,
    /// A response to this attempt can no longer be distinguished from others.
    Broken,
}

/// What is known of the execution of a request after an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// The request was provably not executed and never will be.
    NotRun,
    /// The worker apparently rejected the request, but the response may belong to another request.
    UnprovenRejection,
    /// The worker's response may be passed on.
    Answered,
    /// The request may have been executed or may still be, and no usable response was received.
    MayHaveRun,
}

/// Statuses that promise the client that its request was not executed and never will be.
pub const NOT_EXECUTED_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// Number of heads that are skipped (interim, or of other requests) before the connection is given
/// up.
const MAX_UNMATCHED_HEADS: u32 = config::constants::MAX_UNMATCHED_RESPONSES;

/// One attempt at a request.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Attempt {
    phase: Phase,
    /// Whether the request has an id that responses echo.
    has_id: bool,
    /// Whether the previous response on this connection had no id: a duplicate of it could not be
    /// distinguished from the response to this attempt.
    previous_lacks_id: bool,
    all_sent: bool,
    unmatched_heads: u32,
    head: Option<HeadSummary>,
    /// Whether the connection broke or the deadline passed: nothing more is read or sent.
    has_ended: bool,
}

impl Attempt {
    /// Creates an attempt at a request with an id. `previous_lacks_id` tells whether the previous
    /// response on the connection had no id.
    pub fn with_id(previous_lacks_id: bool) -> Attempt {
        Attempt {
            phase: Phase::Unsent,
            has_id: true,
            previous_lacks_id,
            all_sent: false,
            unmatched_heads: 0,
            head: None,
            has_ended: false,
        }
    }

    /// Creates an attempt whose response has no id: only the connection matches it with the
    /// request.
    pub fn without_id() -> Attempt {
        Attempt {
            has_id: false,
            ..Attempt::with_id(false)
        }
    }

    /// Returns the progress of the attempt.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Records that bytes were sent; `all` is set with the last bytes of the request.
    pub fn on_written(&mut self, all: bool) {
        self.all_sent |= all;
        if self.phase < Phase::ResponseStarted {
            self.phase = if all { Phase::Sent } else { Phase::Partial };
        }
    }

    /// Processes the head of a received response.
    pub fn on_head(&mut self, head: HeadSummary) -> HeadAction {
        let is_unsent = self.phase == Phase::Unsent;
        if self.has_ended || is_unsent || self.phase >= Phase::ResponseStarted || head.status == 101 {
            self.has_ended = true;
            return HeadAction::Broken;
        }
        let is_unmatched = match head.echo {
            _ if head.status < 200 => true,
            _ if !self.has_id => false,
            IdEcho::Same => false,
            IdEcho::Different => true,
            IdEcho::Missing => head.is_success(),
        };
        if is_unmatched {
            self.unmatched_heads += 1;
            if self.unmatched_heads > MAX_UNMATCHED_HEADS {
                self.has_ended = true;
                return HeadAction::Broken;
            }
            return if head.status < 200 {
                HeadAction::Interim
            } else {
                HeadAction::Unmatched
            };
        }
        if self.has_id && head.is_success() && !head.is_sealed_and_framed {
            self.has_ended = true;
            return HeadAction::Broken;
        }
        self.phase = Phase::ResponseStarted;
        self.head = Some(head);
        HeadAction::Accepted
    }

    /// Records that the complete response was received.
    pub fn on_complete(&mut self) {
        if self.phase == Phase::ResponseStarted && !self.has_ended {
            self.phase = Phase::Complete;
        }
    }

    /// Records that the connection broke, the response was invalid or the deadline passed.
    pub fn on_broken(&mut self) {
        self.has_ended = true;
    }

    /// Returns whether the accepted response provably belongs to this attempt. A response without
    /// an id does only if the previous response on the connection had an id and no unmatched
    /// response was received, since a duplicated response repeats the id that it had.
    fn is_attributable(&self, head: &HeadSummary) -> bool {
        !self.has_id || head.echo == IdEcho::Same || !self.previous_lacks_id && self.unmatched_heads == 0
    }

    /// Returns what is known so far of the execution of the request.
    pub fn outcome(&self) -> Outcome {
        if self.phase == Phase::Unsent {
            return Outcome::NotRun;
        }
        let outcome_of_head = self.head.as_ref().map(|head| self.outcome_of(head));
        match (self.phase, outcome_of_head) {
            (Phase::Complete, Some(outcome_of_head)) => outcome_of_head,
            // A long response is streamed to the client as it arrives; the client notices a
            // truncation.
            (Phase::ResponseStarted, Some(Outcome::Answered)) if !self.has_ended => Outcome::Answered,
            _ => Outcome::MayHaveRun,
        }
    }

    /// Returns what a response proves once it is complete.
    fn outcome_of(&self, head: &HeadSummary) -> Outcome {
        let is_proven = self.is_attributable(head);
        // A rejection because of the request itself is passed on to the client.
        let allows_other_worker = head.is_rejection() && (head.status == 421 || head.status >= 429);
        match () {
            () if allows_other_worker && is_proven => Outcome::NotRun,
            () if allows_other_worker => Outcome::UnprovenRejection,
            () if !is_proven => Outcome::MayHaveRun,
            () if NOT_EXECUTED_STATUSES.contains(&head.status) && !head.is_rejection() => Outcome::MayHaveRun,
            () => Outcome::Answered,
        }
    }

    /// Returns whether the connection may be used for another request: this request was sent
    /// completely, its response was received completely, and nothing else was received.
    pub fn may_reuse_connection(&self) -> bool {
        self.phase == Phase::Complete && self.all_sent && !self.has_ended && self.unmatched_heads == 0
    }

    /// Returns whether the last response on the connection had no id: a duplicate of it may precede
    /// the next response.
    pub fn lacks_id(&self) -> bool {
        self.head
            .map_or(self.previous_lacks_id, |h| h.echo == IdEcho::Missing)
    }
}

/// What all attempts at one request have shown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct AttemptHistory {
    /// Whether the request must not be executed twice.
    is_non_idempotent: bool,
    may_have_run: bool,
}

impl AttemptHistory {
    /// Creates the history of a request without attempts.
    pub fn new(is_non_idempotent: bool) -> AttemptHistory {
        AttemptHistory {
            is_non_idempotent,
            may_have_run: false,
        }
    }

    /// Records the outcome of an attempt.
    pub fn note_outcome(&mut self, outcome: Outcome) {
        let counts_as_not_run =
            outcome == Outcome::NotRun || outcome == Outcome::UnprovenRejection && !self.is_non_idempotent;
        self.may_have_run |= !counts_as_not_run;
    }

    /// Returns whether the request may be sent again.
    pub fn may_repeat(&self) -> bool {
        !self.is_non_idempotent || !self.may_have_run
    }

    /// Returns whether the client may be promised that the request was not executed and never will
    /// be.
    pub fn may_promise_not_executed(&self) -> bool {
        !self.may_have_run
    }
}
