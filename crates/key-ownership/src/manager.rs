//! Ownership state on the leader, and how the results of calls change it.

mod round;

use crate::calls::{GrantCall, GrantResult, ReleaseCall, ReleaseResult};
use crate::expiry::{Expiry, LeaseTimes, ABANDONED_ARRIVAL_MS, LATEST_ARRIVAL_MS};
use crate::load::Loads;
use config::constants as c;
use control_state::ControlState;
use protocol::{KeyCounts, KeyLease, WorkerStats};
use std::collections::{BTreeMap, HashSet};

/// Number of steps over which renewals of different fencing tokens are spread within an interval,
/// so that they are not all due at once.
const RENEWAL_STEPS: u64 = 16;

/// Identifies a range of a service under a fencing token.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct RangeKey {
    service: String,
    from: u32,
    token: u64,
}

impl RangeKey {
    fn of(lease: &KeyLease) -> RangeKey {
        RangeKey {
            service: lease.service.clone(),
            from: lease.from,
            token: lease.fencing_token,
        }
    }
}

/// The leader's state of a range, in addition to its lease.
#[derive(Clone, Debug, Default)]
struct RangeState {
    /// Number of the pending call. A response to any other call is ignored.
    call: Option<u64>,
    next_grant_at: u64,
    /// Time after which a failed release is retried, in milliseconds.
    retry_release_at: u64,
    /// The worker has seen a higher fencing token, so the range must be granted under a new one.
    is_fenced: bool,
    /// Number of consecutive grants without a response.
    failures: u32,
    /// First and last key of the pending grant.
    sent_range: (u32, u32),
    /// Time by which the lease of the pending grant has expired even if the grant arrives as late
    /// as possible, in milliseconds.
    pending_expiry: u64,
    /// The handover text of the holder, once it has released the range.
    released: Option<String>,
    /// Whether the final grant was made, which lets requests in progress complete before the
    /// release.
    is_final_granted: bool,
    /// Time by which the lease of the final grant has expired, in milliseconds.
    final_expiry: u64,
}

/// State of ranges that earlier leaders granted.
#[derive(Clone, Default)]
struct Inherited {
    /// Expiry bounds that hold for every lease granted by earlier leaders.
    expiry: Expiry,
    highest_token: u64,
    /// Ranges that were being revoked when this leader took over, by token and first key. They may
    /// have been given their final, longer grant.
    revoking: HashSet<(u64, u32)>,
}

/// The announced warm-up of a worker.
#[derive(Clone, Copy, Default)]
struct Warmup {
    /// Log index at which the warm-up was announced.
    index: u64,
    until: u64,
}

/// Decides which worker holds which keys, and when to call which worker.
#[derive(Clone)]
pub struct OwnershipManager {
    /// Longest lease that the deployment allows, in milliseconds.
    max_lease_ms: u64,
    resume_delay_ms: u64,
    times: LeaseTimes,
    ranges: BTreeMap<RangeKey, RangeState>,
    /// Number of calls made by this process. Call numbers are never reused.
    calls_made: u64,
    unmatched_results: u64,
    /// Expiry bounds by fencing token.
    expiries: BTreeMap<u64, Expiry>,
    inherited: Inherited,
    is_log_pending: bool,
    /// Workers that are warming up, by identifier.
    warming: BTreeMap<String, Warmup>,
    /// Workers that did not respond to grants, and the time until which they are given no keys, in
    /// milliseconds.
    avoided_until: BTreeMap<String, u64>,
    loads: Loads,
    renewal_interval_ms: u64,
    /// Whether a counting period has closed since the balance was last checked.
    has_new_loads: bool,
}

impl OwnershipManager {
    /// Creates the manager for a deployment in which leases last at most `max_lease_ms`, and a
    /// worker that was suspended may accept a grant up to `resume_delay_ms` late.
    pub fn new(max_lease_ms: u64, resume_delay_ms: u64) -> OwnershipManager {
        OwnershipManager {
            max_lease_ms,
            resume_delay_ms,
            times: LeaseTimes::new(max_lease_ms, resume_delay_ms),
            ranges: BTreeMap::new(),
            calls_made: 0,
            unmatched_results: 0,
            expiries: BTreeMap::new(),
            inherited: Inherited::default(),
            is_log_pending: false,
            warming: BTreeMap::new(),
            avoided_until: BTreeMap::new(),
            loads: Loads::default(),
            renewal_interval_ms: c::KEY_RENEWAL_INTERVAL_MS,
            has_new_loads: true,
        }
    }

    /// Starts a new leadership of this node. Grants of earlier leaders may have arrived as late as
    /// now, and calls they sent may still be in flight.
    pub fn start_leadership(&mut self, now: u64, state: &ControlState) {
        let settled_at = now + LATEST_ARRIVAL_MS;
        let leases = state.key_leases.values().flat_map(|t| t.values());
        let revoking = leases.filter(|l| l.revoking);
        let inherited = Inherited {
            expiry: Expiry {
                end: self.times.end(settled_at),
                settled_at,
            },
            highest_token: state.highest_fencing_token(),
            revoking: revoking.map(|l| (l.fencing_token, l.from)).collect(),
        };
        *self = OwnershipManager {
            loads: std::mem::take(&mut self.loads),
            calls_made: self.calls_made,
            unmatched_results: self.unmatched_results,
            inherited,
            ..OwnershipManager::new(self.max_lease_ms, self.resume_delay_ms)
        };
    }

    /// Adds a node's counts of requests by key and of outcomes by worker.
    pub fn add_loads(&mut self, keys: &[KeyCounts], workers: &[WorkerStats]) {
        self.loads.add(keys, workers);
    }

    /// Notes that the entry of the last [`Action::ProposeLeases`](crate::Action::ProposeLeases) has
    /// been applied, or has failed.
    pub fn on_proposal_finished(&mut self) {
        self.is_log_pending = false;
    }

    /// Handles the result of a grant. A result that belongs to no pending call changes nothing.
    pub fn on_grant_result(&mut self, now: u64, call: &GrantCall, result: GrantResult) {
        let lease = &call.lease;
        let interval_ms = self.renewal_interval_ms;
        let final_end = self.times.final_end(now);
        let Some(range) = self.pending_range(lease, call.number) else {
            return;
        };
        if result == GrantResult::Accepted {
            // A final grant that the worker answered has arrived by now, and only one is made.
            range.final_expiry = range.final_expiry.min(final_end);
        }
        let was_not_taken = matches!(result, GrantResult::NotSent | GrantResult::Fenced);
        let was_not_answered = matches!(result, GrantResult::NotSent | GrantResult::Unknown);
        range.call = None;
        range.is_fenced = result == GrantResult::Fenced;
        if was_not_taken {
            range.final_expiry = 0;
        }
        range.failures = if was_not_answered { range.failures + 1 } else { 0 };
        range.next_grant_at = now
            + if result == GrantResult::Accepted {
                interval_ms - renewal_offset(interval_ms, lease.fencing_token)
            } else {
                c::KEY_RENEWAL_INTERVAL_MS / 4
            };
        if range.failures >= c::MAX_GRANT_FAILURES {
            let until = now + c::HOLDER_BACKOFF_MS;
            self.avoided_until.insert(lease.worker.clone(), until);
        }
        self.record_expiry(now, lease.fencing_token, result);
    }

    fn record_expiry(&mut self, now: u64, token: u64, result: GrantResult) {
        let mut expiry = self.expiry(token);
        match result {
            // This grant has arrived by now, but an earlier one may still arrive.
            GrantResult::Accepted => expiry.end = self.times.end(now.max(expiry.settled_at)),
            GrantResult::NotSent | GrantResult::Fenced => {}
            GrantResult::Unknown => {
                expiry.settled_at = expiry.settled_at.max(now + ABANDONED_ARRIVAL_MS);
                expiry.end = expiry.end.max(self.times.end(expiry.settled_at));
            }
        }
        self.expiries.insert(token, expiry);
    }

    /// Handles the result of a release. The next [`OwnershipManager::tick`] acts on it.
    pub fn on_release_result(&mut self, now: u64, call: &ReleaseCall, result: ReleaseResult) {
        let Some(range) = self.pending_range(&call.lease, call.number) else {
            return;
        };
        range.call = None;
        match result {
            ReleaseResult::Released(handover) => range.released = Some(handover),
            ReleaseResult::Failed => range.retry_release_at = now + c::KEY_RENEWAL_INTERVAL_MS / 4,
        }
    }

    /// Returns the time by which all leases under a fencing token have expired, in milliseconds.
    pub fn expires_by(&self, token: u64) -> u64 {
        let ranges = self.ranges.iter();
        let pending = ranges.filter(|(key, range)| key.token == token && range.call.is_some());
        let expiries = pending.map(|(_, range)| range.pending_expiry);
        expiries.fold(self.expiry(token).end, u64::max)
    }

    /// Returns the number of results that belonged to no pending call: those of an earlier
    /// leadership, and duplicates.
    pub fn unmatched_results(&self) -> u64 {
        self.unmatched_results
    }

    /// Returns the range that waits for the result of this call. Counts the result as unmatched if
    /// there is none.
    fn pending_range(&mut self, lease: &KeyLease, number: u64) -> Option<&mut RangeState> {
        let range = self.ranges.get_mut(&RangeKey::of(lease));
        let range = range.filter(|state| state.call == Some(number));
        if range.is_none() {
            self.unmatched_results += 1;
        }
        range
    }

    fn expiry(&self, token: u64) -> Expiry {
        match self.expiries.get(&token) {
            Some(expiry) => *expiry,
            None if token <= self.inherited.highest_token => self.inherited.expiry,
            None => Expiry::default(),
        }
    }

    /// Returns the time by which the lease of a range has expired, in milliseconds. It covers
    /// completed calls and a final grant that an earlier leader may have made, but not the pending
    /// call.
    fn range_expiry(&self, lease: &KeyLease) -> u64 {
        let end = self.expiry(lease.fencing_token).end;
        let key = (lease.fencing_token, lease.from);
        if self.inherited.revoking.contains(&key) {
            end.max(self.times.final_end(self.inherited.expiry.settled_at))
        } else {
            end
        }
    }
}

/// Returns how much earlier than the interval a token is renewed, in milliseconds. Consecutive
/// tokens get different offsets.
fn renewal_offset(interval_ms: u64, token: u64) -> u64 {
    interval_ms / 4 * (token % RENEWAL_STEPS) / RENEWAL_STEPS
}
