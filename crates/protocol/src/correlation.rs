//! Which answer belongs to which call (correlation of requests and replies). A
//! call is known by the life of the process that made it, the peer that it was
//! made to, and a number that the life uses once.

use std::collections::BTreeMap;

/// One run of a process, from its start to its end: a number drawn at random at
/// the start. Not the identity of the node, which outlasts a restart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Life(pub u64);

/// What names a call on the wire; the peer sends it back with the answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CallId {
    pub life: Life,
    /// Counts from 1 within the life and is never used again.
    pub number: u64,
}

/// Answers that belonged to no open call, by the reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Unknown {
    /// To a call of another life.
    pub other_life: u64,
    /// From a peer that this call was not made to.
    pub other_peer: u64,
    /// To a call that is over: answered before, expired, or never made.
    pub over: u64,
}

impl Unknown {
    pub fn total(&self) -> u64 {
        self.other_life + self.other_peer + self.over
    }
}

#[derive(Debug)]
struct Open<P, T> {
    peer: P,
    /// On the caller's monotonic clock, ms.
    deadline: u64,
    payload: T,
}

/// The open calls of one life: `P` tells peers apart (a node's identity or its
/// address), `T` is what waits for the answer.
#[derive(Debug)]
pub struct Calls<P, T> {
    life: Life,
    wait: u64,
    last: u64,
    open: BTreeMap<u64, Open<P, T>>,
    unknown: Unknown,
}

impl<P: PartialEq, T> Calls<P, T> {
    /// Calls of a process that has just started; each waits for `wait` ms.
    pub fn new(life: Life, wait: u64) -> Calls<P, T> {
        Calls {
            life,
            wait,
            last: 0,
            open: BTreeMap::new(),
            unknown: Unknown::default(),
        }
    }

    /// Opens a call to a peer. What has expired by `now` (ms, monotonic) is
    /// dropped, so that no more is kept than is asked within one wait.
    pub fn begin(&mut self, peer: P, now: u64, payload: T) -> CallId {
        self.expire(now);
        self.last += 1;
        let open = Open {
            peer,
            deadline: now.saturating_add(self.wait),
            payload,
        };
        self.open.insert(self.last, open);
        CallId {
            life: self.life,
            number: self.last,
        }
    }

    /// What waits for this answer, at most once for each call. `None`, counted,
    /// if the call is of another life, was made to another peer, is over by
    /// `now` or was never made. An answer from the wrong peer leaves the call open.
    pub fn finish(&mut self, from: &P, id: CallId, now: u64) -> Option<T> {
        self.expire(now);
        if id.life != self.life {
            self.unknown.other_life += 1;
            return None;
        }
        match self.open.get(&id.number) {
            None => {
                self.unknown.over += 1;
                None
            }
            Some(open) if open.peer != *from => {
                self.unknown.other_peer += 1;
                None
            }
            Some(_) => self.open.remove(&id.number).map(|open| open.payload),
        }
    }

    /// Drops the calls whose time is over; how many.
    pub fn expire(&mut self, now: u64) -> usize {
        let before = self.open.len();
        self.open.retain(|_, open| open.deadline > now);
        before - self.open.len()
    }

    /// Drops a call that nobody waits for any more.
    pub fn abandon(&mut self, id: CallId) -> Option<T> {
        let ours = id.life == self.life;
        let open = ours.then(|| self.open.remove(&id.number))?;
        open.map(|open| open.payload)
    }

    pub fn life(&self) -> Life {
        self.life
    }

    /// Calls that wait for an answer.
    pub fn open(&self) -> usize {
        self.open.len()
    }

    pub fn unknown(&self) -> Unknown {
        self.unknown
    }
}
