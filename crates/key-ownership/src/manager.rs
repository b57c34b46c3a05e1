//! The state of ownership on the leader, and how calls change it.

mod round;

use crate::calls::{GrantCall, GrantResult, ReleaseCall, ReleaseResult};
use crate::expiry::{Expiry, LeaseTimes, GIVEN_UP_ARRIVAL_MS, LATEST_ARRIVAL_MS};
use crate::load::Loads;
use config::constants as c;
use control_state::ControlState;
use protocol::{KeyCounts, KeyLease, WorkerStats};
use std::collections::{BTreeMap, HashSet};

/// Renewals of different fencing tokens are spread over a part of the interval, in so many
/// steps: not all are due together.
const RENEWAL_STEPS: u64 = 16;

/// A range of a service under a fencing token.
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

/// What the leader knows of a range beside its lease.
#[derive(Clone, Debug, Default)]
struct RangeState {
    /// The number of the pending call: an answer to any other is too late.
    call: Option<u64>,
    next_grant_at: u64,
    /// When a release that failed is tried again.
    retry_release_at: u64,
    /// The worker has seen a higher fencing token: to be granted under a new one.
    is_fenced: bool,
    /// Grants in a row that were not answered.
    failures: u32,
    /// The first and last key of the pending grant.
    sent_range: (u32, u32),
    /// When the lease of the pending grant must have ended if it arrives as late as it can.
    pending_expiry: u64,
    /// The holder has let go, and handed this over.
    released: Option<String>,
    /// Its last grant before it lets go was made, so that what runs may end.
    is_final_granted: bool,
    /// When that lease must have ended.
    final_expiry: u64,
}

/// Ranges of the leaders before.
#[derive(Clone, Default)]
struct Inherited {
    /// Of everything that earlier leaders granted.
    expiry: Expiry,
    highest_token: u64,
    /// Ranges that were being revoked when this leader began, by token and first key: they may
    /// have had their last, longer grant.
    revoking: HashSet<(u64, u32)>,
}

/// How much longer a worker warms up.
#[derive(Clone, Copy, Default)]
struct Warmup {
    /// The index of the log at which that was told.
    index: u64,
    until: u64,
}

/// Decides who holds which keys, and when to call whom.
#[derive(Clone)]
pub struct OwnershipManager {
    /// The longest lease that the deployment allows, ms.
    most_lease_ms: u64,
    thaw_ms: u64,
    times: LeaseTimes,
    ranges: BTreeMap<RangeKey, RangeState>,
    /// Calls made by this process; their numbers are never used again.
    calls: u64,
    unmatched_answers: u64,
    /// By fencing token.
    expiries: BTreeMap<u64, Expiry>,
    inherited: Inherited,
    awaits_log: bool,
    /// Workers that warm up, by identifier.
    warming: BTreeMap<String, Warmup>,
    /// Workers that answered no grant, and until when they get no keys.
    avoided_until: BTreeMap<String, u64>,
    loads: Loads,
    renewal_interval_ms: u64,
    /// Loads were counted since their balance was last checked.
    has_new_loads: bool,
}

impl OwnershipManager {
    /// Ownership in a deployment where leases last `most_lease_ms` at the most, and a worker
    /// that stood still takes a grant up to `thaw_ms` late.
    pub fn new(most_lease_ms: u64, thaw_ms: u64) -> OwnershipManager {
        OwnershipManager {
            most_lease_ms,
            thaw_ms,
            times: LeaseTimes::new(most_lease_ms, thaw_ms),
            ranges: BTreeMap::new(),
            calls: 0,
            unmatched_answers: 0,
            expiries: BTreeMap::new(),
            inherited: Inherited::default(),
            awaits_log: false,
            warming: BTreeMap::new(),
            avoided_until: BTreeMap::new(),
            loads: Loads::default(),
            renewal_interval_ms: c::KEY_RENEWAL_INTERVAL_MS,
            has_new_loads: true,
        }
    }

    /// This node leads from now on: what earlier leaders granted may have arrived as late as
    /// now, and what they sent may still be under way.
    pub fn begin(&mut self, now: u64, state: &ControlState) {
        let settled = now + LATEST_ARRIVAL_MS;
        let leases = state.key_leases.values().flat_map(|t| t.values());
        let revoking = leases.filter(|l| l.revoking);
        let inherited = Inherited {
            expiry: Expiry {
                end: self.times.end(settled),
                settled,
            },
            highest_token: state.highest_fencing_token(),
            revoking: revoking.map(|l| (l.fencing_token, l.from)).collect(),
        };
        *self = OwnershipManager {
            loads: std::mem::take(&mut self.loads),
            calls: self.calls,
            unmatched_answers: self.unmatched_answers,
            inherited,
            ..OwnershipManager::new(self.most_lease_ms, self.thaw_ms)
        };
    }

    /// Adds what a node has counted.
    pub fn add_loads(&mut self, keys: &[KeyCounts], workers: &[WorkerStats]) {
        self.loads.add(keys, workers);
    }

    /// The last `Action::Log` is in the log and applied, or has failed.
    pub fn on_logged(&mut self) {
        self.awaits_log = false;
    }

    /// A grant has ended; one that nobody waits for any more changes nothing.
    pub fn on_grant_result(&mut self, now: u64, call: &GrantCall, result: GrantResult) {
        let lease = &call.lease;
        let interval_ms = self.renewal_interval_ms;
        let final_end = self.times.final_end(now);
        let Some(range) = self.waiting_range(lease, call.number) else {
            return;
        };
        if result == GrantResult::Accepted {
            // A last grant that is answered has arrived by now; there is but one.
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
            let until = now + c::HOLDER_AVOID_MS;
            self.avoided_until.insert(lease.worker.clone(), until);
        }
        self.note_expiry(now, lease.fencing_token, result);
    }

    fn note_expiry(&mut self, now: u64, token: u64, result: GrantResult) {
        let mut expiry = self.expiry(token);
        match result {
            // It arrived by now; one before it may still.
            GrantResult::Accepted => expiry.end = self.times.end(now.max(expiry.settled)),
            GrantResult::NotSent | GrantResult::Fenced => {}
            GrantResult::Unknown => {
                expiry.settled = expiry.settled.max(now + GIVEN_UP_ARRIVAL_MS);
                expiry.end = expiry.end.max(self.times.end(expiry.settled));
            }
        }
        self.expiries.insert(token, expiry);
    }

    /// A release has ended; the next [`OwnershipManager::tick`] goes on from there.
    pub fn on_release_result(&mut self, now: u64, call: &ReleaseCall, result: ReleaseResult) {
        let Some(range) = self.waiting_range(&call.lease, call.number) else {
            return;
        };
        range.call = None;
        match result {
            ReleaseResult::Released(handover) => range.released = Some(handover),
            ReleaseResult::Failed => range.retry_release_at = now + c::KEY_RENEWAL_INTERVAL_MS / 4,
        }
    }

    /// When all leases under a fencing token have certainly ended, ms.
    pub fn expires_by(&self, token: u64) -> u64 {
        let ranges = self.ranges.iter();
        let pending = ranges.filter(|(key, range)| key.token == token && range.call.is_some());
        let expiries = pending.map(|(_, range)| range.pending_expiry);
        expiries.fold(self.expiry(token).end, u64::max)
    }

    /// Answers that belonged to no pending call: of an earlier leadership, or second ones.
    pub fn unmatched_answers(&self) -> u64 {
        self.unmatched_answers
    }

    /// The range of a call, if it waits for just this one.
    fn waiting_range(&mut self, lease: &KeyLease, number: u64) -> Option<&mut RangeState> {
        let range = self.ranges.get_mut(&RangeKey::of(lease));
        let range = range.filter(|r| r.call == Some(number));
        if range.is_none() {
            self.unmatched_answers += 1;
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

    /// When the lease of a range has certainly ended, its last grant included, as far as calls
    /// that are over go.
    fn range_expiry(&self, lease: &KeyLease) -> u64 {
        let end = self.expiry(lease.fencing_token).end;
        let key = (lease.fencing_token, lease.from);
        if self.inherited.revoking.contains(&key) {
            end.max(self.times.final_end(self.inherited.expiry.settled))
        } else {
            end
        }
    }
}

/// How much earlier than others a token is renewed: tokens in turn come due in turn.
fn renewal_offset(interval_ms: u64, token: u64) -> u64 {
    interval_ms / 4 * (token % RENEWAL_STEPS) / RENEWAL_STEPS
}
