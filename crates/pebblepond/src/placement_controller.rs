//! The controller of the placement: the leader decides it, ejects workers that fail or lag, and
//! shares out the retry slack, under its lease.

use crate::control::{LeaderLease, Propose, RaftDriver};
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
        decided_at: 0,
        basis: Basis::default(),
        is_proposing: false,
        leader_since: None,
    };
    let controller = controller.start();
    *context.report_handlers.node_reports.borrow_mut() = Some(controller.clone().recipient());
    context.put(controller);
    Ok(())
}

/// What a decision rested on, as far as a change of it calls for another at once.
#[derive(Default)]
struct Basis {
    /// Version of the configuration.
    version: u64,
    /// Sites whose proxies are up.
    sites: BTreeSet<String>,
    /// Number of workers that may get requests.
    workers: usize,
}

impl Basis {
    /// Whether the other is so different that the placement is decided again.
    fn differs(&self, other: &Basis) -> bool {
        self.version != other.version
            || self.sites != other.sites
            || self.workers.abs_diff(other.workers) * 10 > self.workers
    }
}

/// Owner of the demand and of the outlier detection.
pub struct PlacementController {
    context: Rc<NodeContext>,
    demand: DemandTracker,
    outliers: OutlierDetector,
    /// When the placement was last decided, ms.
    decided_at: u64,
    basis: Basis,
    /// A proposal is under way.
    is_proposing: bool,
    /// Since when this node leads, as far as the outlier detection goes.
    leader_since: Option<u64>,
}

impl Actor for PlacementController {
    type Context = Context<Self>;
    fn started(&mut self, ctx: &mut Self::Context) {
        ctx.run_interval(
            Duration::from_millis(c::OUTLIER_CHECK_INTERVAL_MS),
            |controller, ctx| controller.round(ctx),
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
    /// Once an interval: asks for the lease, and with it makes at most one proposal.
    fn round(&mut self, ctx: &mut Context<Self>) {
        if !self.context.status.get().is_leader || self.is_proposing {
            return;
        }
        let Some(driver) = self.context.get::<Addr<RaftDriver>>() else {
            return;
        };
        let lease = driver.send(LeaderLease).into_actor(self);
        ctx.spawn(lease.map(move |lease, controller, ctx| {
            let Ok(Some(since)) = lease else { return };
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
        self.change_ejections()
            .or_else(|| self.change_placement())
            .or_else(|| self.change_retry_allowances())
    }

    /// Decides the placement anew when the period is over, or at once when what it rests on has
    /// changed.
    fn change_placement(&mut self) -> Option<ChangeKind> {
        let now = self.context.now();
        let state = self.context.state.get();
        if state.configuration.is_none() || state.workers.is_empty() {
            return None;
        }
        let basis = self.current_basis();
        if now < self.decided_at + c::PLACEMENT_INTERVAL_MS && !self.basis.differs(&basis) {
            return None;
        }
        let settings = self.context.settings.get();
        // A site's proxies carry what its clients send. Where each request is
        // pointed at workers, those of a zone serve without its proxies.
        let through_proxies = !settings.zones_are_sites();
        let sites_up = through_proxies.then_some(&basis.sites);
        let input = self.demand.close_period(now, &state, &settings.sites(), sites_up);
        self.decided_at = now;
        self.basis = basis;
        let before = placement_of(&state.fractions);
        let options = Options {
            watermark: c::WATERMARK,
            ranking_prefix: c::RANKING_PREFIX,
            deletion_threshold: c::DELETION_THRESHOLD,
            hysteresis: c::HYSTERESIS,
        };
        let placement = placement::compute_placement(&input, &before, &options);
        if !placement::differs(&placement, &before) {
            return None;
        }
        self.context.counters.add("placements");
        let fractions = fractions_of(placement);
        Some(ChangeKind::Placement(PlacementChange { fractions }))
    }

    fn current_basis(&self) -> Basis {
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
        Basis {
            version: state.version(),
            sites: proxies
                .map(|m| settings.site(&m.zone, &m.region).to_string())
                .collect(),
            workers: usable.count(),
        }
    }

    /// Ejects workers that fail or lag, and takes them back.
    fn change_ejections(&mut self) -> Option<ChangeKind> {
        let state = self.context.state.get();
        let ejected = self.outliers.evaluate(self.context.now(), &state);
        if ejected == *state.ejected {
            return None;
        }
        log::info!("event=ejections_changed workers={ejected:?}");
        self.context.counters.add("ejection_changes");
        let workers = ejected.into_iter().collect();
        Some(ChangeKind::Ejections(EjectionChange { workers }))
    }

    /// Divides the slack of the retry budget among the nodes that are up.
    /// A node that is not named has none.
    fn change_retry_allowances(&self) -> Option<ChangeKind> {
        let state = self.context.state.get();
        state.configuration.as_ref()?;
        let members = self.context.members.get();
        let up: BTreeSet<u64> = members
            .iter()
            .filter(|m| m.is_alive() && m.is_ready && m.id != 0)
            .map(|m| m.id)
            .collect();
        let named = &*state.retry_allowances;
        if up.is_empty() || up == *named {
            return None;
        }
        // Who was taken off may have used its share within the window still.
        let shares = up.len().max(named.len()) as f64;
        let slack = self.context.settings.get().terms.bounds.retry_slack * c::RETRY_SLACK_PART / shares;
        Some(ChangeKind::RetryAllowance(RetryAllowanceChange {
            granted: up.difference(named).copied().collect(),
            revoked: named.difference(&up).copied().collect(),
            slack,
        }))
    }
}

/// The fractions of the control state as a placement.
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

/// A placement as the fractions of the control state.
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
