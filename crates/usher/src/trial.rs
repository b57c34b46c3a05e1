//! What this node counts of services that are being rolled out.

use crate::seats::Observed;
use preview::{bucket_of, Trial};
use std::collections::BTreeMap;

/// What a try counts for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket {
    /// The service and the route, by their short names.
    pub service: u32,
    pub route: u32,
    pub new: bool,
    /// The index of the order.
    pub ordered: u64,
}

/// Requests of one service since this node has seen the order.
#[derive(Clone, Copy, Debug, Default)]
pub struct Ledger {
    ordered: u64,
    all: u64,
    new: u64,
}

impl Ledger {
    pub fn first_try(&mut self, ordered: u64) {
        if self.ordered != ordered {
            *self = Ledger {
                ordered,
                ..Ledger::default()
            };
        }
        self.all += 1;
    }

    /// Whether one more may go to the new version, within a part of all.
    pub fn may_try_new(&self, bound: Option<f64>) -> bool {
        bound.is_none_or(|part| (self.new + 1) as f64 <= self.all as f64 * part)
    }

    pub fn tried_new(&mut self) {
        self.new += 1;
    }
}

/// Outcomes since the last report.
#[derive(Debug, Default)]
pub struct Trials {
    rows: BTreeMap<Ticket, (Trial, BTreeMap<u32, u32>)>,
}

impl Trials {
    pub fn note(&mut self, ticket: &Ticket, observed: Observed) {
        let (row, buckets) = self.rows.entry(*ticket).or_default();
        match observed {
            Observed::Answered(ms) => {
                row.served += 1;
                row.ms += ms;
                *buckets.entry(bucket_of(ms)).or_default() += 1;
            }
            Observed::Erred(_) => row.bad += 1,
            Observed::Failed | Observed::Late => row.lost += 1,
            // Not run, or given up by us.
            Observed::TurnedAway | Observed::Elsewhere | Observed::Gone | Observed::Abandoned => {}
        }
    }

    pub fn take(&mut self) -> Vec<Trial> {
        let rows = std::mem::take(&mut self.rows);
        rows.into_iter()
            .filter(|(_, (t, _))| t.served + t.bad + t.lost > 0)
            .map(|(ticket, (trial, buckets))| {
                let (buckets, counts) = buckets.into_iter().unzip();
                Trial {
                    service: ticket.service,
                    route: ticket.route,
                    new: ticket.new,
                    ordered: ticket.ordered,
                    buckets,
                    counts,
                    ..trial
                }
            })
            .collect()
    }
}
