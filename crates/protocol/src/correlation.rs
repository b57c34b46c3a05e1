//! Correlation of calls and answers. A call is identified by the incarnation of the process that
//! made it, the peer that it was made to, and a number that is unique within the incarnation.

use std::collections::BTreeMap;

/// One run of a process, from its start to its end, identified by a random number drawn at the
/// start. The identity of the node differs from it: it persists across restarts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Incarnation(pub u64);

/// Identifies a call on the wire. The peer returns it with the answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CallId {
    /// The incarnation that made the call.
    pub incarnation: Incarnation,
    /// Number of the call, counted from 1 and unique within the incarnation.
    pub number: u64,
}

/// Number of answers that matched no pending call, by reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UnmatchedAnswers {
    /// Answers to a call of another incarnation.
    pub other_incarnation: u64,
    /// Answers from a peer that the call was not made to.
    pub other_peer: u64,
    /// Answers to a call that is not pending: already answered, expired, or never made.
    pub not_pending: u64,
}

impl UnmatchedAnswers {
    /// Returns the number of all unmatched answers.
    pub fn total(&self) -> u64 {
        self.other_incarnation + self.other_peer + self.not_pending
    }
}

#[derive(Debug)]
struct PendingCall<P, T> {
    peer: P,
    /// Deadline on the caller's monotonic clock, in milliseconds.
    deadline_ms: u64,
    payload: T,
}

/// The pending calls of one incarnation. `P` identifies a peer (a node's identity or its address),
/// and `T` is the value kept until the answer arrives.
#[derive(Debug)]
pub struct PendingCalls<P, T> {
    incarnation: Incarnation,
    timeout_ms: u64,
    last_number: u64,
    pending: BTreeMap<u64, PendingCall<P, T>>,
    unmatched: UnmatchedAnswers,
}

impl<P: PartialEq, T> PendingCalls<P, T> {
    /// Creates an empty table for a new incarnation. Each call expires after `timeout_ms`.
    pub fn new(incarnation: Incarnation, timeout_ms: u64) -> PendingCalls<P, T> {
        PendingCalls {
            incarnation,
            timeout_ms,
            last_number: 0,
            pending: BTreeMap::new(),
            unmatched: UnmatchedAnswers::default(),
        }
    }

    /// Begins a call to a peer at the time `now` (monotonic, in milliseconds). Removes expired
    /// calls first, so that the table holds only the calls begun within one timeout.
    pub fn begin(&mut self, peer: P, now: u64, payload: T) -> CallId {
        self.expire(now);
        self.last_number += 1;
        let call = PendingCall {
            peer,
            deadline_ms: now.saturating_add(self.timeout_ms),
            payload,
        };
        self.pending.insert(self.last_number, call);
        CallId {
            incarnation: self.incarnation,
            number: self.last_number,
        }
    }

    /// Finishes the call that an answer belongs to and returns the call's value, at most once for
    /// each call. If the call belongs to another incarnation, was made to another peer, has ended
    /// by `now` or was never made, counts the answer as unmatched and returns `None`. An answer
    /// from the wrong peer leaves the call pending.
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

    /// Removes the calls whose deadline_ms has passed and returns their number.
    pub fn expire(&mut self, now: u64) -> usize {
        let count_before = self.pending.len();
        self.pending.retain(|_, call| call.deadline_ms > now);
        count_before - self.pending.len()
    }

    /// Removes a call whose answer is no longer needed.
    pub fn abandon(&mut self, id: CallId) -> Option<T> {
        let is_own = id.incarnation == self.incarnation;
        let call = is_own.then(|| self.pending.remove(&id.number))?;
        call.map(|call| call.payload)
    }

    /// Returns the incarnation that makes the calls.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Returns the number of pending calls.
    pub fn pending(&self) -> usize {
        self.pending.len()
    }

    /// Returns the numbers of unmatched answers so far.
    pub fn unmatched(&self) -> UnmatchedAnswers {
        self.unmatched
    }
}
