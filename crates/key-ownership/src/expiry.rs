//! Upper bounds on when leases expire, whatever the results of the calls that granted them.

use config::constants as c;

/// Time from the start of a grant call until it has reached the worker or never will, in
/// milliseconds. The call is abandoned after its timeout; data sent by then arrives or is dropped
/// when its connection ends.
pub(crate) const LATEST_ARRIVAL_MS: u64 = c::GRANT_TIMEOUT_MS + ABANDONED_ARRIVAL_MS;
/// Time from when a grant call was abandoned until it has reached the worker or never will, in
/// milliseconds.
pub(crate) const ABANDONED_ARRIVAL_MS: u64 = c::WORKER_USER_TIMEOUT_MS + 4 * c::DEFAULT_RTT_MS as u64;

/// Expiry bounds of the leases under a fencing token, from the calls that have completed. `end` is
/// the time by which all of them have expired; `settled_at` is the time until which a grant with
/// unknown result may still arrive. Both are in milliseconds.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Expiry {
    pub(crate) end: u64,
    pub(crate) settled_at: u64,
}

/// Lease durations.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LeaseTimes {
    /// Duration of an ordinary lease, in milliseconds.
    pub(crate) lease_ms: u64,
    /// Duration of the final lease before a range is revoked, in milliseconds. It lets requests in
    /// progress complete.
    pub(crate) final_ms: u64,
    /// Delay with which a worker that was suspended may accept a grant, in milliseconds.
    resume_delay_ms: u64,
}

impl LeaseTimes {
    /// Returns the lease durations, limited to `max_lease_ms`, the longest lease that the
    /// deployment allows.
    pub(crate) fn new(max_lease_ms: u64, resume_delay_ms: u64) -> LeaseTimes {
        LeaseTimes {
            lease_ms: c::KEY_LEASE_MS.min(max_lease_ms),
            final_ms: c::FINAL_KEY_LEASE_MS.min(max_lease_ms),
            resume_delay_ms,
        }
    }

    /// Returns the latest time at which an ordinary lease that arrives at `arrival` expires, in
    /// milliseconds.
    pub(crate) fn end(&self, arrival: u64) -> u64 {
        self.latest_end(arrival, self.lease_ms)
    }

    /// Returns the latest time at which a final lease that arrives at `arrival` expires, in
    /// milliseconds.
    pub(crate) fn final_end(&self, arrival: u64) -> u64 {
        self.latest_end(arrival, self.final_ms)
    }

    fn latest_end(&self, arrival: u64, lease_ms: u64) -> u64 {
        arrival + (lease_ms as f64 * c::LEASE_CLOCK_FACTOR).ceil() as u64 + self.resume_delay_ms
    }
}
