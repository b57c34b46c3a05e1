//! Which answer belongs to which call (correlation of requests and replies). A call is known
//! by the incarnation of the process that made it, the peer that it was made to, and a number
//! that the incarnation uses once.

use std::collections::BTreeMap;

/// One run of a process, from its start to its end: a number drawn at random at the start.
/// Not the identity of the node, which outlasts a restart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Incarnation(pub u64);

/// What names a call on the wire; the peer sends it back with the answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CallId {
    /// The incarnation that made the call.
    pub incarnation: Incarnation,
    /// Counts from 1 within the incarnation and is never used again.
    pub number: u64,
}

/// Answers that belonged to no pending call, by the reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UnmatchedAnswers {
    /// To a call of another incarnation.
    pub other_incarnation: u64,
    /// From a peer that the call was not made to.
    pub other_peer: u64,
    /// To a call that is over: answered before, expired, or never made.
    pub not_pending: u64,
}

impl UnmatchedAnswers {
    /// All of them.
    pub fn total(&self) -> u64 {
        self.other_incarnation + self.other_peer + self.not_pending
    }
}

#[derive(Debug)]
struct PendingCall<P, T> {
    peer: P,
    /// On the caller's monotonic clock, ms.
    deadline: u64,
    payload: T,
}

/// The pending calls of one incarnation: `P` tells peers apart (a node's identity or its
/// address), `T` is what waits for the answer.
#[derive(Debug)]
pub struct PendingCalls<P, T> {
    incarnation: Incarnation,
    timeout_ms: u64,
    last_number: u64,
    pending: BTreeMap<u64, PendingCall<P, T>>,
    unmatched: UnmatchedAnswers,
}

impl<P: PartialEq, T> PendingCalls<P, T> {
    /// Calls of a process that has just started; each waits for `timeout_ms`.
    pub fn new(incarnation: Incarnation, timeout_ms: u64) -> PendingCalls<P, T> {
        PendingCalls {
            incarnation,
            timeout_ms,
            last_number: 0,
            pending: BTreeMap::new(),
            unmatched: UnmatchedAnswers::default(),
        }
    }

    /// Begins a call to a peer. What has expired by `now` (ms, monotonic) is dropped, so that
    /// no more is kept than is asked within one timeout.
    pub fn begin(&mut self, peer: P, now: u64, payload: T) -> CallId {
        self.expire(now);
        self.last_number += 1;
        let call = PendingCall {
            peer,
            deadline: now.saturating_add(self.timeout_ms),
            payload,
        };
        self.pending.insert(self.last_number, call);
        CallId {
            incarnation: self.incarnation,
            number: self.last_number,
        }
    }

    /// What waits for this answer, at most once for each call. `None`, counted, if the call is
    /// of another incarnation, was made to another peer, is over by `now` or was never made.
    /// An answer from the wrong peer leaves the call pending.
    pub fn finish(&mut self, from: &P, id: CallId, now: u64) -> Option<T> {
        self.expire(now);
        if id.incarnation != self.incarnation {
            self.unmatched.other_incarnation += 1;
            return None;
        }
        match self.pending.get(&id.number) {
            None => {
                self.unmatched.not_pending += 1;
                None
            }
            Some(call) if call.peer != *from => {
                self.unmatched.other_peer += 1;
                None
            }
            Some(_) => self.pending.remove(&id.number).map(|call| call.payload),
        }
    }

    /// Drops the calls whose time is over; how many.
    pub fn expire(&mut self, now: u64) -> usize {
        let before = self.pending.len();
        self.pending.retain(|_, call| call.deadline > now);
        before - self.pending.len()
    }

    /// Drops a call that nobody waits for any more.
    pub fn abandon(&mut self, id: CallId) -> Option<T> {
        let is_own = id.incarnation == self.incarnation;
        let call = is_own.then(|| self.pending.remove(&id.number))?;
        call.map(|call| call.payload)
    }

    /// The incarnation that makes the calls.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Calls that wait for an answer.
    pub fn pending(&self) -> usize {
        self.pending.len()
    }

    /// Answers that belonged to no pending call, so far.
    pub fn unmatched(&self) -> UnmatchedAnswers {
        self.unmatched
    }
}
