//! Dispatches reports received from other nodes. On the leader each controller receives its part;
//! any other node forwards them to the leader together with its own report.

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
    let on_report = move |message| {
        if let Some(context) = weak.upgrade() {
            dispatch(&context, message);
        }
    };
    context
        .payload_handlers
        .register(&[PayloadKind::Report], on_report);
    Ok(())
}

/// The part of a node's report that concerns keys.
#[derive(Message)]
#[rtype(result = "()")]
pub struct KeyLoads {
    /// Number of requests by key.
    pub keys: Vec<KeyCounts>,
    /// Worker statistics that the node observed.
    pub workers: Vec<WorkerStats>,
}

/// The part of a node's report that concerns services with an active rollout.
#[derive(Message)]
#[rtype(result = "()")]
pub struct RolloutOutcomes {
    /// Request outcomes by route and version.
    pub samples: Vec<CohortSample>,
    /// Worker statistics that the node observed.
    pub workers: Vec<WorkerStats>,
}

/// The remaining part of a node's report: demand, worker statistics and round-trip times.
#[derive(Message)]
#[rtype(result = "()")]
pub struct NodeReport {
    /// Identity of the reporting node.
    pub node: u64,
    /// The report.
    pub report: Report,
}

/// A report of a learner that follows this node, to be forwarded to the leader.
#[derive(Message)]
#[rtype(result = "()")]
pub struct RelayedReport(pub Report);

/// Recipients of the parts of a report.
#[derive(Default)]
pub struct ReportHandlers {
    /// The key ownership controller.
    pub key_loads: RefCell<Option<Recipient<KeyLoads>>>,
    /// The rollout controller.
    pub rollout_outcomes: RefCell<Option<Recipient<RolloutOutcomes>>>,
    /// The placement controller.
    pub node_reports: RefCell<Option<Recipient<NodeReport>>>,
    /// The actor that sends this node's own reports.
    pub relayed_reports: RefCell<Option<Recipient<RelayedReport>>>,
}

/// Sends the parts of a report to their handlers.
fn dispatch(context: &NodeContext, message: PeerMessage) {
    let Some(Payload::Report(mut report)) = message.payload else {
        return;
    };
    let handlers = &context.report_handlers;
    if !context.status.get().is_leader {
        if let Some(handler) = &*handlers.relayed_reports.borrow() {
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
