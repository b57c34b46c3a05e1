//! Which nodes may call a worker that is warming up, and which differences between the platform's
//! list of workers and the control state are logged. A state machine without I/O that runs on the
//! leader.
//!
//! All nodes together may send a warming worker a limited number of requests in any second. There
//! are that many shares and no more. A warm-up group in the log names the nodes that hold the
//! shares; a node that is not named has none.

use config::{constants as c, settings::Bounds, warmup_limit};
use control_state::ControlState;
use protocol::{name_hash, WarmupGroup, Worker, WorkersChange};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// A node that serves clients.
#[derive(Clone, Debug, PartialEq)]
pub struct ProxyNode {
    /// Identifier of the node in the control state.
    pub id: u64,
    /// Zone of the node.
    pub zone: String,
}

/// The last logged announcement of a worker's warm-up.
#[derive(Clone, Copy, Debug)]
struct Announcement {
    /// Time of the announcement, in milliseconds.
    at: u64,
    /// Announced end of the warm-up, in milliseconds.
    until: u64,
}

/// Input of a comparison with the platform's list of workers.
pub struct DiscoveryInput<'a> {
    /// The control state.
    pub state: &'a ControlState,
    /// Log index before the list was read.
    pub as_of: u64,
    /// Nodes that serve clients.
    pub nodes: &'a [ProxyNode],
    /// Bounds set by the operator.
    pub bounds: &'a Bounds,
    /// Lag of the list, in milliseconds.
    pub lag_ms: u64,
    /// Number of pages in which the list was read, one after the other.
    pub pages: u64,
}

/// Compares the platform's list of workers with the control state, and keeps track of what was
/// announced.
#[derive(Debug, Default)]
pub struct WarmupAdmission {
    announced: HashMap<String, Announcement>,
    /// Number of consecutive readings that omitted a worker, by its identifier.
    absences: BTreeMap<String, u32>,
}

impl WarmupAdmission {
    /// Resets the state for a new leader, which does not know earlier announcements.
    pub fn reset(&mut self) {
        self.announced.clear();
        self.absences.clear();
    }

    /// Returns the differences of the list from the control state. In the list, `warmup_ms` is the
    /// remaining warm-up time.
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

    /// Returns the workers that have ended, as far as the list shows. The pages of a list are made
    /// at different moments: when entries are removed, an entry that stays can move from a page not
    /// read yet to one already read, and appear on neither.
    fn removed(&mut self, listed: &BTreeMap<String, Worker>, input: &DiscoveryInput) -> Vec<String> {
        let absent = input.state.workers.keys().filter(|id| !listed.contains_key(*id));
        let absences = absent.map(|id| (id.clone(), self.absences.get(id).unwrap_or(&0) + 1));
        self.absences = absences.collect();
        let needed = if input.pages > 1 { c::ABSENT_READINGS } else { 1 };
        let ended = self.absences.iter().filter(|(_, readings)| **readings >= needed);
        ended.map(|(id, _)| id.clone()).collect()
    }

    fn compare_worker(&mut self, now: u64, listed: &Worker, input: &DiscoveryInput) -> Difference {
        let state = input.state;
        let known = state.workers.get(&listed.id).map(|worker| &**worker);
        let is_unknown = known.is_some_and(|worker| state.is_warmup_unknown(worker));
        let announced = self.announced.get(&listed.id).copied();
        // The list may not yet show the reason for the announced warm-up.
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
            // A new leader waits as if it had made the announcement itself.
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

/// Returns the change for the workers that one page of the list shows as draining and the control
/// state does not. Such an entry is final, so it need not wait for the rest of the list; that a
/// worker is missing, new or warming is known only from all pages.
pub fn draining_on_page<'a>(
    page: impl Iterator<Item = &'a Worker>,
    state: &ControlState,
    as_of: u64,
) -> WorkersChange {
    let newly_draining = |listed: &'a Worker| {
        let known = state.workers.get(&listed.id).filter(|known| !known.draining)?;
        listed.draining.then(|| Worker {
            draining: true,
            ..Worker::clone(known)
        })
    };
    WorkersChange {
        as_of,
        put: page.filter_map(newly_draining).collect(),
        ..Default::default()
    }
}

/// Difference between a worker's entry in the list and the control state.
enum Difference {
    /// Nothing needs to be logged.
    None,
    /// The worker has become warm.
    Warm,
    /// The worker is new or changed, and warms up for another `warmup_ms` milliseconds.
    Changed { warmup_ms: u64 },
}

/// Returns whether a change contains nothing to log.
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

/// Assigns warm-up groups to workers during one comparison.
struct GroupAssignment<'a> {
    input: &'a DiscoveryInput<'a>,
    /// Numbers of the groups by service and zone. The zone is empty for workers of partitioned
    /// services, which nodes of all zones call.
    assigned: HashMap<(String, String), Vec<u32>>,
    /// Groups that are not in the log yet.
    new: Vec<WarmupGroup>,
}

impl GroupAssignment<'_> {
    /// Returns the group of a worker that warms up for another `warmup_ms` milliseconds.
    fn group_of(&mut self, listed: &Worker, warmup_ms: u64) -> u32 {
        let state = self.input.state;
        match state.workers.get(&listed.id) {
            Some(worker) if warmup_ms == 0 => worker.warmup_group,
            // A second group within one warm-up would hand out the shares twice.
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

    /// Returns whether at least half of a group's nodes are up. As long as they are, the worker
    /// keeps the group, so that a node that lags behind still uses the same one. While the worker
    /// warms up it keeps the group in any case.
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

    /// Divides the calling nodes into groups of at most `limit` nodes, and returns the numbers of
    /// the groups.
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

    /// Returns the number of the group with these members. A new group is given the next number.
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
