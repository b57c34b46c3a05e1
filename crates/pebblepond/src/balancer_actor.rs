//! Actor that owns the load balancer: it selects workers on request, records results of attempts,
//! and reports to the leader.

use crate::kernel::{Component, NodeContext, StartError};
use crate::peer_transport::{PeerTransport, SendToPeer};
use crate::reports::RelayedReport;
use crate::upstream::Upstream;
use actix::prelude::*;
use balancer::{AttemptResult, LoadBalancer, Locality, PeerInfo, SampleLabel, Selection, SelectionRequest};
use config::{constants as c, Route};
use control_state::ControlState;
use protocol::{name_hash, Demand, KeyCounts, Payload, Report, RoundTrip, WorkerStats};
use rand::Rng;
use std::collections::{BTreeMap, HashMap};
use std::net::IpAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

inventory::submit! { Component { name: "balancer", order: 70, start } }

fn start(context: &Rc<NodeContext>) -> Result<(), StartError> {
    let settings = context.settings.get();
    let balancer = LoadBalancer::new(
        &settings.own_entity.zone,
        settings.network.zones.clone(),
        settings.terms.bounds.clone(),
        rand::thread_rng().gen(),
    );
    let upstream = Upstream::new();
    context.register_component(upstream.clone());
    let balancer_actor = BalancerActor {
        context: context.clone(),
        upstream,
        balancer,
        state: Arc::default(),
        demand: BTreeMap::new(),
        keys: BTreeMap::new(),
        client_zones: HashMap::new(),
        reported_at: context.now(),
        relayed_reports: BTreeMap::new(),
    };
    let balancer_actor = balancer_actor.start();
    *context.report_handlers.relayed_reports.borrow_mut() = Some(balancer_actor.clone().recipient());
    context.register_component(balancer_actor);
    Ok(())
}

/// Requests the selection of a worker.
#[derive(Message)]
#[rtype(result = "Selection")]
pub struct ChooseWorker {
    /// Route of the request.
    pub route: Arc<Route>,
    /// Service that was drawn for the request.
    pub service: Arc<str>,
    /// Key of the request, if the service is partitioned.
    pub key: Option<u32>,
    /// Workers to which the request was already sent.
    pub tried: Vec<String>,
    /// Time until the deadline, in milliseconds.
    pub remaining_ms: u64,
    /// Address of the client.
    pub client: Option<IpAddr>,
}

/// Draws one of the services of a route by weight.
#[derive(Message)]
#[rtype(result = "String")]
pub struct DrawService(pub Arc<Route>);

/// Reports the result of an attempt.
#[derive(Message)]
#[rtype(result = "()")]
pub struct ObserveAttempt {
    /// Identifier of the worker.
    pub id: String,
    /// Result of the attempt.
    pub result: AttemptResult,
    /// Label under which the result is counted in a rollout.
    pub label: Option<SampleLabel>,
}

/// Reports that a client of a zone has queried the directory of this node.
#[derive(Message)]
#[rtype(result = "()")]
pub struct ClientZone {
    /// Address of the client.
    pub client: IpAddr,
    /// Zone of the client.
    pub zone: String,
}

/// Capacity of the actor's mailbox, in messages.
const MAILBOX_CAPACITY: usize = 1024;
/// Maximum number of client addresses whose zone is remembered.
const MAX_CLIENT_ZONES: usize = 4096;

/// Owns the load balancer and the counts of this node.
pub struct BalancerActor {
    context: Rc<NodeContext>,
    upstream: Rc<Upstream>,
    balancer: LoadBalancer,
    state: Arc<ControlState>,
    /// Number of requests by service and client group.
    demand: BTreeMap<(Arc<str>, String), u64>,
    /// Number of requests by service and key.
    keys: BTreeMap<(Arc<str>, u32), u32>,
    /// Zones of clients, as learned by the directory.
    client_zones: HashMap<IpAddr, String>,
    /// Time of the last report, in milliseconds.
    reported_at: u64,
    /// Reports that the nodes that follow this one have sent since the last report, merged by site.
    relayed_reports: BTreeMap<String, Report>,
}

impl Actor for BalancerActor {
    type Context = Context<Self>;
    fn started(&mut self, ctx: &mut Self::Context) {
        ctx.set_mailbox_capacity(MAILBOX_CAPACITY);
        ctx.run_interval(Duration::from_millis(c::IDLE_SWEEP_INTERVAL_MS), |actor, _| {
            actor.upstream.close_expired_connections();
            actor.refresh();
            actor.balancer.decay_stale_response_times(actor.context.now());
            actor.update_peers();
        });
        ctx.run_interval(Duration::from_millis(c::REPORT_INTERVAL_MS), |actor, _| {
            actor.report()
        });
    }
}

impl BalancerActor {
    /// Updates the balancer to the newest control state; called before each decision.
    fn refresh(&mut self) {
        let state = self.context.state.get();
        self.balancer.set_last_contact(self.context.last_contact_ms.get());
        if Arc::ptr_eq(&state, &self.state) {
            return;
        }
        for id in self.balancer.update_state(self.context.now(), state.clone()) {
            if let Some(w) = self.state.workers.get(&id) {
                self.upstream.close_idle_connections(&w.address);
            }
        }
        self.state = state;
    }

    /// Updates the balancer's view of the other nodes.
    fn update_peers(&mut self) {
        let members = self.context.members.get();
        let own = &self.context.settings.get().own_entity;
        let proxies = || members.iter().filter(|m| !m.client_address.is_empty());
        let in_zone = || proxies().filter(|m| m.zone == own.zone);
        let locality = Locality {
            node_count: proxies().count().max(1),
            index: proxies().filter(|m| m.name < own.node_name).count(),
            zone_node_count: in_zone().count().max(1),
            index_in_zone: in_zone().filter(|m| m.name < own.node_name).count(),
        };
        self.balancer.set_peers(PeerInfo {
            locality,
            own_id: self.context.status.get().id,
            round_trips: (*self.context.round_trip_times_ms.get()).clone(),
        });
    }

    /// Draws the zone whose workers are to serve a request. Where zones are the sites, no directory
    /// directs clients to a site, so each request is directed to a zone of workers instead.
    fn draw_zone(&self, service: &str, key: Option<u32>) -> Option<String> {
        let settings = self.context.settings.get();
        if key.is_some() || !settings.zones_are_sites() {
            return None;
        }
        let random = rand::thread_rng().gen();
        let group = &settings.own_entity.zone;
        placement::draw_site(&self.state.fractions, service, group, random, |_| true).map(str::to_string)
    }

    /// Sends the counts of this node since the last report, and the reports of the nodes that
    /// follow it, to the voter that this node follows or to the leader.
    fn report(&mut self) {
        let now = self.context.now();
        let interval_ms = now - self.reported_at;
        self.reported_at = now;
        let Some(to) = self.report_destination() else {
            return;
        };
        let mut report = self.own_report(interval_ms);
        let mut relayed_reports = std::mem::take(&mut self.relayed_reports);
        if let Some(others) = relayed_reports.remove(&report.site) {
            report.merge(others);
        }
        let Some(transport) = self.context.component::<Addr<PeerTransport>>() else {
            return;
        };
        for report in std::iter::once(report).chain(relayed_reports.into_values()) {
            transport.do_send(SendToPeer {
                address: to.clone(),
                payload: Payload::Report(report),
            });
        }
    }

    /// Returns the address of the voter that this node follows, or else of the leader.
    fn report_destination(&self) -> Option<String> {
        let upstream = (*self.context.upstream.get()).clone();
        let leader_id = self.context.status.get().leader_id;
        let members = self.context.members.get();
        let leader = members.iter().find(|m| m.id == leader_id && m.id != 0);
        upstream.or_else(|| leader.map(|m| m.address.clone()))
    }

    fn own_report(&mut self, interval_ms: u64) -> Report {
        let settings = self.context.settings.get();
        let own = &settings.own_entity;
        let site = settings.site(&own.zone, &own.region).to_string();
        Report {
            zone: own.zone.clone(),
            site,
            interval_ms,
            demand: self.take_demand(&own.zone),
            workers: self.take_worker_stats(),
            round_trips: self.round_trips(),
            forwarding_rate: own.limits.cpu_fraction * 1000.0 / c::FORWARDING_CPU_MS,
            keys: self.take_key_counts(),
            rollout_samples: self.balancer.take_samples(),
        }
    }

    /// Returns and resets the number of requests by service and client group; the node's own zone
    /// is sent as an empty group name.
    fn take_demand(&mut self, own_zone: &str) -> Vec<Demand> {
        std::mem::take(&mut self.demand)
            .into_iter()
            .map(|((service, group), count)| Demand {
                service: name_hash(&service),
                group: if group == own_zone { String::new() } else { group },
                count,
            })
            .collect()
    }

    fn take_worker_stats(&mut self) -> Vec<WorkerStats> {
        self.balancer
            .take_observations()
            .into_iter()
            .map(|observation| WorkerStats {
                worker: name_hash(&observation.worker),
                response_ms: observation.mean_response_ms as f32,
                served: observation.served,
                failed: observation.failed,
            })
            .collect()
    }

    fn round_trips(&self) -> Vec<RoundTrip> {
        let round_trips = self.context.round_trip_times_ms.get();
        round_trips
            .iter()
            .map(|(site, rtt_ms)| RoundTrip {
                site: name_hash(site),
                rtt_ms: *rtt_ms as f32,
            })
            .collect()
    }

    /// Returns and resets the number of requests by key, with one row per service.
    fn take_key_counts(&mut self) -> Vec<KeyCounts> {
        let mut rows: Vec<KeyCounts> = Vec::new();
        for ((service, key), count) in std::mem::take(&mut self.keys) {
            let service = name_hash(&service);
            if rows.last().is_none_or(|row| row.service != service) {
                rows.push(KeyCounts {
                    service,
                    ..Default::default()
                });
            }
            if let Some(row) = rows.last_mut() {
                row.buckets.push(key);
                row.counts.push(count);
            }
        }
        rows
    }
}

impl Handler<DrawService> for BalancerActor {
    type Result = String;
    fn handle(&mut self, DrawService(route): DrawService, _: &mut Self::Context) -> String {
        self.balancer.draw_service(&route).to_string()
    }
}

impl Handler<ChooseWorker> for BalancerActor {
    type Result = MessageResult<ChooseWorker>;
    fn handle(&mut self, msg: ChooseWorker, _: &mut Self::Context) -> Self::Result {
        self.refresh();
        if msg.tried.is_empty() {
            let group = msg
                .client
                .and_then(|ip| self.client_zones.get(&ip).cloned())
                .unwrap_or_else(|| self.context.settings.get().own_entity.zone.clone());
            *self.demand.entry((msg.service.clone(), group)).or_default() += 1;
            if let Some(key) = msg.key {
                *self.keys.entry((msg.service.clone(), key)).or_default() += 1;
            }
        }
        let zone = self.draw_zone(&msg.service, msg.key);
        let request = SelectionRequest {
            route: &msg.route,
            key: msg.key,
            service: &msg.service,
            tried_workers: &msg.tried,
            remaining_ms: msg.remaining_ms,
            zone: zone.as_deref(),
        };
        MessageResult(self.balancer.choose(self.context.now(), &request))
    }
}

impl Handler<ObserveAttempt> for BalancerActor {
    type Result = ();
    fn handle(&mut self, msg: ObserveAttempt, _: &mut Self::Context) {
        if let Some(label) = &msg.label {
            self.balancer.observe_sample(label, msg.result);
        }
        self.balancer.observe(self.context.now(), &msg.id, msg.result);
    }
}

impl Handler<RelayedReport> for BalancerActor {
    type Result = ();
    fn handle(&mut self, RelayedReport(report): RelayedReport, _: &mut Self::Context) {
        match self.relayed_reports.get_mut(&report.site) {
            Some(sum) => sum.merge(report),
            None => {
                self.relayed_reports.insert(report.site.clone(), report);
            }
        }
    }
}

impl Handler<ClientZone> for BalancerActor {
    type Result = ();
    fn handle(&mut self, msg: ClientZone, _: &mut Self::Context) {
        if self.client_zones.len() >= MAX_CLIENT_ZONES {
            self.client_zones.clear();
        }
        self.client_zones.insert(msg.client, msg.zone);
    }
}
