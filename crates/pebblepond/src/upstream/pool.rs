//! Idle connections by address, and how long one may rest.

use super::connection::Connection;
use super::ResponseMatching;
use crate::sockets::is_quiet;
use config::constants as c;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// A connection that rests.
pub(super) struct IdleConnection {
    pub(super) connection: Connection,
    pub(super) since: Instant,
    /// The peer may end it from then on.
    until: Instant,
}

/// Peers have lately closed connections that rested.
#[derive(Clone, Copy)]
struct IdleCaution {
    /// How long a connection may rest for now, ms.
    max_idle_ms: u64,
    /// Until when that holds.
    until: Instant,
}

/// The idle connections of a node.
#[derive(Default)]
pub(super) struct ConnectionPool {
    pub(super) idle: RefCell<HashMap<String, Vec<IdleConnection>>>,
    caution: Cell<Option<IdleCaution>>,
}

impl ConnectionPool {
    /// Drops connections that are past use.
    pub(super) fn sweep(&self) {
        let now = Instant::now();
        self.idle.borrow_mut().retain(|_, connections| {
            connections.retain(|idle| now < idle.until);
            !connections.is_empty()
        });
    }

    /// Drops the connections to an address.
    pub(super) fn forget(&self, address: &str) {
        self.idle.borrow_mut().remove(address);
    }

    /// A connection that had rested for this long ended under a call: for a
    /// while none is used again that has rested half as long.
    pub(super) fn note_stale(&self, rested: Duration) {
        let half_ms = rested.as_millis() as u64 / 2;
        self.caution.set(Some(IdleCaution {
            max_idle_ms: self.cautious(half_ms),
            until: Instant::now() + Duration::from_millis(c::STALE_CONNECTION_CAUTION_MS),
        }));
    }

    /// The least of this time and what caution allows, ms.
    fn cautious(&self, max_idle_ms: u64) -> u64 {
        match self.caution.get() {
            Some(caution) if Instant::now() < caution.until => max_idle_ms.min(caution.max_idle_ms),
            _ => max_idle_ms,
        }
    }

    /// A connection to an address that has rested no longer than this, and how long it has.
    ///
    /// A connection whose last answer bore no id is passed over for a request that must not run
    /// twice. If there is no other, the oldest such one is dropped: the new connection stands in
    /// its place, so that the worker does not get more of them.
    pub(super) fn take(
        &self,
        address: &str,
        max_idle_ms: u64,
        matching: ResponseMatching,
    ) -> Option<(Connection, Duration)> {
        let now = Instant::now();
        let max_idle = Duration::from_millis(self.cautious(max_idle_ms));
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(address)?;
        let is_usable = |idle: &IdleConnection| {
            let has_rested = now.duration_since(idle.since);
            has_rested < max_idle
                && now < idle.until
                && idle.connection.buffer.is_empty()
                && is_quiet(&idle.connection.io)
        };
        let mut passed_over = None;
        for i in (0..connections.len()).rev() {
            if matching == ResponseMatching::IdNonIdempotent && connections[i].connection.lacks_id {
                passed_over = Some(i);
                continue;
            }
            let candidate = connections.remove(i);
            if is_usable(&candidate) {
                return Some((candidate.connection, now.duration_since(candidate.since)));
            }
            passed_over = passed_over.map(|p| p - 1);
        }
        if let Some(i) = passed_over {
            connections.remove(i);
        }
        None
    }

    /// Keeps a connection that may rest so long, ms.
    pub(super) fn put(&self, address: String, connection: Connection, idle_ms: u64) {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(address).or_default();
        let since = Instant::now();
        if connections.len() < c::MAX_IDLE_CONNECTIONS {
            connections.push(IdleConnection {
                connection,
                since,
                until: since + Duration::from_millis(idle_ms),
            });
        }
    }
}
