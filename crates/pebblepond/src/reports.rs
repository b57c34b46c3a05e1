//! Reports of other nodes: the leader's controllers each get their part, any other node relays
//! them to the leader with its own.

use crate::kernel::{Component, NodeContext, StartError};
use crate::peer_transport::PayloadKind;
use actix::prelude::*;
use protocol::{KeyCounts, Payload, PeerMessage, Report, WorkerStats};
use rollout::CohortSample;
use std::cell::RefCell;
use std::rc::Rc;

inventory::submit! { Component { name: "reports", order: 25, start } }

fn start(context: &Rc<NodeContext>) -> Result<(), StartError> {
    let weak = Rc::downgrade(context);
    let dispatch = move |message| {
        if let Some(context) = weak.upgrade() {
            dispatch(&context, message);
        }
    };
    context
        .payload_handlers
        .register(&[PayloadKind::Report], dispatch);
    Ok(())
}

/// What a node counted for the keys.
#[derive(Message)]
#[rtype(result = "()")]
pub struct KeyLoads {
    /// Requests by key.
    pub keys: Vec<KeyCounts>,
    /// What it observed of workers.
    pub workers: Vec<WorkerStats>,
}

/// What a node counted of services that are being rolled out.
#[derive(Message)]
#[rtype(result = "()")]
pub struct RolloutOutcomes {
    /// Outcomes by route and version.
    pub samples: Vec<CohortSample>,
    /// What it observed of workers.
    pub workers: Vec<WorkerStats>,
}

/// The rest of a report: demand, workers, distances.
#[derive(Message)]
#[rtype(result = "()")]
pub struct NodeReport {
    /// The node's identity.
    pub node: u64,
    /// What it says.
    pub report: Report,
}

/// A report of a learner that this node relays the log to, to be passed on to the leader.
#[derive(Message)]
#[rtype(result = "()")]
pub struct RelayedReport(pub Report);

/// Who handles which part of a report.
#[derive(Default)]
pub struct ReportHandlers {
    /// The controller of key ownership.
    pub key_loads: RefCell<Option<Recipient<KeyLoads>>>,
    /// The controller of rollouts.
    pub rollout_outcomes: RefCell<Option<Recipient<RolloutOutcomes>>>,
    /// The controller of the placement.
    pub node_reports: RefCell<Option<Recipient<NodeReport>>>,
    /// Whoever reports for this node.
    pub relayed: RefCell<Option<Recipient<RelayedReport>>>,
}

/// Hands the parts of a report on.
fn dispatch(context: &NodeContext, message: PeerMessage) {
    let Some(Payload::Report(mut report)) = message.payload else {
        return;
    };
    let handlers = &context.report_handlers;
    if !context.status.get().is_leader {
        if let Some(handler) = &*handlers.relayed.borrow() {
            handler.do_send(RelayedReport(report));
        }
        return;
    }
    if let Some(handler) = &*handlers.key_loads.borrow() {
        handler.do_send(KeyLoads {
            keys: std::mem::take(&mut report.keys),
            workers: report.workers.clone(),
        });
    }
    if let Some(handler) = &*handlers.rollout_outcomes.borrow() {
        handler.do_send(RolloutOutcomes {
            samples: std::mem::take(&mut report.rollout_samples),
            workers: report.workers.clone(),
        });
    }
    if let Some(handler) = &*handlers.node_reports.borrow() {
        handler.do_send(NodeReport {
            node: message.from,
            report,
        });
    }
}
