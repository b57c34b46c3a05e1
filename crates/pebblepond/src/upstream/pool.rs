//! Pool of idle connections by address, with limits on their idle time.

use super::connection::Connection;
use super::ResponseMatching;
use crate::sockets::has_no_unread_input;
use config::constants as c;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// An idle connection in the pool.
pub(super) struct IdleConnection {
    pub(super) connection: Connection,
    pub(super) since: Instant,
    /// Time from which the peer may close the connection.
    until: Instant,
}

/// Temporarily reduced limit on the idle time, set after a peer closed an idle connection.
#[derive(Clone, Copy)]
struct ReducedIdleLimit {
    /// Idle time up to which a connection may be used, in milliseconds.
    max_idle_ms: u64,
    /// Time until which the limit applies.
    until: Instant,
}

/// Pool of the idle connections of a node.
#[derive(Default)]
pub(super) struct ConnectionPool {
    pub(super) idle: RefCell<HashMap<String, Vec<IdleConnection>>>,
    reduced_limit: Cell<Option<ReducedIdleLimit>>,
}

impl ConnectionPool {
    /// Closes connections whose idle time limit has passed.
    pub(super) fn sweep(&self) {
        let now = Instant::now();
        self.idle.borrow_mut().retain(|_, connections| {
            connections.retain(|idle| now < idle.until);
            !connections.is_empty()
        });
    }

    /// Closes the connections to an address.
    pub(super) fn forget(&self, address: &str) {
        self.idle.borrow_mut().remove(address);
    }

    /// Records that a connection that had been idle for `idle_time` was closed by the peer when it
    /// was used. For a while, connections that have been idle for half as long or longer are not
    /// used.
    pub(super) fn note_stale(&self, idle_time: Duration) {
        let half_idle_ms = idle_time.as_millis() as u64 / 2;
        self.reduced_limit.set(Some(ReducedIdleLimit {
            max_idle_ms: self.effective_max_idle_ms(half_idle_ms),
            until: Instant::now() + Duration::from_millis(c::STALE_CONNECTION_BACKOFF_MS),
        }));
    }

    /// Returns the lower of the given limit and the temporarily reduced limit, in milliseconds.
    fn effective_max_idle_ms(&self, max_idle_ms: u64) -> u64 {
        match self.reduced_limit.get() {
            Some(reduced_limit) if Instant::now() < reduced_limit.until => {
                max_idle_ms.min(reduced_limit.max_idle_ms)
            }
            _ => max_idle_ms,
        }
    }

    /// Takes a connection to an address that has been idle for less than `max_idle_ms`, and returns
    /// it with its idle time.
    ///
    /// A connection whose last response had no id is skipped for a request that must not run twice.
    /// If there is no other, the oldest skipped connection is closed: the new connection replaces
    /// it, so that the worker does not get more connections.
    pub(super) fn take(
        &self,
        address: &str,
        max_idle_ms: u64,
        matching: ResponseMatching,
    ) -> Option<(Connection, Duration)> {
        let now = Instant::now();
        let max_idle = Duration::from_millis(self.effective_max_idle_ms(max_idle_ms));
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(address)?;
        let is_usable = |idle: &IdleConnection| {
            let idle_time = now.duration_since(idle.since);
            idle_time < max_idle
                && now < idle.until
                && idle.connection.buffer.is_empty()
                && has_no_unread_input(&idle.connection.io)
        };
        let mut skipped = None;
        for i in (0..connections.len()).rev() {
            if matching == ResponseMatching::IdNonIdempotent && connections[i].connection.lacks_id {
                skipped = Some(i);
                continue;
            }
            let candidate = connections.remove(i);
            if is_usable(&candidate) {
                return Some((candidate.connection, now.duration_since(candidate.since)));
            }
            skipped = skipped.map(|p| p - 1);
        }
        if let Some(i) = skipped {
            connections.remove(i);
        }
        None
    }

    /// Adds a connection to the pool, where it may stay idle for `idle_ms` milliseconds.
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
