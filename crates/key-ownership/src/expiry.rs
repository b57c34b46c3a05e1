//! When leases have certainly ended, whatever became of the calls that granted them.

use config::constants as c;

/// By when a grant has arrived or never will, from when it is made, ms: it is given up after
/// its timeout, and what has been sent by then ends with its connection.
pub(crate) const LATEST_ARRIVAL_MS: u64 = c::GRANT_TIMEOUT_MS + GIVEN_UP_ARRIVAL_MS;
/// The same for a grant that was given up, from then, ms.
pub(crate) const GIVEN_UP_ARRIVAL_MS: u64 = c::WORKER_USER_TIMEOUT_MS + 4 * c::DEFAULT_RTT_MS as u64;

/// When the leases under a fencing token must have ended, as far as calls that are over go, and
/// until when one of unknown end may still arrive, ms.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Expiry {
    pub(crate) end: u64,
    pub(crate) settled: u64,
}

/// How long leases last.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LeaseTimes {
    /// An ordinary lease, ms.
    pub(crate) lease_ms: u64,
    /// The last one before a range is revoked, so that what runs may end, ms.
    pub(crate) final_ms: u64,
    /// A worker that stood still may take a grant so much later, ms.
    thaw_ms: u64,
}

impl LeaseTimes {
    /// Times inside what the deployment allows.
    pub(crate) fn new(most_ms: u64, thaw_ms: u64) -> LeaseTimes {
        LeaseTimes {
            lease_ms: c::KEY_LEASE_MS.min(most_ms),
            final_ms: c::FINAL_KEY_LEASE_MS.min(most_ms),
            thaw_ms,
        }
    }

    /// The latest end of an ordinary lease that arrives at `arrival` ms.
    pub(crate) fn end(&self, arrival: u64) -> u64 {
        self.end_of(arrival, self.lease_ms)
    }

    /// The latest end of a final lease that arrives at `arrival` ms.
    pub(crate) fn final_end(&self, arrival: u64) -> u64 {
        self.end_of(arrival, self.final_ms)
    }

    fn end_of(&self, arrival: u64, lease_ms: u64) -> u64 {
        arrival + (lease_ms as f64 * c::LEASE_CLOCK_FACTOR).ceil() as u64 + self.thaw_ms
    }
}
