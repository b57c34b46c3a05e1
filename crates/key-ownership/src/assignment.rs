//! Assignment of key ranges to workers, and balancing of their load.

use crate::load::Loads;
use config::constants as c;
use control_state::{ControlState, KEY_SPACE};
use protocol::{KeyLease, Worker};
use std::cell::OnceCell;
use std::collections::HashMap;

/// Placeholder in a planned lease whose fencing token has not been assigned yet.
pub const NEW_TOKEN: u64 = 0;

/// Input for planning changes to key leases.
pub struct Assignment<'a> {
    pub state: &'a ControlState,
    pub loads: &'a Loads,
    pub is_deprioritized: &'a dyn Fn(&str) -> bool,
    /// Workers by service, computed on first use.
    by_service: OnceCell<HashMap<&'a str, Vec<&'a Worker>>>,
}

/// A worker that may be given keys, with its relative capacity and the load of the ranges it holds.
struct Candidate<'a> {
    worker: &'a Worker,
    capacity: f64,
    load: f64,
}

impl Candidate<'_> {
    fn utilization(&self) -> f64 {
        self.load / self.capacity
    }
}

impl<'a> Assignment<'a> {
    /// Creates the planning input from the current control state and the measured loads.
    /// `is_deprioritized` returns whether a worker should be given keys only if there is no other.
    pub fn new(
        state: &'a ControlState,
        loads: &'a Loads,
        is_deprioritized: &'a dyn Fn(&str) -> bool,
    ) -> Assignment<'a> {
        Assignment {
            state,
            loads,
            is_deprioritized,
            by_service: OnceCell::new(),
        }
    }

    fn workers_of(&self, service: &str) -> &[&'a Worker] {
        let by_service = self.by_service.get_or_init(|| {
            let mut all: HashMap<&str, Vec<&Worker>> = HashMap::new();
            for w in self.state.workers.values() {
                all.entry(&w.service).or_default().push(w);
            }
            all
        });
        by_service.get(service).map_or(&[], Vec::as_slice)
    }

    /// Returns the workers of a service that may be given keys. Deprioritized and ejected workers
    /// are returned only if there are no others.
    fn assignable_workers(&self, service: &str) -> Vec<&Worker> {
        if !self.state.is_partitioned(service) {
            return Vec::new();
        }
        let eligible: Vec<&Worker> = self
            .workers_of(service)
            .iter()
            .copied()
            .filter(|w| !w.draining && !self.state.evacuated.contains_key(&w.zone))
            .filter(|w| self.state.may_hold_keys(w))
            .collect();
        let is_preferred =
            |w: &&Worker| !(self.is_deprioritized)(&w.id) && !self.state.ejected.contains(&w.id);
        let preferred: Vec<&Worker> = eligible.iter().copied().filter(is_preferred).collect();
        if preferred.is_empty() {
            eligible
        } else {
            preferred
        }
    }

    fn candidates(&self, service: &str) -> Vec<Candidate<'_>> {
        let workers = self.assignable_workers(service);
        let mut load_by_worker: HashMap<&str, f64> = HashMap::new();
        let table = self.state.key_leases.get(service);
        for lease in table
            .into_iter()
            .flat_map(|t| t.values())
            .filter(|lease| !lease.revoking)
        {
            *load_by_worker.entry(&lease.worker).or_default() +=
                self.loads.weight(service, lease.from, lease.to);
        }
        let capacities = self.loads.capacities(&workers);
        workers
            .into_iter()
            .zip(capacities)
            .map(|(worker, capacity)| Candidate {
                worker,
                capacity,
                load: load_by_worker.get(worker.id.as_str()).copied().unwrap_or(0.0),
            })
            .collect()
    }

    /// Splits a range into parts of about equal load, one for each worker.
    fn split_by_load(
        &self,
        service: &str,
        from: u32,
        to: u32,
        worker_ids: &[String],
    ) -> Vec<(u32, u32, String)> {
        let total = self.loads.weight(service, from, to);
        let mut parts = Vec::new();
        let mut start = from;
        for (i, worker_id) in worker_ids.iter().enumerate() {
            if start > to {
                break;
            }
            let last = i + 1 == worker_ids.len();
            let end = if last {
                to
            } else {
                self.last_key_of_load(service, start, to, total / worker_ids.len() as f64)
            };
            parts.push((start, end, worker_id.clone()));
            start = end + 1;
        }
        parts
    }

    /// Returns the last key of the shortest range from `start` whose load is at least `target`, or
    /// `to` if the whole range has less.
    fn last_key_of_load(&self, service: &str, start: u32, to: u32, target: f64) -> u32 {
        let mut sum = 0.0;
        let reaches_target = |key: &u32| {
            sum += self.loads.weight(service, *key, *key);
            sum >= target
        };
        (start..=to).find(reaches_target).unwrap_or(to)
    }

    /// Returns the first leases of a service. Neighbouring ranges go to workers of the same zone.
    pub fn first_leases(&self, service: &str, next_token: &mut u64) -> Vec<KeyLease> {
        let mut workers = self.assignable_workers(service);
        workers.sort_by(|a, b| (&a.zone, &a.id).cmp(&(&b.zone, &b.id)));
        let worker_ids: Vec<String> = workers.iter().map(|w| w.id.clone()).collect();
        if worker_ids.is_empty() {
            return Vec::new();
        }
        self.split_by_load(service, 0, KEY_SPACE - 1, &worker_ids)
            .into_iter()
            .map(|(from, to, worker)| {
                *next_token += 1;
                KeyLease {
                    service: service.into(),
                    from,
                    to,
                    worker,
                    fencing_token: *next_token - 1,
                    ..Default::default()
                }
            })
            .collect()
    }

    /// Assigns ranges without a holder to the least utilized workers. Other changes are passed on;
    /// those with the placeholder token get a new one.
    pub fn assign(&self, changes: &[KeyLease], next_token: &mut u64) -> Vec<KeyLease> {
        let mut assigned = Vec::new();
        let mut candidates_by_service: Vec<(String, Vec<Candidate>)> = Vec::new();
        for change in changes {
            if !change.worker.is_empty() {
                let mut change = change.clone();
                if change.fencing_token == NEW_TOKEN {
                    change.fencing_token = *next_token;
                    *next_token += 1;
                }
                assigned.push(change);
                continue;
            }
            if !candidates_by_service.iter().any(|(s, _)| *s == change.service) {
                candidates_by_service.push((change.service.clone(), self.candidates(&change.service)));
            }
            let Some((_, candidates)) = candidates_by_service
                .iter_mut()
                .find(|(s, _)| *s == change.service)
            else {
                continue;
            };
            if candidates.is_empty() {
                // No worker can take the range. Its lease is logged without a holder once only.
                let preceding = self.state.key_lease(&change.service, change.from);
                if preceding.is_some_and(|lease| !lease.worker.is_empty()) {
                    assigned.push(change.clone());
                }
                continue;
            }
            // Takes the least utilized workers until their spare capacity suffices for the range.
            let weight = self.loads.weight(&change.service, change.from, change.to);
            let mean = 1.0 / candidates.iter().map(|candidate| candidate.capacity).sum::<f64>();
            candidates.sort_by(|a, b| a.utilization().total_cmp(&b.utilization()));
            let mut spare_capacity = 0.0;
            let mut worker_ids = Vec::new();
            for candidate in candidates.iter().take(c::MAX_SPLIT_RANGES) {
                worker_ids.push(candidate.worker.id.clone());
                spare_capacity += (mean * candidate.capacity - candidate.load).max(0.0);
                if spare_capacity >= weight * 0.8 {
                    break;
                }
            }
            for (from, to, worker) in self.split_by_load(&change.service, change.from, change.to, &worker_ids)
            {
                if let Some(candidate) = candidates
                    .iter_mut()
                    .find(|candidate| candidate.worker.id == worker)
                {
                    candidate.load += self.loads.weight(&change.service, from, to);
                }
                let handover = change.handover.clone();
                let service = change.service.clone();
                assigned.push(KeyLease {
                    service,
                    from,
                    to,
                    worker,
                    fencing_token: *next_token,
                    handover,
                    revoking: false,
                });
                *next_token += 1;
            }
        }
        assigned
    }

    /// Plans moves that even out the load: the most utilized workers give up load above the mean in
    /// steps, as far as the least utilized workers have room for it.
    pub fn rebalance(&self) -> Vec<KeyLease> {
        let mut moves = Vec::new();
        for (service, table) in &self.state.key_leases {
            let mut candidates = self.candidates(service);
            if candidates.len() < 2 {
                continue;
            }
            let mean = candidates.iter().map(|candidate| candidate.load).sum::<f64>()
                / candidates.iter().map(|candidate| candidate.capacity).sum::<f64>();
            // The fewer requests a worker gets, the larger is the random deviation of its count.
            let requests_per_worker =
                self.loads.rate(service) / candidates.len() as f64 * c::KEY_LOAD_WINDOW_S;
            let overload_ratio =
                c::OVERLOADED_FACTOR.max(1.0 + c::KEY_LOAD_DEVIATIONS / requests_per_worker.max(1.0).sqrt());
            // Ranges that remain with their workers after the moves planned so far.
            let unrevoked = table.values().filter(|lease| !lease.revoking);
            let mut remaining: Vec<KeyLease> = unrevoked.map(|lease| (**lease).clone()).collect();
            let pending_moves = table.len() - remaining.len();
            let max_moves = c::REBALANCE_MIN_MOVES.max(candidates.len() / c::REBALANCE_WORKERS_PER_MOVE);
            let move_limit = moves.len() + max_moves.saturating_sub(pending_moves);
            while moves.len() < move_limit {
                candidates.sort_by(|a, b| a.utilization().total_cmp(&b.utilization()));
                let (Some(least_utilized), Some(most_utilized)) = (candidates.first(), candidates.last())
                else {
                    break;
                };
                let is_overloaded = self.loads.has_enough_samples(service)
                    && most_utilized.utilization() > mean * overload_ratio;
                if !is_overloaded && least_utilized.utilization() >= mean * c::UNDERLOADED_FRACTION
                    || most_utilized.utilization() <= mean
                {
                    break;
                }
                let spare_load = (mean - least_utilized.utilization()) * least_utilized.capacity;
                let amount = ((most_utilized.utilization() - mean) * most_utilized.capacity).min(spare_load);
                let amount = if is_overloaded {
                    amount
                } else {
                    amount.max(spare_load * 0.5)
                };
                let own_leases = remaining
                    .iter()
                    .filter(|lease| lease.worker == most_utilized.worker.id);
                let subranges = own_leases.filter_map(|lease| self.end_subrange(lease, amount));
                let Some((subrange, weight)) = subranges.max_by(|a, b| a.1.total_cmp(&b.1)) else {
                    // A single key cannot be split; other workers may still have too much load.
                    candidates.pop();
                    continue;
                };
                remove_subrange(&mut remaining, &subrange);
                moves.push(subrange);
                let last = candidates.len() - 1;
                candidates[0].load += weight;
                candidates[last].load -= weight;
            }
        }
        moves
    }

    /// Returns a subrange at one end of a lease, marked for revocation, and its load, which is at
    /// most about `amount` (20 % more). Returns `None` if the single key at each end has more.
    fn end_subrange(&self, lease: &KeyLease, amount: f64) -> Option<(KeyLease, f64)> {
        let take_keys = |keys: &mut dyn Iterator<Item = u32>| {
            let (mut sum, mut end) = (0.0, None);
            for key in keys {
                let weight = self.loads.weight(&lease.service, key, key);
                if sum + weight > amount * 1.2 {
                    break;
                }
                sum += weight;
                end = Some(key);
                if sum >= amount {
                    break;
                }
            }
            end.map(|key| (key, sum))
        };
        let from_start = take_keys(&mut (lease.from..=lease.to));
        let from_end = take_keys(&mut (lease.from..=lease.to).rev());
        let subrange = |from, to| KeyLease {
            from,
            to,
            revoking: true,
            ..lease.clone()
        };
        match (from_start, from_end) {
            (Some((b, u)), d) if d.is_none_or(|(_, d)| u >= d) => Some((subrange(lease.from, b), u)),
            (_, Some((b, d))) => Some((subrange(b, lease.to), d)),
            _ => None,
        }
    }
}

/// Removes a subrange from the end of the lease that contains it.
fn remove_subrange(remaining: &mut Vec<KeyLease>, subrange: &KeyLease) {
    for lease in remaining.iter_mut().filter(|lease| {
        lease.fencing_token == subrange.fencing_token
            && lease.from <= subrange.from
            && lease.to >= subrange.to
    }) {
        if lease.from == subrange.from {
            lease.from = subrange.to + 1;
        } else {
            lease.to = subrange.from - 1;
        }
    }
    remaining.retain(|lease| lease.from <= lease.to);
}
