//! Who gets which ranges.

use crate::load::Loads;
use config::constants as c;
use control_state::{ControlState, KEY_SPACE};
use protocol::{KeyLease, Worker};
use std::cell::OnceCell;
use std::collections::HashMap;

/// Stands for a fence that is still to be given.
pub const NEW_TOKEN: u64 = 0;

/// What planning goes by.
pub struct Assignment<'a> {
    pub state: &'a ControlState,
    pub loads: &'a Loads,
    pub is_weak: &'a dyn Fn(&str) -> bool,
    /// The workers by service, once they have been asked for.
    by_service: OnceCell<HashMap<&'a str, Vec<&'a Worker>>>,
}

/// A worker that may be given keys, what it bears and what it has.
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
    /// The key leases of a state as they are, with the loads that were counted. `is_weak` says
    /// which workers should hold less.
    pub fn new(
        state: &'a ControlState,
        loads: &'a Loads,
        is_weak: &'a dyn Fn(&str) -> bool,
    ) -> Assignment<'a> {
        Assignment {
            state,
            loads,
            is_weak,
            by_service: OnceCell::new(),
        }
    }

    /// The workers of a service.
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

    /// The workers of a service that may be given keys: warm ones, or cold
    /// ones if there are no others.
    fn usable(&self, service: &str) -> Vec<&Worker> {
        if !self.state.is_partitioned(service) {
            return Vec::new();
        }
        let able: Vec<&Worker> = self
            .workers_of(service)
            .iter()
            .copied()
            .filter(|w| !w.draining && !self.state.evacuated.contains_key(&w.zone))
            .filter(|w| self.state.may_hold_keys(w))
            .collect();
        let fit = |w: &&Worker| !(self.is_weak)(&w.id) && !self.state.ejected.contains(&w.id);
        let warm: Vec<&Worker> = able.iter().copied().filter(fit).collect();
        if warm.is_empty() {
            able
        } else {
            warm
        }
    }

    fn candidates(&self, service: &str) -> Vec<Candidate<'_>> {
        let usable = self.usable(service);
        let mut held: HashMap<&str, f64> = HashMap::new();
        let table = self.state.key_leases.get(service);
        for h in table.into_iter().flat_map(|t| t.values()).filter(|h| !h.revoking) {
            *held.entry(&h.worker).or_default() += self.loads.weight(service, h.from, h.to);
        }
        let capacities = self.loads.capacities(&usable);
        usable
            .into_iter()
            .zip(capacities)
            .map(|(worker, capacity)| Candidate {
                worker,
                capacity,
                load: held.get(worker.id.as_str()).copied().unwrap_or(0.0),
            })
            .collect()
    }

    /// Cuts a range into parts of about equal load, one for each name.
    fn cut(&self, service: &str, from: u32, to: u32, names: &[String]) -> Vec<(u32, u32, String)> {
        let total = self.loads.weight(service, from, to);
        let mut parts = Vec::new();
        let mut start = from;
        for (i, name) in names.iter().enumerate() {
            if start > to {
                break;
            }
            let last = i + 1 == names.len();
            let end = if last {
                to
            } else {
                self.reach(service, start, to, total / names.len() as f64)
            };
            parts.push((start, end, name.clone()));
            start = end + 1;
        }
        parts
    }

    /// The last key of the shortest run from `start` that weighs as much as wanted.
    fn reach(&self, service: &str, start: u32, to: u32, wanted: f64) -> u32 {
        let mut sum = 0.0;
        let heavy = |key: &u32| {
            sum += self.loads.weight(service, *key, *key);
            sum >= wanted
        };
        (start..=to).find(heavy).unwrap_or(to)
    }

    /// The first division of a service, neighbours in one zone.
    pub fn divide(&self, service: &str, next_token: &mut u64) -> Vec<KeyLease> {
        let mut workers = self.usable(service);
        workers.sort_by(|a, b| (&a.zone, &a.id).cmp(&(&b.zone, &b.id)));
        let names: Vec<String> = workers.iter().map(|w| w.id.clone()).collect();
        if names.is_empty() {
            return Vec::new();
        }
        self.cut(service, 0, KEY_SPACE - 1, &names)
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

    /// Turns ranges without a holder into ranges of the least busy workers,
    /// and passes the others on as they are.
    pub fn assign(&self, changes: &[KeyLease], next_token: &mut u64) -> Vec<KeyLease> {
        let mut out = Vec::new();
        let mut given: Vec<(String, Vec<Candidate>)> = Vec::new();
        for put in changes {
            if !put.worker.is_empty() {
                let mut put = put.clone();
                if put.fencing_token == NEW_TOKEN {
                    put.fencing_token = *next_token;
                    *next_token += 1;
                }
                out.push(put);
                continue;
            }
            if !given.iter().any(|(s, _)| *s == put.service) {
                given.push((put.service.clone(), self.candidates(&put.service)));
            }
            let Some((_, candidates)) = given.iter_mut().find(|(s, _)| *s == put.service) else {
                continue;
            };
            if candidates.is_empty() {
                // Nobody can take it; say so once.
                let preceding = self.state.key_lease(&put.service, put.from);
                if preceding.is_some_and(|h| !h.worker.is_empty()) {
                    out.push(put.clone());
                }
                continue;
            }
            // The least busy workers, as many as it takes to have the room.
            let weight = self.loads.weight(&put.service, put.from, put.to);
            let mean = 1.0 / candidates.iter().map(|x| x.capacity).sum::<f64>();
            candidates.sort_by(|a, b| a.utilization().total_cmp(&b.utilization()));
            let mut room = 0.0;
            let mut names = Vec::new();
            for x in candidates.iter().take(c::MAX_SPLIT_RANGES) {
                names.push(x.worker.id.clone());
                room += (mean * x.capacity - x.load).max(0.0);
                if room >= weight * 0.8 {
                    break;
                }
            }
            for (from, to, worker) in self.cut(&put.service, put.from, put.to, &names) {
                if let Some(x) = candidates.iter_mut().find(|x| x.worker.id == worker) {
                    x.load += self.loads.weight(&put.service, from, to);
                }
                let handover = put.handover.clone();
                let service = put.service.clone();
                out.push(KeyLease {
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
        out
    }

    /// Steps towards equal loads: the fullest workers give up what they have
    /// above the mean, piece by piece, as far as the leanest have room for it.
    pub fn rebalance(&self) -> Vec<KeyLease> {
        let mut out = Vec::new();
        for (service, table) in &self.state.key_leases {
            let mut candidates = self.candidates(service);
            if candidates.len() < 2 {
                continue;
            }
            let mean = candidates.iter().map(|x| x.load).sum::<f64>()
                / candidates.iter().map(|x| x.capacity).sum::<f64>();
            // The fewer requests a worker gets, the more its count is luck.
            let seen = self.loads.rate(service) / candidates.len() as f64 * c::KEY_LOAD_WINDOW_S;
            let above = c::OVERLOADED_ABOVE.max(1.0 + c::KEY_LOAD_DEVIATIONS / seen.max(1.0).sqrt());
            // What the workers keep once the pieces planned so far are gone.
            let whole = table.values().filter(|h| !h.revoking);
            let mut kept: Vec<KeyLease> = whole.map(|h| (**h).clone()).collect();
            let under_way = table.len() - kept.len();
            let most = c::REBALANCE_MIN_MOVES.max(candidates.len() / c::REBALANCE_WORKERS_PER_MOVE);
            let moves = out.len() + most.saturating_sub(under_way);
            while out.len() < moves {
                candidates.sort_by(|a, b| a.utilization().total_cmp(&b.utilization()));
                let (Some(lean), Some(full)) = (candidates.first(), candidates.last()) else {
                    break;
                };
                let hot = self.loads.known(service) && full.utilization() > mean * above;
                if !hot && lean.utilization() >= mean * c::UNDERLOADED_BELOW || full.utilization() <= mean {
                    break;
                }
                let room = (mean - lean.utilization()) * lean.capacity;
                let amount = ((full.utilization() - mean) * full.capacity).min(room);
                let amount = if hot { amount } else { amount.max(room * 0.5) };
                let mine = kept.iter().filter(|h| h.worker == full.worker.id);
                let pieces = mine.filter_map(|h| self.piece(h, amount));
                let Some((piece, weight)) = pieces.max_by(|a, b| a.1.total_cmp(&b.1)) else {
                    // One key cannot be divided; others may still have too much.
                    candidates.pop();
                    continue;
                };
                cut_away(&mut kept, &piece);
                out.push(piece);
                let last = candidates.len() - 1;
                candidates[0].load += weight;
                candidates[last].load -= weight;
            }
        }
        out
    }

    /// A piece at an end of a holding that weighs at most about the amount.
    fn piece(&self, h: &KeyLease, amount: f64) -> Option<(KeyLease, f64)> {
        let walk = |keys: &mut dyn Iterator<Item = u32>| {
            let (mut sum, mut end) = (0.0, None);
            for key in keys {
                let weight = self.loads.weight(&h.service, key, key);
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
        let up = walk(&mut (h.from..=h.to));
        let down = walk(&mut (h.from..=h.to).rev());
        let piece = |from, to| KeyLease {
            from,
            to,
            revoking: true,
            ..h.clone()
        };
        match (up, down) {
            (Some((b, u)), d) if d.is_none_or(|(_, d)| u >= d) => Some((piece(h.from, b), u)),
            (_, Some((b, d))) => Some((piece(b, h.to), d)),
            _ => None,
        }
    }
}

/// Takes a piece off the end of the holding that it is part of.
fn cut_away(kept: &mut Vec<KeyLease>, piece: &KeyLease) {
    for h in kept
        .iter_mut()
        .filter(|h| h.fencing_token == piece.fencing_token && h.from <= piece.from && h.to >= piece.to)
    {
        if h.from == piece.from {
            h.from = piece.to + 1;
        } else {
            h.to = piece.from - 1;
        }
    }
    kept.retain(|h| h.from <= h.to);
}
