//! The control state, and what can be looked up in it.

use crate::command_history::CommandHistory;
use config::{constants as c, Configuration, Service};
use protocol::{KeyLease, KillSwitch, SiteFraction, Worker};
use rollout::{Cohort, Table};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Keys of a partitioned service: 0 up to this, exclusive.
pub const KEY_SPACE: u32 = 65_536;

/// One copy of the control state. Large parts are shared between copies.
#[derive(Clone, Debug, Default)]
pub struct ControlState {
    /// The last entry of the log that is applied.
    pub index: u64,
    /// The configuration in force.
    pub configuration: Option<Arc<Configuration>>,
    /// The configuration as the operator sent it.
    pub configuration_body: Arc<Vec<u8>>,
    /// The commands that were judged, for when one comes again.
    pub command_history: Arc<CommandHistory>,
    /// Evacuated zones, and how many evacuations of each are in force: two operators may empty
    /// the same zone, and each ends its own.
    pub evacuated: BTreeMap<String, u32>,
    /// Zones whose evacuation has ended, with the index of the change.
    pub ended_evacuations: BTreeMap<String, u64>,
    /// The workers of all services, by identifier.
    pub workers: Arc<BTreeMap<String, Arc<Worker>>>,
    /// Nodes that may call warming workers, by the number that the workers name.
    pub warmup_groups: Arc<BTreeMap<u32, Arc<BTreeSet<u64>>>>,
    /// Key leases by service and first key. A service that is no longer partitioned keeps its
    /// leases until nobody holds them: its workers know nothing of configurations.
    pub key_leases: BTreeMap<String, Arc<BTreeMap<u32, Arc<KeyLease>>>>,
    /// The highest fencing token ever given, of leases that are gone as well.
    pub(crate) highest_fencing_token: u64,
    /// Workers that get no requests because they fail or lag behind the others.
    pub ejected: Arc<BTreeSet<String>>,
    /// The placement.
    pub fractions: Arc<Vec<SiteFraction>>,
    /// The newest rollout of each service.
    pub rollouts: Arc<Table>,
    /// What was last said of the kill switch of rollouts.
    pub kill_switch: Option<KillSwitch>,
    /// Nodes with a share of the retry slack.
    pub retry_allowances: Arc<BTreeSet<u64>>,
    /// That share, retries in a window.
    pub retry_slack: f64,
}

impl ControlState {
    /// The version of the configuration in force; 0 for none.
    pub fn version(&self) -> u64 {
        self.configuration.as_ref().map_or(0, |c| c.version)
    }

    /// A service of the configuration in force.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.configuration.as_ref()?.services.get(name)
    }

    /// How long the workers of a service are taken for warming after the evacuation of their
    /// zone has ended, as long as the platform has not told, ms.
    pub fn restored_zone_warmup_ms(&self, service: &str) -> u64 {
        let period = self.service(service).map_or(0, |s| s.warmup_period_ms);
        period.max(c::RESTORED_ZONE_WARMUP_MS)
    }

    /// Whether the platform's list has not been read yet since the evacuation of the worker's
    /// zone ended: nobody can say that it is warm.
    pub fn is_warmup_unknown(&self, worker: &Worker) -> bool {
        self.ended_evacuations
            .get(&worker.zone)
            .is_some_and(|index| *index > worker.as_of)
    }

    /// The nodes that may call a worker while it warms up.
    pub fn warmup_nodes(&self, worker: &Worker) -> Option<&BTreeSet<u64>> {
        if self.is_warmup_unknown(worker) {
            return None;
        }
        self.warmup_groups.get(&worker.warmup_group).map(|g| &**g)
    }

    /// The lease of a service that covers a key.
    pub fn key_lease(&self, service: &str, key: u32) -> Option<&KeyLease> {
        let (_, lease) = self.key_leases.get(service)?.range(..=key).next_back()?;
        (lease.to >= key).then_some(&**lease)
    }

    /// The highest fencing token ever given: workers remember tokens longer than leases last.
    pub fn highest_fencing_token(&self) -> u64 {
        self.highest_fencing_token
    }

    /// Whether the configuration in force divides a service by key.
    pub fn is_partitioned(&self, service: &str) -> bool {
        self.service(service).is_some_and(|s| s.partitioned)
    }

    /// Which part of the split of its service a worker belongs to.
    pub fn cohort(&self, worker: &Worker) -> Cohort {
        let rollout = self.rollouts.get(&worker.service);
        rollout.map_or(Cohort::Old, |r| r.cohort(&worker.version))
    }

    /// Whether a worker may be given keys, or keep them, as far as versions go.
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

    /// The workers that the new version's share is put on, in an order that all nodes agree
    /// on: warm ones first, one of each zone in turn.
    pub fn canary_workers(&self, service: &str) -> Vec<&Arc<Worker>> {
        let Some(rollout) = self.rollouts.get(service).filter(|r| r.is_active()) else {
            return Vec::new();
        };
        let is_able = |w: &&Arc<Worker>| !w.draining && !self.evacuated.contains_key(&w.zone);
        let of_service = self.workers.values().filter(|w| w.service == service);
        let (new, old): (Vec<_>, Vec<_>) = of_service
            .filter(is_able)
            .partition(|w| rollout.cohort(&w.version) == Cohort::New);
        let mut in_zone: BTreeMap<(bool, &str), usize> = BTreeMap::new();
        let mut ranked: Vec<_> = new
            .into_iter()
            .map(|worker| {
                let is_warming = worker.warmup_ms > 0 || self.is_warmup_unknown(worker);
                let rank = in_zone.entry((is_warming, &worker.zone)).or_default();
                *rank += 1;
                ((is_warming, *rank, &worker.zone), worker)
            })
            .collect();
        ranked.sort_by(|a, b| a.0.cmp(&b.0));
        let share = rollout.share();
        let used = if share >= 1.0 {
            ranked.len()
        } else {
            (old.len() as f64 * share * rollout::USED_WORKERS_PART)
                .ceil()
                .max(1.0) as usize
        };
        ranked.into_iter().take(used).map(|(_, worker)| worker).collect()
    }
}
