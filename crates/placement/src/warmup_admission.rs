//! Which nodes may call a warming worker, and what of the platform's list of workers the log is
//! told. A pure state machine of the leader's.
//!
//! All nodes together may give a warming worker so many requests in any second. That many shares
//! exist and no more: a warm-up group names the nodes that hold them, in the log, and a node that
//! is not named has none.

use config::{constants as c, settings::Bounds, warmup_limit};
use control_state::ControlState;
use protocol::{name_hash, WarmupGroup, Worker, WorkersChange};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// A node that takes clients.
#[derive(Clone, Debug, PartialEq)]
pub struct ProxyNode {
    /// Number of the node in the control state.
    pub id: u64,
    /// Zone that it is in.
    pub zone: String,
}

/// What was announced of a worker's warming.
#[derive(Clone, Copy, Debug)]
struct Announcement {
    /// When, ms.
    at: u64,
    /// How long it was said to warm, ms.
    until: u64,
}

/// What the list is compared with.
pub struct DiscoveryInput<'a> {
    /// The control state.
    pub state: &'a ControlState,
    /// The index that the log stood at before the list was read.
    pub as_of: u64,
    /// The nodes that take clients.
    pub nodes: &'a [ProxyNode],
    /// Bounds that the operator set.
    pub bounds: &'a Bounds,
    /// How far the list is behind, ms.
    pub lag_ms: u64,
    /// The pages that the list was read in, one after the other.
    pub pages: u64,
}

/// The comparison of the platform's list with the control state, and what it has announced.
#[derive(Debug, Default)]
pub struct WarmupAdmission {
    announced: HashMap<String, Announcement>,
    /// Readings in a row that left a worker out, by its identifier.
    absences: BTreeMap<String, u32>,
}

impl WarmupAdmission {
    /// Begins the duty of a new leader: what was announced earlier is not known.
    pub fn reset(&mut self) {
        self.announced.clear();
        self.absences.clear();
    }

    /// What the list says that the control state does not. In the list, `warmup_ms` is how much
    /// longer a worker warms.
    pub fn compare(
        &mut self,
        now: u64,
        listed: &BTreeMap<String, Worker>,
        input: &DiscoveryInput,
    ) -> WorkersChange {
        let removed = self.removed(listed, input);
        self.announced
            .retain(|id, _| listed.contains_key(id) || self.absences.contains_key(id));
        let mut change = WorkersChange {
            as_of: input.as_of,
            removed,
            ..Default::default()
        };
        let mut groups = GroupAssignment {
            input,
            assigned: HashMap::new(),
            new: Vec::new(),
        };
        for (id, worker) in listed {
            match self.compare_worker(now, worker, input) {
                Difference::None => {}
                Difference::Warm => change.warm.push(id.clone()),
                Difference::Changed { warmup_ms } => {
                    let at = now;
                    let until = now + warmup_ms;
                    self.announced.insert(id.clone(), Announcement { at, until });
                    change.put.push(Worker {
                        warmup_ms,
                        warmup_index: 0,
                        warmup_group: groups.group_of(worker, warmup_ms),
                        ..worker.clone()
                    });
                }
            }
        }
        change.warmup_groups = groups.new;
        change
    }

    /// The workers that have ended, as far as the list can say. The pages of a list are made at
    /// different moments: as entries go, one that stays can move from a page that was not read
    /// yet to one that was, and stand on neither.
    fn removed(&mut self, listed: &BTreeMap<String, Worker>, input: &DiscoveryInput) -> Vec<String> {
        let absent = input.state.workers.keys().filter(|id| !listed.contains_key(*id));
        let counted = absent.map(|id| (id.clone(), self.absences.get(id).unwrap_or(&0) + 1));
        self.absences = counted.collect();
        let needed = if input.pages > 1 { c::ABSENT_READINGS } else { 1 };
        let gone = self.absences.iter().filter(|(_, readings)| **readings >= needed);
        gone.map(|(id, _)| id.clone()).collect()
    }

    fn compare_worker(&mut self, now: u64, listed: &Worker, input: &DiscoveryInput) -> Difference {
        let state = input.state;
        let known = state.workers.get(&listed.id).map(|worker| &**worker);
        let is_unknown = known.is_some_and(|worker| state.is_warmup_unknown(worker));
        let announced = self.announced.get(&listed.id).copied();
        // The list may not show yet what was the reason to call it warming.
        let settling = announced.filter(|a| now < a.at + input.lag_ms + c::WARMUP_MARGIN_MS);
        let warms_longer = listed.warmup_ms > 0
            && announced.is_none_or(|a| now + listed.warmup_ms > a.until + c::WARMUP_MARGIN_MS);
        let is_same = known.is_some_and(|worker| is_same(worker, listed));
        if !is_same || is_unknown || warms_longer {
            let mut warmup_ms = listed.warmup_ms;
            if is_unknown {
                warmup_ms = warmup_ms.max(state.restored_zone_warmup_ms(&listed.service));
            } else if let Some(announced) = settling {
                warmup_ms = warmup_ms.max(announced.until.saturating_sub(now));
            }
            return Difference::Changed { warmup_ms };
        }
        if listed.warmup_ms > 0 || known.is_none_or(|worker| worker.warmup_ms == 0) {
            return Difference::None;
        }
        if announced.is_none() {
            // A new leader waits as if it had announced it itself.
            let (at, until) = (now, now);
            self.announced
                .insert(listed.id.clone(), Announcement { at, until });
            return Difference::None;
        }
        match settling {
            Some(_) => Difference::None,
            None => Difference::Warm,
        }
    }
}

/// How a worker's row in the list differs from the control state.
enum Difference {
    /// Nothing that the log must be told.
    None,
    /// It has become warm.
    Warm,
    /// It is new or changed, and warms so much longer.
    Changed { warmup_ms: u64 },
}

/// Whether there is nothing to be told.
pub fn is_empty_change(change: &WorkersChange) -> bool {
    change.put.is_empty() && change.removed.is_empty() && change.warm.is_empty()
}

fn is_same(known: &Worker, listed: &Worker) -> bool {
    known.draining == listed.draining
        && known.address == listed.address
        && known.zone == listed.zone
        && known.service == listed.service
        && known.version == listed.version
        && known.slots == listed.slots
}

/// The warm-up groups that workers are given in one comparison.
struct GroupAssignment<'a> {
    input: &'a DiscoveryInput<'a>,
    /// Numbers of the groups of a service and a zone (empty for holders of keys, whom all call).
    assigned: HashMap<(String, String), Vec<u32>>,
    /// Groups that the log does not have yet.
    new: Vec<WarmupGroup>,
}

impl GroupAssignment<'_> {
    /// The group of a worker that warms so much longer.
    fn group_of(&mut self, listed: &Worker, warmup_ms: u64) -> u32 {
        let state = self.input.state;
        match state.workers.get(&listed.id) {
            Some(worker) if warmup_ms == 0 => worker.warmup_group,
            // Two groups in one warm-up would have shares twice.
            Some(worker)
                if worker.warmup_ms > 0 && state.warmup_groups.contains_key(&worker.warmup_group) =>
            {
                worker.warmup_group
            }
            Some(worker) if self.is_half_up(worker.warmup_group) => worker.warmup_group,
            _ if warmup_ms == 0 => 0,
            _ => self.assign(listed),
        }
    }

    /// Whether half of a group is up: it stays with its worker as long, so that what a node that
    /// lags behind still goes by is the same. While the worker warms it stays whoever is up.
    fn is_half_up(&self, group: u32) -> bool {
        let Some(members) = self.input.state.warmup_groups.get(&group) else {
            return false;
        };
        let up = self.input.nodes.iter().filter(|node| members.contains(&node.id));
        up.count() * 2 >= members.len()
    }

    fn assign(&mut self, listed: &Worker) -> u32 {
        let service = self.input.state.service(&listed.service);
        let is_partitioned = service.is_some_and(|s| s.partitioned);
        let zone = if is_partitioned { "" } else { listed.zone.as_str() };
        let key = (listed.service.clone(), zone.to_string());
        if !self.assigned.contains_key(&key) {
            let limit = warmup_limit(service, self.input.bounds);
            let numbers = self.divide_nodes(limit, |node| is_partitioned || node.zone == listed.zone);
            self.assigned.insert(key.clone(), numbers);
        }
        let numbers = &self.assigned[&key];
        numbers[name_hash(&listed.id) as usize % numbers.len()]
    }

    /// Divides nodes into groups of at most `limit`; the numbers of the groups.
    fn divide_nodes(&mut self, limit: usize, is_caller: impl Fn(&ProxyNode) -> bool) -> Vec<u32> {
        let callers = self.input.nodes.iter().filter(|node| is_caller(node));
        let nodes: BTreeSet<u64> = callers.map(|node| node.id).collect();
        if limit == 0 || nodes.is_empty() {
            return vec![0];
        }
        let parts = nodes.len().div_ceil(limit);
        (0..parts)
            .map(|part| self.number_of(nodes.iter().skip(part).step_by(parts).copied().collect()))
            .collect()
    }

    /// The number that a group has, or is given now.
    fn number_of(&mut self, members: BTreeSet<u64>) -> u32 {
        let known = &self.input.state.warmup_groups;
        if let Some((number, _)) = known.iter().find(|(_, nodes)| ***nodes == members) {
            return *number;
        }
        let nodes: Vec<u64> = members.into_iter().collect();
        if let Some(group) = self.new.iter().find(|group| group.nodes == nodes) {
            return group.number;
        }
        let last = known.keys().next_back().copied().unwrap_or(0);
        let number = self.new.iter().map(|group| group.number).fold(last, u32::max) + 1;
        self.new.push(WarmupGroup { number, nodes });
        number
    }
}
