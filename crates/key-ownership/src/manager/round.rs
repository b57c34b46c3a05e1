//! One round of ownership decisions: which ranges to grant, to revoke and to log.

use super::{OwnershipManager, RangeKey, RangeState, Warmup};
use crate::assignment::{Assignment, NEW_TOKEN};
use crate::calls::{Action, GrantCall, ReleaseCall};
use crate::expiry::LATEST_ARRIVAL_MS;
use config::constants as c;
use control_state::ControlState;
use protocol::{KeyLease, Worker};
use std::collections::{BTreeMap, HashSet};
use std::sync::Arc;

/// Minimum number of grants allowed in one round.
const MIN_GRANTS: usize = 8;

/// A grant call and the time since which it is due, in milliseconds.
struct DueGrant {
    due_at: u64,
    call: GrantCall,
}

/// Decisions of a round so far.
#[derive(Default)]
struct Round {
    actions: Vec<Action>,
    grants: Vec<DueGrant>,
    /// Leases to be changed. Those without a worker are still to be assigned to one.
    changes: Vec<KeyLease>,
}

/// Calls that were pending when the round began.
#[derive(Default)]
struct PendingCalls {
    /// Token and range of each pending call. The range is the one that was sent, which may be
    /// larger than the current lease.
    ranges: Vec<(u64, (u32, u32))>,
    /// Latest expiry by fencing token, since subranges of one split range share a token.
    expiries: BTreeMap<u64, u64>,
}

impl PendingCalls {
    fn of(ranges: &BTreeMap<RangeKey, RangeState>) -> PendingCalls {
        let mut pending = PendingCalls::default();
        for (key, range) in ranges.iter().filter(|(_, range)| range.call.is_some()) {
            pending.ranges.push((key.token, range.sent_range));
            let expiry = pending.expiries.entry(key.token).or_default();
            *expiry = range.pending_expiry.max(*expiry);
        }
        pending
    }

    fn expiry(&self, token: u64) -> u64 {
        self.expiries.get(&token).copied().unwrap_or(0)
    }

    fn overlaps(&self, lease: &KeyLease) -> bool {
        let overlaps = |from: u32, to: u32| from <= lease.to && to >= lease.from;
        let mut ranges = self.ranges.iter();
        ranges.any(|(token, (from, to))| *token == lease.fencing_token && overlaps(*from, *to))
    }
}

/// Returns a lease without its holder.
fn without_holder(lease: &KeyLease) -> KeyLease {
    KeyLease {
        worker: String::new(),
        revoking: false,
        ..lease.clone()
    }
}

impl OwnershipManager {
    /// Checks all leases and returns the actions to carry out.
    pub fn tick(&mut self, now: u64, state: &ControlState) -> Vec<Action> {
        if state.configuration.is_none() {
            return Vec::new();
        }
        self.record_warmups(now, state);
        self.has_new_loads |= self.loads.close_period(now);
        let tables = state.key_leases.values();
        let leases: Vec<Arc<KeyLease>> = tables.flat_map(|t| t.values().cloned()).collect();
        self.remove_stale_state(&leases, state.highest_fencing_token());
        let pending = PendingCalls::of(&self.ranges);
        let mut round = Round::default();
        for lease in &leases {
            self.check_lease(now, state, lease, &pending, &mut round);
        }
        self.make_due_grants(now, leases.len(), &mut round);
        if !self.is_log_pending {
            self.log_changes(now, state, &mut round);
        }
        round.actions
    }

    /// Records the end of each worker's warm-up, counted from when it was announced.
    fn record_warmups(&mut self, now: u64, state: &ControlState) {
        let is_warming = |id: &String| state.workers.get(id).is_some_and(|w| w.warmup_ms > 0);
        self.warming.retain(|id, _| is_warming(id));
        for worker in state.workers.values().filter(|w| w.warmup_ms > 0) {
            let warmup = self.warming.entry(worker.id.clone()).or_default();
            if warmup.index != worker.warmup_index {
                *warmup = Warmup {
                    index: worker.warmup_index,
                    until: now + worker.warmup_ms + c::WARMUP_MARGIN_MS,
                };
            }
        }
    }

    /// Drops the state of ranges that no longer exist. Tokens above the highest logged one are
    /// kept, since they are still to be logged. Sets are used because with hundreds of holders,
    /// comparing each range with every lease would take the leader longer than the renewals.
    fn remove_stale_state(&mut self, leases: &[Arc<KeyLease>], highest_token: u64) {
        let current: HashSet<(&str, u32, u64)> = leases
            .iter()
            .map(|lease| (lease.service.as_str(), lease.from, lease.fencing_token))
            .collect();
        self.ranges.retain(|key, range| {
            range.call.is_some() || current.contains(&(key.service.as_str(), key.from, key.token))
        });
        let tokens: HashSet<u64> = leases.iter().map(|lease| lease.fencing_token).collect();
        self.expiries
            .retain(|token, _| *token > highest_token || tokens.contains(token));
    }

    fn check_lease(
        &mut self,
        now: u64,
        state: &ControlState,
        lease: &KeyLease,
        pending: &PendingCalls,
        round: &mut Round,
    ) {
        let range = self.ranges.entry(RangeKey::of(lease)).or_default();
        if lease.worker.is_empty() {
            if range.call.is_none() {
                round.changes.push(without_holder(lease));
            }
            return;
        }
        let listed = state.workers.get(&lease.worker);
        let Some(worker) = listed.filter(|_| state.is_partitioned(&lease.service)) else {
            // There is no listed worker to call, but that does not end the lease: a worker that the
            // list omits may still run.
            round.changes.extend(self.freed(now, lease, pending));
            return;
        };
        let must_revoke = lease.revoking
            || worker.draining
            || state.evacuated.contains_key(&worker.zone)
            || state.ejected.contains(&worker.id)
            || !state.may_hold_keys(worker)
            || range.failures >= c::MAX_GRANT_FAILURES;
        let due_at = if must_revoke {
            range.retry_release_at
        } else {
            range.next_grant_at
        };
        if range.call.is_some() || now < due_at {
            return;
        }
        if must_revoke {
            self.revoke(now, state, lease, worker, pending, round);
        } else if range.is_fenced {
            round.changes.push(KeyLease {
                fencing_token: NEW_TOKEN,
                handover: String::new(),
                ..lease.clone()
            });
        } else {
            let call = GrantCall {
                number: 0,
                address: worker.address.clone(),
                lease: lease.clone(),
                lease_ms: self.times.lease_ms,
            };
            round.grants.push(DueGrant { due_at, call });
        }
    }

    /// Performs one step of revoking a range: mark it, request its release, and free it.
    fn revoke(
        &mut self,
        now: u64,
        state: &ControlState,
        lease: &KeyLease,
        worker: &Worker,
        pending: &PendingCalls,
        round: &mut Round,
    ) {
        if !lease.revoking {
            round.changes.push(KeyLease {
                revoking: true,
                ..lease.clone()
            });
            return;
        }
        if let Some(freed) = self.freed(now, lease, pending) {
            round.changes.push(freed);
            return;
        }
        let is_settled = self.expiry(lease.fencing_token).settled_at <= now;
        if is_settled && !pending.overlaps(lease) {
            let is_ejected = state.ejected.contains(&worker.id);
            let action = self.revocation_call(now, lease, worker, is_ejected);
            round.actions.extend(action);
        }
    }

    /// Returns the lease without its holder if the holder has released it or the lease has expired.
    fn freed(&self, now: u64, lease: &KeyLease, pending: &PendingCalls) -> Option<KeyLease> {
        let range = self.ranges.get(&RangeKey::of(lease))?;
        let expiry = self.range_expiry(lease).max(pending.expiry(lease.fencing_token));
        let has_expired = expiry.max(range.final_expiry) <= now;
        (range.released.is_some() || has_expired).then(|| KeyLease {
            handover: range.released.clone().unwrap_or_default(),
            ..without_holder(lease)
        })
    }

    /// Returns the next call for revoking a range: first a final, longer grant, so that requests in
    /// progress can complete; then the release.
    fn revocation_call(
        &mut self,
        now: u64,
        lease: &KeyLease,
        worker: &Worker,
        is_ejected: bool,
    ) -> Option<Action> {
        let times = self.times;
        let range = self.ranges.get_mut(&RangeKey::of(lease))?;
        self.calls_made += 1;
        let number = self.calls_made;
        range.call = Some(number);
        // No final grant goes to a worker that left grants unanswered or is ejected.
        let is_responsive = range.failures == 0 && !is_ejected;
        let address = worker.address.clone();
        let lease = lease.clone();
        if !range.is_final_granted && is_responsive && times.final_ms > times.lease_ms {
            range.is_final_granted = true;
            range.final_expiry = times.final_end(now + LATEST_ARRIVAL_MS);
            range.sent_range = (lease.from, lease.to);
            range.pending_expiry = times.end(now + LATEST_ARRIVAL_MS);
            return Some(Action::Grant(GrantCall {
                number,
                address,
                lease,
                lease_ms: times.final_ms,
            }));
        }
        range.pending_expiry = 0;
        Some(Action::Release(ReleaseCall {
            number,
            address,
            lease,
        }))
    }

    /// Makes some of the grants that are due, the most urgent first. Hundreds of calls at once
    /// would delay the heartbeats.
    fn make_due_grants(&mut self, now: u64, lease_count: usize, round: &mut Round) {
        let interval_ms = lease_count as u64 * 1000 / c::MAX_GRANTS_PER_S;
        self.renewal_interval_ms =
            interval_ms.clamp(c::KEY_RENEWAL_INTERVAL_MS, c::KEY_RENEWAL_MAX_INTERVAL_MS);
        let renewal_ms = self.renewal_interval_ms as usize;
        let max_grants = MIN_GRANTS + lease_count * 2 * c::KEY_CHECK_INTERVAL_MS as usize / renewal_ms;
        let pending_expiry = self.times.end(now + LATEST_ARRIVAL_MS);
        round.grants.sort_by_key(|g| g.due_at);
        for DueGrant { mut call, .. } in round.grants.drain(..).take(max_grants) {
            self.calls_made += 1;
            call.number = self.calls_made;
            if let Some(range) = self.ranges.get_mut(&RangeKey::of(&call.lease)) {
                range.call = Some(call.number);
                range.sent_range = (call.lease.from, call.lease.to);
                range.pending_expiry = pending_expiry;
            }
            round.actions.push(Action::Grant(call));
        }
    }

    /// Assigns ranges without a holder, creates the first leases of new services, and rebalances
    /// the load.
    fn log_changes(&mut self, now: u64, state: &ControlState, round: &mut Round) {
        let is_deprioritized = |id: &str| {
            let worker = state.workers.get(id);
            self.is_deprioritized(now, id) || worker.is_some_and(|w| state.is_warmup_unknown(w))
        };
        let assignment = Assignment::new(state, &self.loads, &is_deprioritized);
        let mut next_token = state.highest_fencing_token() + 1;
        let mut changes = assignment.assign(&round.changes, &mut next_token);
        let services = state.configuration.iter().flat_map(|c| c.services.values());
        for service in services.filter(|s| s.partitioned) {
            if !state.key_leases.contains_key(&*service.name) {
                changes.extend(assignment.first_leases(&service.name, &mut next_token));
            }
        }
        // The balance is checked only when there are new counts. With hundreds of holders, some
        // keys are always being moved for other reasons.
        let is_balance_due = changes.is_empty() && self.has_new_loads;
        if is_balance_due {
            changes = assignment.rebalance();
        }
        self.has_new_loads &= !is_balance_due;
        self.inherit_expiries(state, &changes);
        if !changes.is_empty() {
            self.is_log_pending = true;
            round.actions.push(Action::ProposeLeases(changes));
        }
    }

    /// Carries the expiry bounds over to the new token of a holder that keeps its range. The holder
    /// may hold the range under the old token until that lease expires, even if the grant under the
    /// new token fails.
    fn inherit_expiries(&mut self, state: &ControlState, changes: &[KeyLease]) {
        for change in changes.iter().filter(|change| !change.worker.is_empty()) {
            let old_lease = state.key_lease(&change.service, change.from);
            let old_lease = old_lease.filter(|lease| lease.worker == change.worker);
            let Some(old_lease) = old_lease.filter(|lease| lease.fencing_token != change.fencing_token)
            else {
                continue;
            };
            let expiry = self.expiry(old_lease.fencing_token);
            self.expiries.insert(change.fencing_token, expiry);
        }
    }

    /// Returns whether a worker is warming up or has recently not responded to grants.
    fn is_deprioritized(&self, now: u64, id: &str) -> bool {
        self.warming.get(id).is_some_and(|w| now < w.until)
            || self.avoided_until.get(id).is_some_and(|until| now < *until)
    }
}
