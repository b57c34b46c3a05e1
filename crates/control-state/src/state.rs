//! The control state and its queries.

use crate::command_history::CommandHistory;
use config::{constants as c, Configuration, Service};
use protocol::{KeyLease, KillSwitch, SiteFraction, Worker};
use rollout::{Cohort, Table};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Number of keys of a partitioned service. Keys run from 0 to `KEY_SPACE - 1`.
pub const KEY_SPACE: u32 = 65_536;

/// One copy of the control state. Clones share its large parts.
#[derive(Clone, Debug, Default)]
pub struct ControlState {
    /// Log index of the last applied entry.
    pub index: u64,
    /// The configuration in force.
    pub configuration: Option<Arc<Configuration>>,
    /// The body of the configuration in force.
    pub configuration_body: Arc<Vec<u8>>,
    /// The decided commands, to recognize a command that is sent again.
    pub command_history: Arc<CommandHistory>,
    /// Evacuated zones, with the number of evacuations in force for each. Two operators may
    /// evacuate the same zone, and each ends their own evacuation.
    pub evacuated: BTreeMap<String, u32>,
    /// Zones whose evacuation has ended, with the log index of the change that ended it.
    pub ended_evacuations: BTreeMap<String, u64>,
    /// The workers of all services, by identifier.
    pub workers: Arc<BTreeMap<String, Arc<Worker>>>,
    /// The nodes that may call warming workers, by the group number that the workers refer to.
    pub warmup_groups: Arc<BTreeMap<u32, Arc<BTreeSet<u64>>>>,
    /// Key leases by service and first key. A service that is no longer partitioned keeps its
    /// leases until no worker holds them, because its workers do not know the configuration.
    pub key_leases: BTreeMap<String, Arc<BTreeMap<u32, Arc<KeyLease>>>>,
    /// The highest fencing token ever issued, including those of removed leases.
    pub(crate) highest_fencing_token: u64,
    /// Workers that get no requests because they fail or are slower than the others (outlier
    /// ejection).
    pub ejected: Arc<BTreeSet<String>>,
    /// The placement: the fractions of all services and client groups.
    pub fractions: Arc<Vec<SiteFraction>>,
    /// The newest rollout of each service.
    pub rollouts: Arc<Table>,
    /// The last setting of the kill switch of rollouts, if it was ever set.
    pub kill_switch: Option<KillSwitch>,
    /// Nodes that have a share of the retry slack.
    pub retry_allowances: Arc<BTreeSet<u64>>,
    /// The share of each of these nodes, in retries per window.
    pub retry_slack: f64,
}

impl ControlState {
    /// Returns the version of the configuration in force, or 0 if there is none.
    pub fn version(&self) -> u64 {
        self.configuration.as_ref().map_or(0, |c| c.version)
    }

    /// Returns the settings of a service in the configuration in force.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.configuration.as_ref()?.services.get(name)
    }

    /// Returns the time for which the workers of a service are assumed to be warming up after the
    /// evacuation of their zone has ended, while the platform's list has not been read since, in
    /// milliseconds.
    pub fn restored_zone_warmup_ms(&self, service: &str) -> u64 {
        let period = self.service(service).map_or(0, |s| s.warmup_period_ms);
        period.max(c::RESTORED_ZONE_WARMUP_MS)
    }

    /// Returns whether the platform's list has not been read since the evacuation of the worker's
    /// zone ended. The worker may then still be warming up.
    pub fn is_warmup_unknown(&self, worker: &Worker) -> bool {
        self.ended_evacuations
            .get(&worker.zone)
            .is_some_and(|index| *index > worker.as_of)
    }

    /// Returns the nodes that may call a worker while it warms up.
    pub fn warmup_nodes(&self, worker: &Worker) -> Option<&BTreeSet<u64>> {
        if self.is_warmup_unknown(worker) {
            return None;
        }
        self.warmup_groups.get(&worker.warmup_group).map(|g| &**g)
    }

    /// Returns the lease of a service that covers a key.
    pub fn key_lease(&self, service: &str, key: u32) -> Option<&KeyLease> {
        let (_, lease) = self.key_leases.get(service)?.range(..=key).next_back()?;
        (lease.to >= key).then_some(&**lease)
    }

    /// Returns the highest fencing token ever issued. Workers remember tokens for longer than
    /// leases last.
    pub fn highest_fencing_token(&self) -> u64 {
        self.highest_fencing_token
    }

    /// Returns whether the configuration in force partitions a service by key.
    pub fn is_partitioned(&self, service: &str) -> bool {
        self.service(service).is_some_and(|s| s.partitioned)
    }

    /// Returns the cohort of a worker in the rollout of its service.
    pub fn cohort(&self, worker: &Worker) -> Cohort {
        let rollout = self.rollouts.get(&worker.service);
        rollout.map_or(Cohort::Old, |r| r.cohort(&worker.version))
    }

    /// Returns whether the rollout of its service allows a worker to receive or keep keys.
    pub fn may_hold_keys(&self, worker: &Worker) -> bool {
        let Some(rollout) = self.rollouts.get(&worker.service) else {
            return true;
        };
        match rollout.cohort(&worker.version) {
            Cohort::Excluded => false,
            Cohort::Old => !rollout.is_active() || rollout.share() < 1.0,
            Cohort::New => {
                let canaries = self.canary_workers(&worker.service);
                rollout.share() > 0.0 && canaries.iter().any(|w| w.id == worker.id)
            }
        }
    }

    /// Returns the workers that serve the new version's share, in an order that is the same on all
    /// nodes: warm workers first, and one worker of each zone in turn.
    pub fn canary_workers(&self, service: &str) -> Vec<&Arc<Worker>> {
        let Some(rollout) = self.rollouts.get(service).filter(|r| r.is_active()) else {
            return Vec::new();
        };
        let is_available = |w: &&Arc<Worker>| !w.draining && !self.evacuated.contains_key(&w.zone);
        let of_service = self.workers.values().filter(|w| w.service == service);
        let (new, old): (Vec<_>, Vec<_>) = of_service
            .filter(is_available)
            .partition(|w| rollout.cohort(&w.version) == Cohort::New);
        let mut zone_counts: BTreeMap<(bool, &str), usize> = BTreeMap::new();
        let mut ranked: Vec<_> = new
            .into_iter()
            .map(|worker| {
                let is_warming = worker.warmup_ms > 0 || self.is_warmup_unknown(worker);
                let rank = zone_counts.entry((is_warming, &worker.zone)).or_default();
                *rank += 1;
                ((is_warming, *rank, &worker.zone), worker)
            })
            .collect();
        ranked.sort_by(|a, b| a.0.cmp(&b.0));
        let share = rollout.share();
        let used_workers = if share >= 1.0 {
            ranked.len()
        } else {
            (old.len() as f64 * share * rollout::USED_WORKERS_FRACTION)
                .ceil()
                .max(1.0) as usize
        };
        ranked
            .into_iter()
            .take(used_workers)
            .map(|(_, worker)| worker)
            .collect()
    }
}
