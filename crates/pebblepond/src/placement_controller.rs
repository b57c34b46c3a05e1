//! The controller of the placement: the leader decides it, ejects workers that fail or lag, and
//! shares out the retry slack, under its lease.

use crate::control::{LeaderLease, Propose, RaftDriver};
use crate::kernel::{Component, NodeContext, StartError};
use crate::reports::NodeReport;
use actix::prelude::*;
use config::constants as c;
use placement::{Bench, Ledger, Options, Placement};
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
        ledger: Ledger::default(),
        bench: Bench::default(),
        decided: 0,
        version: 0,
        sites: BTreeSet::new(),
        workers: 0,
        busy: false,
        since: None,
    };
    let controller = controller.start();
    *context.report_handlers.node_reports.borrow_mut() = Some(controller.clone().recipient());
    context.put(controller);
    Ok(())
}

/// The owner of rates and capacities.
pub struct PlacementController {
    context: Rc<NodeContext>,
    ledger: Ledger,
    bench: Bench,
    decided: u64,
    version: u64,
    sites: BTreeSet<String>,
    workers: usize,
    busy: bool,
    /// Since when this node leads, as far as the judging of workers goes.
    since: Option<u64>,
}

impl Actor for PlacementController {
    type Context = Context<Self>;
    fn started(&mut self, ctx: &mut Self::Context) {
        ctx.run_interval(Duration::from_millis(c::OUTLIER_CHECK_INTERVAL_MS), |me, ctx| {
            me.round(ctx)
        });
    }
}

impl Handler<NodeReport> for PlacementController {
    type Result = ();
    fn handle(&mut self, msg: NodeReport, _: &mut Self::Context) {
        self.bench.take(&msg.report.workers);
        self.ledger.take(self.context.now(), msg.node, msg.report);
    }
}

impl PlacementController {
    fn round(&mut self, ctx: &mut Context<Self>) {
        if !self.context.status.get().is_leader || self.busy {
            return;
        }
        let Some(driver) = self.context.get::<Addr<RaftDriver>>() else {
            return;
        };
        ctx.spawn(driver.send(LeaderLease).into_actor(self).map(|lease, me, ctx| {
            let Ok(Some(since)) = lease else { return };
            if me.since != Some(since) {
                me.since = Some(since);
                me.bench.begin(me.context.now());
            }
            let change = me
                .judge_workers()
                .or_else(|| me.decide())
                .or_else(|| me.share_slack());
            if let (Some(change), Some(driver)) = (change, me.context.get::<Addr<RaftDriver>>()) {
                me.busy = true;
                ctx.spawn(
                    driver
                        .send(Propose(change))
                        .into_actor(me)
                        .map(|_, me, _| me.busy = false),
                );
            }
        }));
    }

    /// Decides anew when the period is over, or at once when the
    /// configuration, the sites that are up or the workers have changed.
    fn decide(&mut self) -> Option<ChangeKind> {
        let now = self.context.now();
        let state = self.context.state.get();
        if state.configuration.is_none() || state.workers.is_empty() {
            return None;
        }
        let settings = self.context.settings.get();
        let sites: BTreeSet<String> = self
            .context
            .members
            .get()
            .iter()
            .filter(|m| m.is_alive() && m.is_ready && !m.client_address.is_empty())
            .map(|m| settings.site(&m.zone, &m.region).to_string())
            .collect();
        let able = state
            .workers
            .values()
            .filter(|w| !w.draining && !state.evacuated.contains_key(&w.zone))
            .count();
        let due = now >= self.decided + c::PLACEMENT_INTERVAL_MS
            || self.version != state.version()
            || self.sites != sites
            || self.workers.abs_diff(able) * 10 > self.workers;
        if !due {
            return None;
        }
        let zones = settings.sites();
        // A site's proxies carry what its clients send. Where each request is
        // pointed at workers, those of a zone serve without its proxies.
        let through_proxies = !settings.zones_are_sites();
        let inputs = self
            .ledger
            .inputs(now, &state, &zones, through_proxies.then_some(&sites));
        (self.decided, self.version, self.sites, self.workers) = (now, state.version(), sites, able);
        let mut before = Placement::new();
        for f in state.fractions.iter() {
            before
                .entry((f.service.clone(), f.group.clone()))
                .or_default()
                .insert(f.site.clone(), f.part);
        }
        let options = Options {
            watermark: c::WATERMARK,
            prefix: c::RANKING_PREFIX,
            deletion_threshold: c::DELETION_THRESHOLD,
            hysteresis: c::HYSTERESIS,
        };
        let placement = placement::place(&inputs, &before, &options);
        if !placement::differs(&placement, &before) {
            return None;
        }
        self.context.counters.add("placements");
        let fractions = placement
            .into_iter()
            .flat_map(|((service, group), parts)| {
                parts.into_iter().map(move |(site, part)| SiteFraction {
                    service: service.clone(),
                    group: group.clone(),
                    site,
                    part,
                })
            })
            .collect();
        Some(ChangeKind::Placement(PlacementChange { fractions }))
    }

    /// Benches workers that fail or lag, and takes them back.
    fn judge_workers(&mut self) -> Option<ChangeKind> {
        let state = self.context.state.get();
        let on = self.bench.decide(self.context.now(), &state);
        if on == *state.ejected {
            return None;
        }
        log::info!("event=bench workers={on:?}");
        self.context.counters.add("bench_changes");
        let workers = on.into_iter().collect();
        Some(ChangeKind::Ejections(EjectionChange { workers }))
    }

    /// Divides the slack of the retry budget among the edge nodes that are up.
    /// A node that is not named has none.
    fn share_slack(&self) -> Option<ChangeKind> {
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
        let sharers = up.len().max(named.len()) as f64;
        let slack = self.context.settings.get().terms.bounds.retry_slack * c::RETRY_SLACK_PART / sharers;
        Some(ChangeKind::RetryAllowance(RetryAllowanceChange {
            granted: up.difference(named).copied().collect(),
            revoked: named.difference(&up).copied().collect(),
            slack,
        }))
    }
}
