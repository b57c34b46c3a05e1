//! The placement controller: while it holds the leader lease, the leader computes the placement,
//! ejects workers that fail or respond slowly, and divides the retry slack among the nodes.

use crate::control::{GetLeaderSince, Propose, RaftDriver};
use crate::kernel::{Component, NodeContext, StartError};
use crate::reports::NodeReport;
use actix::prelude::*;
use config::constants as c;
use placement::{DemandTracker, Options, OutlierDetector, Placement, ServiceGroup};
use protocol::{ChangeKind, EjectionChange, PlacementChange, RetryAllowanceChange, SiteFraction};
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

inventory::submit! { Component { name: "placement", order: 35, start } }

fn start(context: &Rc<NodeContext>) -> Result<(), StartError> {
    if !context.may_lead() {
        return Ok(());
    }
    let controller = PlacementController {
        context: context.clone(),
        demand: DemandTracker::default(),
        outliers: OutlierDetector::default(),
        computed_at: 0,
        triggers: PlacementTriggers::default(),
        is_proposing: false,
        leader_since: None,
    };
    let controller = controller.start();
    *context.report_handlers.node_reports.borrow_mut() = Some(controller.clone().recipient());
    context.register_component(controller);
    Ok(())
}

/// State whose change makes the controller recompute the placement before its interval is over.
#[derive(Default)]
struct PlacementTriggers {
    /// Version of the configuration.
    version: u64,
    /// Sites with at least one ready proxy.
    sites: BTreeSet<String>,
    /// Number of workers that may receive requests.
    workers: usize,
}

impl PlacementTriggers {
    /// Returns whether the placement must be recomputed: the version or the sites differ, or the
    /// number of workers differs by more than a tenth.
    fn differs(&self, other: &PlacementTriggers) -> bool {
        self.version != other.version
            || self.sites != other.sites
            || self.workers.abs_diff(other.workers) * 10 > self.workers
    }
}

/// Actor that tracks the demand, computes the placement and runs the outlier detection.
pub struct PlacementController {
    context: Rc<NodeContext>,
    demand: DemandTracker,
    outliers: OutlierDetector,
    /// Time at which the placement was last computed, in milliseconds.
    computed_at: u64,
    triggers: PlacementTriggers,
    /// Whether a proposal of this controller is in progress.
    is_proposing: bool,
    /// Start of the leadership that the outlier detection was last reset for, in milliseconds.
    leader_since: Option<u64>,
}

impl Actor for PlacementController {
    type Context = Context<Self>;
    fn started(&mut self, ctx: &mut Self::Context) {
        ctx.run_interval(
            Duration::from_millis(c::OUTLIER_CHECK_INTERVAL_MS),
            |controller, ctx| controller.check(ctx),
        );
    }
}

impl Handler<NodeReport> for PlacementController {
    type Result = ();
    fn handle(&mut self, msg: NodeReport, _: &mut Self::Context) {
        self.outliers.record(&msg.report.workers);
        self.demand.record(self.context.now(), msg.node, msg.report);
    }
}

impl PlacementController {
    /// Checks the leader lease once per interval and, if it is held, makes at most one proposal.
    fn check(&mut self, ctx: &mut Context<Self>) {
        if !self.context.status.get().is_leader || self.is_proposing {
            return;
        }
        let Some(driver) = self.context.component::<Addr<RaftDriver>>() else {
            return;
        };
        let leader_since = driver.send(GetLeaderSince).into_actor(self);
        ctx.spawn(leader_since.map(move |leader_since, controller, ctx| {
            let Ok(Some(since)) = leader_since else { return };
            if let Some(change) = controller.next_change(since) {
                controller.propose(&driver, change, ctx);
            }
        }));
    }

    fn propose(&mut self, driver: &Addr<RaftDriver>, change: ChangeKind, ctx: &mut Context<Self>) {
        self.is_proposing = true;
        let proposal = driver.send(Propose(change)).into_actor(self);
        ctx.spawn(proposal.map(|_, controller, _| controller.is_proposing = false));
    }

    fn next_change(&mut self, leader_since: u64) -> Option<ChangeKind> {
        if self.leader_since != Some(leader_since) {
            self.leader_since = Some(leader_since);
            self.outliers.reset(self.context.now());
        }
        self.next_ejection_change()
            .or_else(|| self.next_placement_change())
            .or_else(|| self.next_retry_allowance_change())
    }

    /// Recomputes the placement when its interval is over, or immediately when one of its triggers
    /// has changed, and returns the change if the result differs.
    fn next_placement_change(&mut self) -> Option<ChangeKind> {
        let now = self.context.now();
        let state = self.context.state.get();
        if state.configuration.is_none() || state.workers.is_empty() {
            return None;
        }
        let triggers = self.current_triggers();
        if now < self.computed_at + c::PLACEMENT_INTERVAL_MS && !self.triggers.differs(&triggers) {
            return None;
        }
        let settings = self.context.settings.get();
        // With a directory, a site can take requests only through its proxies. Without one, the
        // sites are zones, and the workers of a zone serve even if its own proxies are down.
        let through_proxies = !settings.zones_are_sites();
        let sites_up = through_proxies.then_some(&triggers.sites);
        let input = self.demand.close_period(now, &state, &settings.sites(), sites_up);
        self.computed_at = now;
        self.triggers = triggers;
        let before = placement_of(&state.fractions);
        let options = Options {
            watermark: c::CAPACITY_WATERMARK,
            ranking_prefix: c::RANKING_PREFIX,
            deletion_threshold: c::DELETION_THRESHOLD,
            hysteresis: c::DELETION_HYSTERESIS_RATIO,
        };
        let placement = placement::compute_placement(&input, &before, &options);
        if !placement::placements_differ(&placement, &before) {
            return None;
        }
        self.context.counters.increment("placements");
        let fractions = fractions_of(placement);
        Some(ChangeKind::Placement(PlacementChange { fractions }))
    }

    fn current_triggers(&self) -> PlacementTriggers {
        let state = self.context.state.get();
        let settings = self.context.settings.get();
        let members = self.context.members.get();
        let proxies = members
            .iter()
            .filter(|m| m.is_alive() && m.is_ready && !m.client_address.is_empty());
        let usable = state
            .workers
            .values()
            .filter(|w| !w.draining && !state.evacuated.contains_key(&w.zone));
        PlacementTriggers {
            version: state.version(),
            sites: proxies
                .map(|m| settings.site(&m.zone, &m.region).to_string())
                .collect(),
            workers: usable.count(),
        }
    }

    /// Ejects workers that fail or respond slowly, and readmits workers that have recovered.
    fn next_ejection_change(&mut self) -> Option<ChangeKind> {
        let state = self.context.state.get();
        let ejected = self.outliers.evaluate(self.context.now(), &state);
        if ejected == *state.ejected {
            return None;
        }
        log::info!("event=ejections_changed workers={ejected:?}");
        self.context.counters.increment("ejection_changes");
        let workers = ejected.into_iter().collect();
        Some(ChangeKind::Ejections(EjectionChange { workers }))
    }

    /// Divides the slack of the retry budget among the nodes that are ready. A node without an
    /// allowance gets no slack.
    fn next_retry_allowance_change(&self) -> Option<ChangeKind> {
        let state = self.context.state.get();
        state.configuration.as_ref()?;
        let members = self.context.members.get();
        let ready_nodes: BTreeSet<u64> = members
            .iter()
            .filter(|m| m.is_alive() && m.is_ready && m.id != 0)
            .map(|m| m.id)
            .collect();
        let holders = &*state.retry_allowances;
        if ready_nodes.is_empty() || ready_nodes == *holders {
            return None;
        }
        // A node whose allowance is revoked may have used its share within the current window.
        let shares = ready_nodes.len().max(holders.len()) as f64;
        let slack = self.context.settings.get().terms.bounds.retry_slack * c::RETRY_SLACK_FRACTION / shares;
        Some(ChangeKind::RetryAllowance(RetryAllowanceChange {
            granted: ready_nodes.difference(holders).copied().collect(),
            revoked: holders.difference(&ready_nodes).copied().collect(),
            slack,
        }))
    }
}

/// Converts the fractions of the control state into a placement.
fn placement_of(fractions: &[SiteFraction]) -> Placement {
    let mut placement = Placement::new();
    for fraction in fractions {
        let key = ServiceGroup {
            service: fraction.service.clone(),
            group: fraction.group.clone(),
        };
        let parts = placement.entry(key).or_default();
        parts.insert(fraction.site.clone(), fraction.part);
    }
    placement
}

/// Converts a placement into the fractions of the control state.
fn fractions_of(placement: Placement) -> Vec<SiteFraction> {
    let mut fractions = Vec::new();
    for (ServiceGroup { service, group }, parts) in placement {
        for (site, part) in parts {
            fractions.push(SiteFraction {
                service: service.clone(),
                group: group.clone(),
                site,
                part,
            });
        }
    }
    fractions
}
