//! Keys that workers hold: contiguous ranges, fences from the log, renewals,
//! hand-over by release, and the wait for a holder that fell silent.
//!
//! A pure state machine. It runs on the leader while that holds its lease; who
//! holds what is in the control state, and is logged before it is granted.

mod loads;
mod plan;

use config::constants as c;
use control_state::ControlState;
use loads::Loads;
use plan::View;
use protocol::{KeyCounts, KeyLease, WorkerStats};
use std::collections::{BTreeMap, HashSet};
use std::sync::Arc;

/// A call to a worker that gives it keys, or gives them again.
#[derive(Clone, Debug, PartialEq)]
pub struct GrantCall {
    /// Tells the call from all others of this process.
    pub number: u64,
    pub address: String,
    pub holding: KeyLease,
    pub hold_ms: u64,
}

/// A call that takes keys back.
#[derive(Clone, Debug, PartialEq)]
pub struct ReleaseCall {
    /// Tells the call from all others of this process.
    pub number: u64,
    pub address: String,
    pub holding: KeyLease,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Act {
    /// To be put into the log; [`OwnershipManager::logged`] says how that went.
    Log(Vec<KeyLease>),
    Grant(GrantCall),
    Release(ReleaseCall),
}

/// How a grant ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Granted {
    Yes,
    /// The worker has seen a higher fence.
    Outrun,
    /// No byte of the call went out.
    NotSent,
    /// It may have arrived.
    Unclear,
}

/// How a release ended.
#[derive(Clone, Debug, PartialEq)]
pub enum Released {
    Yes(String),
    Failed,
}

#[derive(Clone, Debug, Default)]
struct Track {
    /// The number of the call under way: an answer to any other is too late.
    call: Option<u64>,
    next_at: u64,
    /// When a release that failed is tried again.
    retry_at: u64,
    /// The worker has seen a higher fence: grant under a new one.
    outrun: bool,
    /// Grants in a row that were not answered.
    failures: u32,
    /// The range of the grant under way, and when its hold must have ended if it
    /// arrives as late as it can.
    sent: (u32, u32),
    bound: u64,
    /// The holder has let go, and handed this over.
    freed: Option<String>,
    /// Its last grant before it lets go was made, so that what runs may end; and
    /// when that hold must have ended.
    extended: bool,
    extended_end: u64,
}

/// By when a grant has arrived or never will, from when it is made, ms: it is given
/// up after its wait, and what has gone out by then ends with its connection.
const LATE_MS: u64 = c::GRANT_TIMEOUT_MS + c::WORKER_USER_TIMEOUT_MS + 4 * c::DEFAULT_RTT_MS as u64;

/// When the hold under a fence must have ended, as far as calls that are over
/// go, and until when one of unclear end may still arrive.
#[derive(Clone, Copy, Debug, Default)]
struct Hold {
    end: u64,
    settled: u64,
}

#[derive(Clone)]
pub struct OwnershipManager {
    hold_ms: u64,
    thaw_ms: u64,
    tracks: BTreeMap<(String, u32, u64), Track>,
    /// Calls made in this life; their numbers are never used again.
    calls: u64,
    /// Answers to calls that nobody waits for: of an earlier duty, or a second one.
    unknown_answers: u64,
    holds: BTreeMap<u64, Hold>,
    /// Holds under fences that an earlier leader granted.
    inherited: Hold,
    inherited_top: u64,
    /// Ranges that were on their way when the duty began, by fence and first key:
    /// they may have had their last, longer grant.
    inherited_leaving: HashSet<(u64, u32)>,
    hold_limit_ms: u64,
    /// How long the last grant before a release holds.
    last_ms: u64,
    awaiting_log: bool,
    cold: BTreeMap<String, (u64, u64)>,
    /// Workers that answered no grant, and until when they get no keys.
    shunned: BTreeMap<String, u64>,
    loads: Loads,
    /// Pause between two renewals of a grant.
    renew_ms: u64,
    /// Loads were counted since the last look at their balance.
    counted: bool,
}

impl OwnershipManager {
    pub fn new(hold_limit_ms: u64, thaw_ms: u64) -> OwnershipManager {
        OwnershipManager {
            hold_ms: c::KEY_LEASE_MS.min(hold_limit_ms),
            thaw_ms,
            tracks: BTreeMap::new(),
            calls: 0,
            unknown_answers: 0,
            holds: BTreeMap::new(),
            inherited: Hold::default(),
            inherited_top: 0,
            inherited_leaving: HashSet::new(),
            hold_limit_ms,
            last_ms: c::FINAL_KEY_LEASE_MS.min(hold_limit_ms),
            awaiting_log: false,
            cold: BTreeMap::new(),
            shunned: BTreeMap::new(),
            loads: Loads::default(),
            renew_ms: c::KEY_RENEWAL_INTERVAL_MS,
            counted: true,
        }
    }

    /// The longest that a grant arriving at `now` can last.
    fn end_of(&self, now: u64) -> u64 {
        self.end_after(now, self.hold_ms)
    }

    fn end_after(&self, now: u64, hold_ms: u64) -> u64 {
        now + (hold_ms as f64 * c::LEASE_CLOCK_FACTOR).ceil() as u64 + self.thaw_ms
    }

    /// When the hold of a range has certainly ended, its last grant included, as
    /// far as calls that are over go.
    fn range_end(&self, h: &KeyLease) -> u64 {
        let hold = self.hold(h.fencing_token).end;
        if self.inherited_leaving.contains(&(h.fencing_token, h.from)) {
            hold.max(self.end_after(self.inherited.settled, self.last_ms))
        } else {
            hold
        }
    }

    /// Begins the duty: what earlier leaders granted may have arrived as late
    /// as now, and what they sent may still be under way.
    pub fn begin(&mut self, now: u64, stage: &ControlState) {
        let settled = now + LATE_MS;
        let loads = std::mem::take(&mut self.loads);
        *self = OwnershipManager {
            loads,
            calls: self.calls,
            unknown_answers: self.unknown_answers,
            inherited: Hold {
                end: self.end_of(settled),
                settled,
            },
            inherited_top: stage.highest_fencing_token(),
            inherited_leaving: stage
                .key_leases
                .values()
                .flat_map(|t| t.values())
                .filter(|h| h.revoking)
                .map(|h| (h.fencing_token, h.from))
                .collect(),
            ..OwnershipManager::new(self.hold_limit_ms, self.thaw_ms)
        };
    }

    fn hold(&self, fence: u64) -> Hold {
        match self.holds.get(&fence) {
            Some(h) => *h,
            None if fence <= self.inherited_top => self.inherited,
            None => Hold::default(),
        }
    }

    fn key(h: &KeyLease) -> (String, u32, u64) {
        (h.service.clone(), h.from, h.fencing_token)
    }

    /// Looks at who holds what and says what to do.
    pub fn tick(&mut self, now: u64, stage: &ControlState) -> Vec<Act> {
        let Some(config) = &stage.configuration else {
            return Vec::new();
        };
        self.note_cold(now, stage);
        self.counted |= self.loads.close(now);
        let holdings: Vec<Arc<KeyLease>> = stage
            .key_leases
            .values()
            .flat_map(|t| t.values().cloned())
            .collect();
        // With hundreds of holders a look at each for every other would take
        // the leader longer than the renewals.
        let held: HashSet<(&str, u32, u64)> = holdings
            .iter()
            .map(|h| (h.service.as_str(), h.from, h.fencing_token))
            .collect();
        self.tracks
            .retain(|(s, from, fence), t| t.call.is_some() || held.contains(&(s.as_str(), *from, *fence)));
        let fences: HashSet<u64> = holdings.iter().map(|h| h.fencing_token).collect();
        self.holds.retain(|fence, _| fences.contains(fence));
        // A grant under way covers what its range was when it was sent, which
        // may be more than the holding is now.
        let flying: Vec<(u64, (u32, u32))> = self
            .tracks
            .iter()
            .filter(|(_, t)| t.call.is_some())
            .map(|((_, _, fence), t)| (*fence, t.sent))
            .collect();
        // Pieces of one range share its fence.
        let mut bounds: BTreeMap<u64, u64> = BTreeMap::new();
        for ((_, _, fence), t) in self.tracks.iter().filter(|(_, t)| t.call.is_some()) {
            let bound = bounds.entry(*fence).or_default();
            *bound = t.bound.max(*bound);
        }
        let late_end = self.end_of(now + LATE_MS);
        let mut acts = Vec::new();
        let mut grants: Vec<(u64, GrantCall)> = Vec::new();
        let mut puts: Vec<KeyLease> = Vec::new();
        for h in &holdings {
            let worker = stage.workers.get(&h.worker);
            let hold = self.hold(h.fencing_token);
            let range_end = self
                .range_end(h)
                .max(bounds.get(&h.fencing_token).copied().unwrap_or(0));
            let number = self.calls + 1;
            let long_ms = self.last_ms;
            let long_end = self.end_after(now + LATE_MS, long_ms);
            let track = self.tracks.entry(Self::key(h)).or_default();
            let Some(worker) = worker else {
                // Nobody holds it, or the life that held it has ended.
                if track.call.is_none() {
                    puts.push(KeyLease {
                        worker: String::new(),
                        revoking: false,
                        ..(**h).clone()
                    });
                }
                continue;
            };
            let must_leave = h.revoking
                || worker.draining
                || stage.evacuated.contains_key(&worker.zone)
                || stage.ejected.contains(&worker.id)
                || !stage.may_hold_keys(worker)
                || track.failures >= c::MAX_GRANT_FAILURES;
            if track.call.is_some() || now < if must_leave { track.retry_at } else { track.next_at } {
                continue;
            }
            if must_leave {
                if !h.revoking {
                    puts.push(KeyLease {
                        revoking: true,
                        ..(**h).clone()
                    });
                } else if track.freed.is_some() || range_end.max(track.extended_end) <= now {
                    puts.push(KeyLease {
                        worker: String::new(),
                        revoking: false,
                        handover: track.freed.clone().unwrap_or_default(),
                        ..(**h).clone()
                    });
                } else if hold.settled <= now
                    && !flying
                        .iter()
                        .any(|(fence, (a, b))| *fence == h.fencing_token && *a <= h.to && *b >= h.from)
                {
                    self.calls = number;
                    track.call = Some(number);
                    // What runs goes on until its end; the hold must outlast it. Who
                    // has left grants unanswered is let run out instead.
                    let well = track.failures == 0 && !stage.ejected.contains(&worker.id);
                    if !track.extended && well && long_ms > self.hold_ms {
                        track.extended = true;
                        track.extended_end = long_end;
                        track.sent = (h.from, h.to);
                        track.bound = late_end;
                        acts.push(Act::Grant(GrantCall {
                            number,
                            address: worker.address.clone(),
                            holding: (**h).clone(),
                            hold_ms: long_ms,
                        }));
                        continue;
                    }
                    track.bound = 0;
                    let call = ReleaseCall {
                        number,
                        address: worker.address.clone(),
                        holding: (**h).clone(),
                    };
                    acts.push(Act::Release(call));
                }
                continue;
            }
            if track.outrun {
                puts.push(KeyLease {
                    fencing_token: plan::NEW_FENCE,
                    handover: String::new(),
                    ..(**h).clone()
                });
                continue;
            }
            let call = GrantCall {
                number: 0,
                address: worker.address.clone(),
                holding: (**h).clone(),
                hold_ms: self.hold_ms,
            };
            grants.push((track.next_at, call));
        }
        // A part of all that is held in one look, the most urgent first: made all
        // at once, hundreds of calls would hold up the heartbeats.
        self.renew_ms = (holdings.len() as u64 * 1000 / c::MAX_GRANTS_PER_S)
            .clamp(c::KEY_RENEWAL_INTERVAL_MS, c::KEY_RENEWAL_MAX_INTERVAL_MS);
        let room = 8 + holdings.len() * 2 * c::KEY_CHECK_INTERVAL_MS as usize / self.renew_ms as usize;
        grants.sort_by_key(|(due, _)| *due);
        for (_, mut call) in grants.into_iter().take(room) {
            self.calls += 1;
            call.number = self.calls;
            if let Some(track) = self.tracks.get_mut(&Self::key(&call.holding)) {
                track.call = Some(call.number);
                track.sent = (call.holding.from, call.holding.to);
                track.bound = late_end;
            }
            acts.push(Act::Grant(call));
        }
        if self.awaiting_log {
            return acts;
        }
        let cold = |id: &str| {
            let unread = |w: &Arc<protocol::Worker>| stage.is_warmup_unknown(w);
            self.is_weak(now, id) || stage.workers.get(id).is_some_and(unread)
        };
        let view = View::new(stage, &self.loads, &cold);
        let mut next_fence = stage.highest_fencing_token() + 1;
        let mut logged = view.hand_out(&puts, &mut next_fence);
        for service in config.services.values().filter(|s| s.partitioned) {
            if !stage.key_leases.contains_key(&*service.name) {
                logged.extend(view.first(&service.name, &mut next_fence));
            }
        }
        // Balance is looked at when there is a new count to go by; among hundreds
        // of holders some keys are always on their way for other reasons.
        let look = logged.is_empty() && self.counted;
        if look {
            logged = view.even_out();
        }
        self.counted &= !look;
        if !logged.is_empty() {
            self.awaiting_log = true;
            acts.push(Act::Log(logged));
        }
        acts
    }

    /// Whether a worker is cold or has lately answered no grant.
    fn is_weak(&self, now: u64, id: &str) -> bool {
        self.cold.get(id).is_some_and(|(_, until)| now < *until)
            || self.shunned.get(id).is_some_and(|until| now < *until)
    }

    /// Remembers how long workers stay cold, from when it was told.
    fn note_cold(&mut self, now: u64, stage: &ControlState) {
        self.cold
            .retain(|id, _| stage.workers.get(id).is_some_and(|w| w.warmup_ms > 0));
        for w in stage.workers.values().filter(|w| w.warmup_ms > 0) {
            let entry = self.cold.entry(w.id.clone()).or_default();
            if entry.0 != w.warmup_index {
                *entry = (w.warmup_index, now + w.warmup_ms + c::WARMUP_MARGIN_MS);
            }
        }
    }

    /// Takes in what a proxy counted.
    pub fn take_loads(&mut self, keys: &[KeyCounts], capacity: &[WorkerStats]) {
        self.loads.take(keys, capacity);
    }

    /// Word that the last [`Act::Log`] is in the log and applied, or failed.
    pub fn logged(&mut self) {
        self.awaiting_log = false;
    }

    /// Takes note of how a grant ended; an answer that nobody waits for any more
    /// changes nothing.
    pub fn granted(&mut self, now: u64, call: &GrantCall, granted: Granted) {
        let holding = &call.holding;
        let renew_ms = self.renew_ms;
        let Some(t) = self.waiting(holding, call.number) else {
            return;
        };
        t.call = None;
        t.outrun = granted == Granted::Outrun;
        if matches!(granted, Granted::NotSent | Granted::Outrun) {
            t.extended_end = 0;
        }
        t.failures = if matches!(granted, Granted::NotSent | Granted::Unclear) {
            t.failures + 1
        } else {
            0
        };
        // Not all in step: fences in turn come due in turn.
        let turn = renew_ms / 4 * (holding.fencing_token % 16) / 16;
        t.next_at = now
            + if granted == Granted::Yes {
                renew_ms - turn
            } else {
                c::KEY_RENEWAL_INTERVAL_MS / 4
            };
        if t.failures >= c::MAX_GRANT_FAILURES {
            self.shunned
                .insert(holding.worker.clone(), now + c::HOLDER_AVOID_MS);
        }
        let mut hold = self.hold(holding.fencing_token);
        match granted {
            // It arrived by now; one before it may still.
            Granted::Yes => hold.end = self.end_of(now.max(hold.settled)),
            Granted::NotSent | Granted::Outrun => {}
            Granted::Unclear => {
                let settled = now + c::WORKER_USER_TIMEOUT_MS + 4 * c::DEFAULT_RTT_MS as u64;
                hold.settled = settled.max(hold.settled);
                hold.end = self.end_of(hold.settled).max(hold.end);
            }
        }
        self.holds.insert(holding.fencing_token, hold);
    }

    /// When the hold under a fence has certainly ended.
    pub fn hold_end(&self, fence: u64) -> u64 {
        let flying = self
            .tracks
            .iter()
            .filter(|((_, _, f), t)| *f == fence && t.call.is_some());
        flying.map(|(_, t)| t.bound).fold(self.hold(fence).end, u64::max)
    }

    /// Answers that belonged to no call under way.
    pub fn unknown_answers(&self) -> u64 {
        self.unknown_answers
    }

    /// The track of a call, if it waits for just this one.
    fn waiting(&mut self, holding: &KeyLease, number: u64) -> Option<&mut Track> {
        let track = self.tracks.get_mut(&Self::key(holding));
        let track = track.filter(|t| t.call == Some(number));
        if track.is_none() {
            self.unknown_answers += 1;
        }
        track
    }

    /// Takes note of a release; the next [`OwnershipManager::tick`] goes on from there.
    pub fn released(&mut self, now: u64, call: &ReleaseCall, released: Released) {
        let Some(track) = self.waiting(&call.holding, call.number) else {
            return;
        };
        track.call = None;
        match released {
            Released::Yes(handover) => track.freed = Some(handover),
            Released::Failed => track.retry_at = now + c::KEY_RENEWAL_INTERVAL_MS / 4,
        }
    }
}

#[cfg(test)]
mod tests;
