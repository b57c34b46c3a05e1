//! The owner of this node's view of the workers: hands out choices, takes
//! note of outcomes, and reports to the leader.

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
    context.put(upstream.clone());
    let balancer_actor = BalancerActor {
        context: context.clone(),
        upstream,
        balancer,
        state: Arc::default(),
        demand: BTreeMap::new(),
        keys: BTreeMap::new(),
        groups: HashMap::new(),
        reported: context.now(),
        passed_on: BTreeMap::new(),
    };
    let balancer_actor = balancer_actor.start();
    *context.report_handlers.relayed.borrow_mut() = Some(balancer_actor.clone().recipient());
    context.put(balancer_actor);
    Ok(())
}

/// Asks for a worker.
#[derive(Message)]
#[rtype(result = "Selection")]
pub struct ChooseWorker {
    pub route: Arc<Route>,
    pub service: Arc<str>,
    pub key: Option<u32>,
    pub tried: Vec<String>,
    pub remaining_ms: u64,
    pub client: Option<IpAddr>,
}

/// Draws one of a route's services.
#[derive(Message)]
#[rtype(result = "String")]
pub struct DrawService(pub Arc<Route>);

/// Says how a try ended.
#[derive(Message)]
#[rtype(result = "()")]
pub struct ObserveAttempt {
    pub id: String,
    pub result: AttemptResult,
    pub label: Option<SampleLabel>,
}

/// A client of a zone has asked the directory here.
#[derive(Message)]
#[rtype(result = "()")]
pub struct ClientZone {
    pub client: IpAddr,
    pub zone: String,
}

/// Client addresses remembered with their zone, addresses.
const GROUPS_KEPT: usize = 4096;

pub struct BalancerActor {
    context: Rc<NodeContext>,
    upstream: Rc<Upstream>,
    balancer: LoadBalancer,
    state: Arc<ControlState>,
    demand: BTreeMap<(Arc<str>, String), u64>,
    /// Requests by service and key.
    keys: BTreeMap<(Arc<str>, u32), u32>,
    /// The zone of clients, as the directory learned it.
    groups: HashMap<IpAddr, String>,
    reported: u64,
    /// What nodes that follow this one have reported since, by their region.
    passed_on: BTreeMap<String, Report>,
}

impl Actor for BalancerActor {
    type Context = Context<Self>;
    fn started(&mut self, ctx: &mut Self::Context) {
        ctx.set_mailbox_capacity(1024);
        ctx.run_interval(Duration::from_millis(c::IDLE_SWEEP_INTERVAL_MS), |me, _| {
            me.upstream.sweep();
            me.refresh();
            me.balancer.sweep(me.context.now());
            me.neighbours();
        });
        ctx.run_interval(Duration::from_millis(c::REPORT_INTERVAL_MS), |me, _| me.report());
    }
}

impl BalancerActor {
    /// Looks at the newest control state before anything is decided.
    fn refresh(&mut self) {
        let state = self.context.state.get();
        self.balancer.set_last_contact(self.context.last_contact.get());
        if Arc::ptr_eq(&state, &self.state) {
            return;
        }
        for id in self.balancer.set_state(self.context.now(), state.clone()) {
            if let Some(w) = self.state.workers.get(&id) {
                self.upstream.forget(&w.address);
            }
        }
        self.state = state;
    }

    fn neighbours(&mut self) {
        let members = self.context.members.get();
        let own = &self.context.settings.get().own_entity;
        let edges = || members.iter().filter(|m| !m.client_address.is_empty());
        let here = || edges().filter(|m| m.zone == own.zone);
        let place = Locality {
            nodes: edges().count().max(1),
            number: edges().filter(|m| m.name < own.node_name).count(),
            nodes_in_zone: here().count().max(1),
            number_in_zone: here().filter(|m| m.name < own.node_name).count(),
        };
        self.balancer.set_peers(PeerInfo {
            locality: place,
            own_id: self.context.status.get().id,
            round_trips: (*self.context.round_trips.get()).clone(),
        });
    }

    /// Where zones are the sites there is no directory to point clients at one:
    /// each request is pointed at a zone of workers instead.
    fn draw_zone(&self, service: &str, key: Option<u32>) -> Option<String> {
        let settings = self.context.settings.get();
        if key.is_some() || !settings.zones_are_sites() {
            return None;
        }
        let chance = rand::thread_rng().gen();
        let group = &settings.own_entity.zone;
        placement::draw_site(&self.state.fractions, service, group, chance, |_| true).map(str::to_string)
    }

    fn report(&mut self) {
        let now = self.context.now();
        let span_ms = now - self.reported;
        self.reported = now;
        let status = self.context.status.get();
        let members = self.context.members.get();
        // A node that follows a voter reports to it.
        let source = (*self.context.upstream.get()).clone();
        let leader = members.iter().find(|m| m.id == status.leader_id && m.id != 0);
        let Some(to) = source.or_else(|| leader.map(|m| m.address.clone())) else {
            return;
        };
        let settings = self.context.settings.get();
        let mut keys: Vec<KeyCounts> = Vec::new();
        for ((service, bucket), count) in std::mem::take(&mut self.keys) {
            if keys.last().is_none_or(|k| k.service != name_hash(&service)) {
                keys.push(KeyCounts {
                    service: name_hash(&service),
                    ..Default::default()
                });
            }
            if let Some(row) = keys.last_mut() {
                row.buckets.push(bucket);
                row.counts.push(count);
            }
        }
        let mut report = Report {
            zone: settings.own_entity.zone.clone(),
            site: settings
                .site(&settings.own_entity.zone, &settings.own_entity.region)
                .to_string(),
            interval_ms: span_ms,
            demand: std::mem::take(&mut self.demand)
                .into_iter()
                .map(|((service, group), count)| Demand {
                    service: name_hash(&service),
                    group: if group == settings.own_entity.zone {
                        String::new()
                    } else {
                        group
                    },
                    count,
                })
                .collect(),
            workers: self
                .balancer
                .take_observations()
                .into_iter()
                .map(|observation| WorkerStats {
                    worker: name_hash(&observation.worker),
                    response_ms: observation.mean_response_ms as f32,
                    served: observation.served,
                    failed: observation.failed,
                })
                .collect(),
            round_trips: self
                .context
                .round_trips
                .get()
                .iter()
                .map(|(region, rtt_ms)| RoundTrip {
                    site: name_hash(region),
                    rtt_ms: *rtt_ms as f32,
                })
                .collect(),
            forwarding_rate: settings.own_entity.limits.cpu_fraction * 1000.0 / c::FORWARDING_CPU_MS,
            keys,
            rollout_samples: self.balancer.take_samples(),
        };
        let mut reports = std::mem::take(&mut self.passed_on);
        if let Some(others) = reports.remove(&report.site) {
            report.merge(others);
        }
        if let Some(transport) = self.context.get::<Addr<PeerTransport>>() {
            for report in std::iter::once(report).chain(reports.into_values()) {
                transport.do_send(SendToPeer {
                    to: to.clone(),
                    payload: Payload::Report(report),
                });
            }
        }
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
                .and_then(|ip| self.groups.get(&ip).cloned())
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
            tried: &msg.tried,
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
        match self.passed_on.get_mut(&report.site) {
            Some(sum) => sum.merge(report),
            None => {
                self.passed_on.insert(report.site.clone(), report);
            }
        }
    }
}

impl Handler<ClientZone> for BalancerActor {
    type Result = ();
    fn handle(&mut self, msg: ClientZone, _: &mut Self::Context) {
        if self.groups.len() >= GROUPS_KEPT {
            self.groups.clear();
        }
        self.groups.insert(msg.client, msg.zone);
    }
}
