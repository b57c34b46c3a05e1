//! Selection of a worker: which workers may get a request, and which of them is expected to answer
//! first.

use crate::balancer::{LoadBalancer, SelectionRequest};
use crate::endpoint::Endpoint;
use crate::subset::Subset;
use config::{constants as c, warmup_limit};
use protocol::Worker;
use rand::Rng;
use rollout::Cohort;
use std::sync::Arc;

/// Range of the random factor on costs, so that nodes with the same view do not all select the same
/// worker.
const COST_SPREAD: std::ops::Range<f64> = 0.95..1.05;
/// Fraction by which the response time of a fully loaded worker is higher.
const LOAD_SLOWDOWN: f64 = 0.3;
/// Shortest time after which a rejected client is asked to retry, in milliseconds.
const MIN_RETRY_AFTER_MS: u64 = 50;

impl LoadBalancer {
    /// Selects the best worker of the given cohort, or of the old cohort if it has none.
    pub(crate) fn select(&mut self, now: u64, request: &SelectionRequest, cohort: Cohort) -> Option<String> {
        if cohort == Cohort::New {
            if let Some(id) = self.select_from_cohort(now, request, Cohort::New) {
                return Some(id);
            }
        }
        self.select_from_cohort(now, request, Cohort::Old)
    }

    fn select_from_cohort(&mut self, now: u64, request: &SelectionRequest, cohort: Cohort) -> Option<String> {
        let subset = self.subset(request.service, cohort)?;
        match request.key {
            Some(key) => self.key_holder(now, request, key, &subset),
            None => self.cheapest(now, request, &subset),
        }
    }

    /// Returns the holder of a key if it may get the request.
    fn key_holder(&self, now: u64, request: &SelectionRequest, key: u32, subset: &Subset) -> Option<String> {
        let lease = self.state.key_lease(request.service, key)?;
        if lease.revoking || lease.worker.is_empty() {
            return None;
        }
        let endpoint = self.endpoints.get(&lease.worker)?;
        if self.state.cohort(&endpoint.worker) == Cohort::Excluded {
            return None;
        }
        let connections = subset.members.first().map_or(1, |m| m.connections);
        let is_available = !endpoint.is_ejected(now) || endpoint.inflight == 0;
        let is_eligible = is_available
            && !self.would_miss_deadline(endpoint, request, subset)
            && self.may_send(endpoint, connections, request)
            && self.may_send_while_warming(now, endpoint);
        is_eligible.then(|| lease.worker.clone())
    }

    /// Returns the worker with the lowest cost; an ejected worker only if there is no other.
    fn cheapest(&mut self, now: u64, request: &SelectionRequest, subset: &Subset) -> Option<String> {
        let mut best: Option<(f64, &Arc<Worker>)> = None;
        let mut fallback: Option<&Arc<Worker>> = None;
        for member in &subset.members {
            let worker = &member.worker;
            let Some(endpoint) = self.endpoints.get(&worker.id) else {
                continue;
            };
            let is_eligible = self.may_send(endpoint, member.connections, request)
                && self.may_send_while_warming(now, endpoint);
            if !is_eligible || self.would_miss_deadline(endpoint, request, subset) {
                continue;
            }
            if endpoint.is_ejected(now) || self.state.ejected.contains(&worker.id) {
                if endpoint.inflight == 0 && fallback.is_none() {
                    fallback = Some(worker);
                }
                continue;
            }
            let random_factor = self.rng.gen_range(COST_SPREAD);
            let cost = self.cost(endpoint, request, subset) * random_factor * endpoint.probation_cost(now);
            if best.is_none_or(|(lowest_cost, _)| cost < lowest_cost) {
                best = Some((cost, worker));
            }
        }
        let chosen = best.map(|(_, worker)| worker).or(fallback);
        chosen.map(|worker| worker.id.clone())
    }

    /// Returns whether a worker may get a request with regard to draining, evacuation, the home
    /// regions, earlier attempts and the number of connections.
    fn may_send(&self, endpoint: &Endpoint, connections: u32, request: &SelectionRequest) -> bool {
        let worker = &endpoint.worker;
        let home_regions = &request.route.home_regions;
        !worker.draining
            && !self.state.evacuated.contains_key(&worker.zone)
            && (home_regions.is_empty() || home_regions.contains(&endpoint.region))
            && !request.tried_workers.contains(&worker.id)
            && endpoint.inflight < connections
    }

    /// Returns whether the warm-up of a worker permits a request. Only the nodes of its warm-up
    /// group use a warming worker. Each node has a number of shares such that all shares together
    /// stay within the limit, whenever they are used. The node spaces its requests so that in the
    /// long run all nodes together stay within the rate that the worker can handle.
    fn may_send_while_warming(&self, now: u64, endpoint: &Endpoint) -> bool {
        if !endpoint.warmup.is_warming(now) {
            return true;
        }
        // A process that has just started does not know what its predecessor has sent.
        let has_just_started = |started: u64| now < started + c::WARMUP_WINDOW_MS;
        if self.started_at.is_none_or(has_just_started) {
            return false;
        }
        let Some(group) = self.state.warmup_nodes(&endpoint.worker) else {
            return false;
        };
        if !group.contains(&self.peers.own_id) {
            return false;
        }
        let service = self.state.service(&endpoint.worker.service);
        let shares = warmup_limit(service, &self.bounds) / group.len();
        // Without a configured rate, one request per second is assumed.
        let rate = service.map_or(0.0, |s| s.warmup_rate);
        let rate = c::WARMUP_RATE_FRACTION * if rate > 0.0 { rate } else { 1.0 };
        let gap_ms = 1000.0 * group.len() as f64 / rate;
        let warmup = &endpoint.warmup;
        warmup.recently_sent(now) < shares.min(c::WARMUP_MAX_SHARES) && warmup.is_due(now, gap_ms)
    }

    /// Returns the expected response time of a worker, as far as this node can tell, in
    /// milliseconds.
    fn expected_ms(&self, endpoint: &Endpoint, subset: &Subset) -> f64 {
        let load = f64::from(endpoint.inflight) * subset.sharing_nodes;
        let utilization = load / f64::from(endpoint.worker.slots.max(1));
        endpoint.response_ms * (1.0 + LOAD_SLOWDOWN * utilization + (utilization - 1.0).max(0.0))
    }

    /// Returns whether a request is unlikely to be answered before its deadline. Requests of lower
    /// priority are rejected earlier.
    fn would_miss_deadline(&self, endpoint: &Endpoint, request: &SelectionRequest, subset: &Subset) -> bool {
        let priority = f64::from(request.route.priority);
        let slack_factor = c::DEADLINE_SLACK_FACTOR / (1.0 + c::PRIORITY_DEADLINE_STEP * priority);
        self.expected_ms(endpoint, subset) > slack_factor * request.remaining_ms as f64
    }

    /// Returns the cost of sending a request to a worker, in milliseconds: the expected response
    /// time plus a penalty for leaving the zone or the region.
    fn cost(&self, endpoint: &Endpoint, request: &SelectionRequest, subset: &Subset) -> f64 {
        let target_ms = request.route.target_ms as f64;
        let distance = if endpoint.worker.zone == request.zone.unwrap_or(&self.zone) {
            0.0
        } else if endpoint.region == self.region {
            c::LOCAL_RTT_MS + c::ZONE_PENALTY_FRACTION * target_ms
        } else {
            self.round_trip_to(&endpoint.region) + c::REGION_PENALTY_FRACTION * target_ms
        };
        self.expected_ms(endpoint, subset) + distance
    }

    /// Returns the round-trip time to a worker, in milliseconds.
    pub(crate) fn round_trip_ms(&self, id: &str) -> f64 {
        match self.endpoints.get(id) {
            None => 0.0,
            Some(endpoint) if endpoint.region == self.region => c::LOCAL_RTT_MS,
            Some(endpoint) => self.round_trip_to(&endpoint.region),
        }
    }

    fn round_trip_to(&self, region: &str) -> f64 {
        let measured = self.peers.round_trips.get(region);
        measured.copied().unwrap_or(c::DEFAULT_RTT_MS)
    }

    /// Returns the time after which a rejected client should retry, in milliseconds.
    pub(crate) fn retry_after_ms(&self, now: u64, request: &SelectionRequest) -> u64 {
        if let Some(key) = request.key {
            let lease = self.state.key_lease(request.service, key);
            let holder = lease.and_then(|l| self.endpoints.get(&l.worker));
            return match (lease, holder) {
                (Some(lease), Some(_)) if lease.revoking => c::RETRY_AFTER_HANDOVER_MS,
                (_, Some(holder)) if holder.failures == 0 => c::RETRY_AFTER_MS,
                _ => c::RETRY_AFTER_HOLDER_LOST_MS,
            };
        }
        let ids = self.by_service.get(request.service).into_iter().flatten();
        let endpoints = ids.filter_map(|id| self.endpoints.get(id));
        let ejected = endpoints.filter(|e| e.is_ejected(now));
        let shortest_ejection_ms = ejected.map(|e| e.ejected_until - now).min();
        let wait_ms = shortest_ejection_ms.unwrap_or(c::RETRY_AFTER_MS);
        wait_ms.clamp(MIN_RETRY_AFTER_MS, c::RETRY_AFTER_MS)
    }
}
