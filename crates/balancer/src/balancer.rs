//! The balancer: the workers of all services as one node sees them, and the choice of one for
//! each attempt.

use crate::endpoint::{AttemptResult, Endpoint};
use crate::retry_budget::RetryBudget;
use crate::rollout_samples::{ExposureCounter, SampleCollector, SampleLabel};
use crate::subset::{Locality, Subset};
use crate::warmup::Warmup;
use config::{constants as c, settings::Bounds, Route, WeightedService};
use control_state::ControlState;
use protocol::Worker;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rollout::Cohort;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::sync::Arc;

/// What this node knows of the other nodes, as far as its share depends on them.
#[derive(Clone, Debug)]
pub struct PeerInfo {
    /// Where this node stands among the nodes that take clients.
    pub locality: Locality,
    /// This node's identity.
    pub own_id: u64,
    /// Measured round trips to sites, ms.
    pub round_trips: BTreeMap<String, f64>,
}

/// An attempt at a request, as far as the choice of a worker goes.
pub struct SelectionRequest<'a> {
    /// The request's route.
    pub route: &'a Route,
    /// Its key, if the service is partitioned.
    pub key: Option<u32>,
    /// The service drawn for it by the route's weights.
    pub service: &'a str,
    /// Workers that had the request already.
    pub tried: &'a [String],
    /// Time that is left for it, ms.
    pub remaining_ms: u64,
    /// The zone whose workers the placement points this request at, where zones are the sites;
    /// without one, the node's own.
    pub zone: Option<&'a str>,
}

/// The worker chosen.
#[derive(Clone, Debug, PartialEq)]
pub struct SelectedWorker {
    /// The platform's identifier.
    pub id: String,
    /// Where it takes requests.
    pub address: String,
    /// The region that it is in.
    pub region: String,
    /// Round trip to it, ms.
    pub round_trip_ms: f64,
    /// What the attempt counts for, if its service is being rolled out.
    pub label: Option<SampleLabel>,
}

/// What the choice of a worker came to.
#[derive(Clone, Debug, PartialEq)]
pub enum Selection {
    /// This worker.
    Worker(SelectedWorker),
    /// Nobody can take it now; when to come back, ms.
    Unavailable(u64),
    /// The retry budget is spent.
    BudgetSpent,
}

/// What was observed of a worker since the last report.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerObservation {
    /// The worker.
    pub worker: String,
    /// Its mean response time, ms.
    pub mean_response_ms: f64,
    /// Requests that it answered.
    pub served: u64,
    /// Requests that it failed.
    pub failed: u64,
}

/// The workers of all services as one node sees them.
pub struct LoadBalancer {
    pub(crate) zone: String,
    pub(crate) region: String,
    zones: BTreeMap<String, String>,
    pub(crate) bounds: Bounds,
    pub(crate) peers: PeerInfo,
    pub(crate) state: Arc<ControlState>,
    pub(crate) endpoints: HashMap<String, Endpoint>,
    /// Workers of each service, by identifier.
    pub(crate) by_service: HashMap<String, Vec<String>>,
    /// Which workers of a service this node uses; made when first needed.
    subsets: HashMap<(String, Cohort), Rc<Subset>>,
    /// Requests of the services that are being rolled out.
    pub(crate) exposure: HashMap<String, ExposureCounter>,
    pub(crate) samples: SampleCollector,
    /// When a majority was last heard, ms; `None` where that plays no part.
    pub(crate) last_contact: Option<u64>,
    retry_budgets: HashMap<String, RetryBudget>,
    pub(crate) rng: SmallRng,
    /// When this process first saw the control state, ms.
    pub(crate) started_at: Option<u64>,
}

impl LoadBalancer {
    /// The balancer of a node in a zone; `zones` names the region of each.
    pub fn new(zone: &str, zones: BTreeMap<String, String>, bounds: Bounds, seed: u64) -> LoadBalancer {
        LoadBalancer {
            region: zones.get(zone).cloned().unwrap_or_default(),
            zone: zone.to_string(),
            zones,
            bounds,
            peers: PeerInfo {
                locality: Locality {
                    nodes: 1,
                    nodes_in_zone: 1,
                    ..Default::default()
                },
                own_id: 0,
                round_trips: BTreeMap::new(),
            },
            state: Arc::default(),
            endpoints: HashMap::new(),
            by_service: HashMap::new(),
            subsets: HashMap::new(),
            exposure: HashMap::new(),
            samples: SampleCollector::default(),
            last_contact: None,
            retry_budgets: HashMap::new(),
            rng: SmallRng::seed_from_u64(seed),
            started_at: None,
        }
    }

    /// Takes news of the other nodes.
    pub fn set_peers(&mut self, peers: PeerInfo) {
        if self.peers.locality != peers.locality {
            self.subsets.clear();
        }
        self.peers = peers;
    }

    /// A majority was last heard then, ms: a node that has lost it restores the split from
    /// before a rollout by itself.
    pub fn set_last_contact(&mut self, at: u64) {
        self.last_contact = Some(at);
    }

    /// Takes a newer copy of the control state; returns the workers that are gone. What has not
    /// changed costs nothing.
    pub fn set_state(&mut self, now: u64, state: Arc<ControlState>) -> Vec<String> {
        self.started_at.get_or_insert(now);
        let before = std::mem::replace(&mut self.state, state.clone());
        let same_configuration = match (&before.configuration, &state.configuration) {
            (Some(a), Some(b)) => Arc::ptr_eq(a, b),
            (a, b) => a.is_none() && b.is_none(),
        };
        if !same_configuration || !Arc::ptr_eq(&before.rollouts, &state.rollouts) {
            self.subsets.clear();
        }
        let mut removed = Vec::new();
        if !Arc::ptr_eq(&before.workers, &state.workers) || self.endpoints.is_empty() {
            removed = self.update_workers(now, &state);
        }
        if before.ended_evacuations != state.ended_evacuations {
            for endpoint in self.endpoints.values_mut() {
                endpoint.warmup.update(now, &endpoint.worker, &state);
            }
        }
        if !Arc::ptr_eq(&before.ejected, &state.ejected) {
            for id in before.ejected.difference(&state.ejected) {
                if let Some(endpoint) = self.endpoints.get_mut(id) {
                    endpoint.begin_probation(now);
                }
            }
        }
        removed
    }

    fn update_workers(&mut self, now: u64, state: &ControlState) -> Vec<String> {
        let known = self.endpoints.keys();
        let removed: Vec<String> = known
            .filter(|id| !state.workers.contains_key(*id))
            .cloned()
            .collect();
        for id in &removed {
            self.endpoints.remove(id);
        }
        let mut means: HashMap<&str, f64> = HashMap::new();
        let mut rng = self.rng.clone();
        for (id, worker) in state.workers.iter() {
            let known = self.endpoints.get(id);
            if known.is_some_and(|e| Arc::ptr_eq(&e.worker, worker)) {
                continue;
            }
            let region = self.zones.get(&worker.zone).cloned().unwrap_or_default();
            let mean_ms = match means.get(worker.service.as_str()) {
                Some(mean_ms) => *mean_ms,
                None => self.mean_response_ms(&worker.service),
            };
            means.insert(&worker.service, mean_ms);
            let endpoint = self.endpoints.entry(id.clone()).or_insert_with(|| {
                Endpoint::new(worker.clone(), region, Warmup::new(rng.gen()), mean_ms, now)
            });
            endpoint.worker = worker.clone();
            endpoint.warmup.update(now, worker, state);
        }
        self.rng = rng;
        self.index_services();
        removed
    }

    fn index_services(&mut self) {
        self.by_service.clear();
        self.subsets.clear();
        for (id, endpoint) in &self.endpoints {
            let service = endpoint.worker.service.clone();
            self.by_service.entry(service).or_default().push(id.clone());
        }
        for ids in self.by_service.values_mut() {
            ids.sort_unstable();
        }
    }

    /// The workers of one cohort of a service that this node uses.
    pub(crate) fn subset(&mut self, service: &str, cohort: Cohort) -> Option<Rc<Subset>> {
        let key = (service.to_string(), cohort);
        if let Some(subset) = self.subsets.get(&key) {
            return Some(subset.clone());
        }
        let known = self.state.service(service)?;
        let ids = self.by_service.get(service)?.iter();
        let all = ids.filter_map(|id| self.endpoints.get(id).map(|e| e.worker.clone()));
        let workers: Vec<Arc<Worker>> = if cohort == Cohort::New {
            let canaries = self.state.canary_workers(service).into_iter();
            let mut canaries: Vec<_> = canaries.cloned().collect();
            canaries.sort_by(|a, b| a.id.cmp(&b.id));
            canaries
        } else {
            all.filter(|w| known.partitioned || self.state.cohort(w) == cohort)
                .collect()
        };
        let locality = self.peers.locality;
        let subset = Subset::new(
            &workers,
            &self.zone,
            known.connection_limit,
            known.partitioned,
            locality,
        );
        let subset = Rc::new(subset);
        self.subsets.insert(key, subset.clone());
        Some(subset)
    }

    /// The mean response time of a service's workers that have answered, ms.
    fn mean_response_ms(&self, service: &str) -> f64 {
        let answered = |e: &&Endpoint| e.worker.service == service && e.has_answered;
        let known: Vec<f64> = self
            .endpoints
            .values()
            .filter(answered)
            .map(|e| e.response_ms)
            .collect();
        if known.is_empty() {
            c::DEFAULT_RESPONSE_MS
        } else {
            known.iter().sum::<f64>() / known.len() as f64
        }
    }

    /// Draws one of a route's services by weight.
    pub fn draw_service(&mut self, route: &Route) -> Arc<str> {
        let total: f64 = route.split.iter().map(|s| s.weight).sum();
        let mut left = self.rng.gen::<f64>() * total;
        for WeightedService { service, weight } in &route.split {
            left -= weight;
            if left < 0.0 && *weight > 0.0 {
                return service.clone();
            }
        }
        let last = route.split.iter().rev().find(|s| s.weight > 0.0);
        last.map_or_else(|| "".into(), |s| s.service.clone())
    }

    /// Chooses a worker and counts the attempt against it. The first attempt at a request is
    /// free, further ones are charged to the retry budget.
    pub fn choose(&mut self, now: u64, request: &SelectionRequest) -> Selection {
        let is_first = request.tried.is_empty();
        if is_first {
            let window_ms = self.bounds.retry_window.ms;
            self.retry_budget(request.service).note_first(now, window_ms);
        }
        let cohort = self.cohort_for(now, request);
        let Some(id) = self.select(now, request, cohort) else {
            return Selection::Unavailable(self.retry_after_ms(now, request));
        };
        if !is_first && !self.may_retry(now, request.service) {
            return Selection::BudgetSpent;
        }
        let round_trip_ms = self.round_trip_ms(&id);
        let label = self.label(now, request, &id);
        let Some(endpoint) = self.endpoints.get_mut(&id) else {
            return Selection::Unavailable(c::RETRY_AFTER_MS);
        };
        endpoint.inflight += 1;
        endpoint.warmup.note_sent(now);
        Selection::Worker(SelectedWorker {
            id,
            address: endpoint.worker.address.clone(),
            region: endpoint.region.clone(),
            round_trip_ms,
            label,
        })
    }

    fn retry_budget(&mut self, service: &str) -> &mut RetryBudget {
        self.retry_budgets.entry(service.to_string()).or_default()
    }

    /// Takes one further attempt out of the budget, if there is room.
    fn may_retry(&mut self, now: u64, service: &str) -> bool {
        let has_share = self.state.retry_allowances.contains(&self.peers.own_id);
        let slack = if has_share { self.state.retry_slack } else { 0.0 };
        let ratio = self.bounds.retry_ratio * c::RETRY_BUDGET_PART;
        let window_ms = self.bounds.retry_window.ms;
        self.retry_budget(service).try_take(now, window_ms, ratio, slack)
    }

    /// Takes note of how an attempt ended.
    pub fn observe(&mut self, now: u64, id: &str, result: AttemptResult) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.observe(now, result);
        }
    }

    /// Lets what was measured long ago fade.
    pub fn sweep(&mut self, now: u64) {
        let services: Vec<String> = self.by_service.keys().cloned().collect();
        for service in services {
            let mean_ms = self.mean_response_ms(&service);
            for id in &self.by_service[&service] {
                if let Some(endpoint) = self.endpoints.get_mut(id) {
                    endpoint.fade(now, mean_ms);
                }
            }
        }
    }

    /// What was observed of the workers since the last call.
    pub fn take_observations(&mut self) -> Vec<WorkerObservation> {
        let endpoints = self.endpoints.iter_mut();
        let observed = endpoints.filter_map(|(id, endpoint)| {
            let observation = endpoint.take_observation()?;
            Some(WorkerObservation {
                worker: id.clone(),
                mean_response_ms: observation.mean_response_ms,
                served: observation.served,
                failed: observation.failed,
            })
        });
        observed.collect()
    }
}
