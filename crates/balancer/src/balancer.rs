//! The load balancer of one node: its view of the workers of all services, and the selection of a
//! worker for each attempt.

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

/// What this node knows of the other nodes that affects its share of the workers.
#[derive(Clone, Debug)]
pub struct PeerInfo {
    /// Position of this node among the nodes that accept clients.
    pub locality: Locality,
    /// Identity of this node.
    pub own_id: u64,
    /// Measured round-trip times to sites, in milliseconds.
    pub round_trips: BTreeMap<String, f64>,
}

/// The properties of an attempt that decide the selection of a worker.
pub struct SelectionRequest<'a> {
    /// Route of the request.
    pub route: &'a Route,
    /// Key of the request, if the service is partitioned.
    pub key: Option<u32>,
    /// Service drawn for the request by the weights of the route.
    pub service: &'a str,
    /// Workers to which the request was already sent.
    pub tried_workers: &'a [String],
    /// Time until the deadline of the request, in milliseconds.
    pub remaining_ms: u64,
    /// Zone whose workers the placement selected for this request, where zones are the sites;
    /// otherwise the zone of the node is used.
    pub zone: Option<&'a str>,
}

/// A selected worker.
#[derive(Clone, Debug, PartialEq)]
pub struct SelectedWorker {
    /// Identifier of the worker on the platform.
    pub id: String,
    /// Address at which the worker accepts requests.
    pub address: String,
    /// Region of the worker.
    pub region: String,
    /// Round-trip time to the worker, in milliseconds.
    pub round_trip_ms: f64,
    /// Label under which the result is counted, if the service is in a rollout.
    pub label: Option<SampleLabel>,
}

/// Result of the selection of a worker.
#[derive(Clone, Debug, PartialEq)]
pub enum Selection {
    /// A worker was selected.
    Worker(SelectedWorker),
    /// No worker can accept the request now; the value is the time after which to retry, in
    /// milliseconds.
    Unavailable(u64),
    /// The retry budget is exhausted.
    RetryBudgetExhausted,
}

/// Observations of a worker since the last report.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerObservation {
    /// Identifier of the worker.
    pub worker: String,
    /// Mean response time of the worker, in milliseconds.
    pub mean_response_ms: f64,
    /// Number of requests that the worker answered.
    pub served: u64,
    /// Number of requests that failed at the worker.
    pub failed: u64,
}

/// Load balancer of one node, with its view of the workers of all services.
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
    /// The workers of each cohort of a service that this node uses, computed on first use.
    subsets: HashMap<(String, Cohort), Rc<Subset>>,
    /// Requests and attempts of the services that are in a rollout.
    pub(crate) exposure: HashMap<String, ExposureCounter>,
    pub(crate) samples: SampleCollector,
    /// Time of the last contact with a majority, in milliseconds; `None` where it is not tracked.
    pub(crate) last_contact: Option<u64>,
    retry_budgets: HashMap<String, RetryBudget>,
    pub(crate) rng: SmallRng,
    /// Time at which this process first received the control state, in milliseconds.
    pub(crate) started_at: Option<u64>,
}

impl LoadBalancer {
    /// Creates the balancer of a node in `zone`; `zones` maps each zone to its region.
    pub fn new(zone: &str, zones: BTreeMap<String, String>, bounds: Bounds, seed: u64) -> LoadBalancer {
        LoadBalancer {
            region: zones.get(zone).cloned().unwrap_or_default(),
            zone: zone.to_string(),
            zones,
            bounds,
            peers: PeerInfo {
                locality: Locality {
                    node_count: 1,
                    zone_node_count: 1,
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

    /// Updates what is known of the other nodes.
    pub fn set_peers(&mut self, peers: PeerInfo) {
        if self.peers.locality != peers.locality {
            self.subsets.clear();
        }
        self.peers = peers;
    }

    /// Sets the time of the last contact with a majority, in milliseconds. A node that has lost the
    /// majority restores the traffic split from before a rollout by itself.
    pub fn set_last_contact(&mut self, at: u64) {
        self.last_contact = Some(at);
    }

    /// Replaces the control state with a newer one and returns the workers that were removed. Parts
    /// that have not changed are not processed again.
    pub fn update_state(&mut self, now: u64, state: Arc<ControlState>) -> Vec<String> {
        self.started_at.get_or_insert(now);
        let before = std::mem::replace(&mut self.state, state.clone());
        let is_same_configuration = match (&before.configuration, &state.configuration) {
            (Some(a), Some(b)) => Arc::ptr_eq(a, b),
            (a, b) => a.is_none() && b.is_none(),
        };
        if !is_same_configuration || !Arc::ptr_eq(&before.rollouts, &state.rollouts) {
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
        let known_ids = self.endpoints.keys();
        let removed: Vec<String> = known_ids
            .filter(|id| !state.workers.contains_key(*id))
            .cloned()
            .collect();
        for id in &removed {
            self.endpoints.remove(id);
        }
        let mut means_by_service: HashMap<&str, f64> = HashMap::new();
        let mut rng = self.rng.clone();
        for (id, worker) in state.workers.iter() {
            let known = self.endpoints.get(id);
            if known.is_some_and(|e| Arc::ptr_eq(&e.worker, worker)) {
                continue;
            }
            let region = self.zones.get(&worker.zone).cloned().unwrap_or_default();
            let mean_ms = match means_by_service.get(worker.service.as_str()) {
                Some(mean_ms) => *mean_ms,
                None => self.mean_response_ms(&worker.service),
            };
            means_by_service.insert(&worker.service, mean_ms);
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

    /// Returns the workers of one cohort of a service that this node uses.
    pub(crate) fn subset(&mut self, service: &str, cohort: Cohort) -> Option<Rc<Subset>> {
        let key = (service.to_string(), cohort);
        if let Some(subset) = self.subsets.get(&key) {
            return Some(subset.clone());
        }
        let service_config = self.state.service(service)?;
        let ids = self.by_service.get(service)?.iter();
        let all = ids.filter_map(|id| self.endpoints.get(id).map(|e| e.worker.clone()));
        let workers: Vec<Arc<Worker>> = if cohort == Cohort::New {
            let canaries = self.state.canary_workers(service).into_iter();
            let mut canaries: Vec<_> = canaries.cloned().collect();
            canaries.sort_by(|a, b| a.id.cmp(&b.id));
            canaries
        } else {
            all.filter(|w| service_config.partitioned || self.state.cohort(w) == cohort)
                .collect()
        };
        let locality = self.peers.locality;
        let subset = Subset::new(
            &workers,
            &self.zone,
            service_config.connection_limit,
            service_config.partitioned,
            locality,
        );
        let subset = Rc::new(subset);
        self.subsets.insert(key, subset.clone());
        Some(subset)
    }

    /// Returns the mean response time of the workers of a service that have answered, in
    /// milliseconds.
    fn mean_response_ms(&self, service: &str) -> f64 {
        let answered = |e: &&Endpoint| e.worker.service == service && e.has_answered;
        let response_times_ms: Vec<f64> = self
            .endpoints
            .values()
            .filter(answered)
            .map(|e| e.response_ms)
            .collect();
        if response_times_ms.is_empty() {
            c::DEFAULT_RESPONSE_MS
        } else {
            response_times_ms.iter().sum::<f64>() / response_times_ms.len() as f64
        }
    }

    /// Draws one of the services of a route by weight.
    pub fn draw_service(&mut self, route: &Route) -> Arc<str> {
        let total: f64 = route.split.iter().map(|s| s.weight).sum();
        let mut remaining_weight = self.rng.gen::<f64>() * total;
        for WeightedService { service, weight } in &route.split {
            remaining_weight -= weight;
            if remaining_weight < 0.0 && *weight > 0.0 {
                return service.clone();
            }
        }
        let last = route.split.iter().rev().find(|s| s.weight > 0.0);
        last.map_or_else(|| "".into(), |s| s.service.clone())
    }

    /// Selects a worker and counts the attempt against it. The first attempt at a request is free;
    /// further attempts are charged to the retry budget.
    pub fn choose(&mut self, now: u64, request: &SelectionRequest) -> Selection {
        let is_first = request.tried_workers.is_empty();
        if is_first {
            let window_ms = self.bounds.retry_window.ms;
            self.retry_budget(request.service).note_first(now, window_ms);
        }
        let cohort = self.cohort_for(now, request);
        let Some(id) = self.select(now, request, cohort) else {
            return Selection::Unavailable(self.retry_after_ms(now, request));
        };
        if !is_first && !self.may_retry(now, request.service) {
            return Selection::RetryBudgetExhausted;
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

    /// Charges a further attempt to the retry budget of the service; returns whether the budget
    /// allows it.
    fn may_retry(&mut self, now: u64, service: &str) -> bool {
        let has_allowance = self.state.retry_allowances.contains(&self.peers.own_id);
        let slack = if has_allowance {
            self.state.retry_slack
        } else {
            0.0
        };
        let ratio = self.bounds.retry_ratio * c::RETRY_BUDGET_FRACTION;
        let window_ms = self.bounds.retry_window.ms;
        self.retry_budget(service).try_take(now, window_ms, ratio, slack)
    }

    /// Records the result of an attempt.
    pub fn observe(&mut self, now: u64, id: &str, result: AttemptResult) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.observe(now, result);
        }
    }

    /// Moves stale response times towards the mean of their service.
    pub fn decay_stale_response_times(&mut self, now: u64) {
        let services: Vec<String> = self.by_service.keys().cloned().collect();
        for service in services {
            let mean_ms = self.mean_response_ms(&service);
            for id in &self.by_service[&service] {
                if let Some(endpoint) = self.endpoints.get_mut(id) {
                    endpoint.decay_response_time(now, mean_ms);
                }
            }
        }
    }

    /// Returns and resets the observations of the workers since the last call.
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
