//! What this node counts of services that are being rolled out.

use crate::seats::Observed;
use rollout::{bucket_of, CohortSample};
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
    /// Counts anew if there is another order.
    pub fn begin(&mut self, ordered: u64) {
        if self.ordered != ordered {
            *self = Ledger {
                ordered,
                ..Ledger::default()
            };
        }
    }

    /// Whether one more may go to the new version, within a part of all that were
    /// sent to the service: what is refused does not reach it.
    pub fn may_try_new(&self, bound: Option<f64>) -> bool {
        bound.is_none_or(|part| (self.new + 1) as f64 <= (self.all + 1) as f64 * part)
    }

    pub fn sent(&mut self, first: bool, new: bool) {
        self.all += u64::from(first);
        self.new += u64::from(new);
    }
}

/// Outcomes since the last report.
#[derive(Debug, Default)]
pub struct Trials {
    rows: BTreeMap<Ticket, (CohortSample, BTreeMap<u32, u32>)>,
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

    pub fn take(&mut self) -> Vec<CohortSample> {
        let rows = std::mem::take(&mut self.rows);
        rows.into_iter()
            .filter(|(_, (t, _))| t.served + t.bad + t.lost > 0)
            .map(|(ticket, (trial, buckets))| {
                let (buckets, counts) = buckets.into_iter().unzip();
                CohortSample {
                    service: ticket.service,
                    route: ticket.route,
                    new: ticket.new,
                    created_index: ticket.ordered,
                    buckets,
                    counts,
                    ..trial
                }
            })
            .collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_was_refused_gives_no_share_and_another_order_counts_anew() {
        let mut ledger = Ledger::default();
        ledger.begin(5);
        let mut new = 0;
        for i in 0..1000 {
            if i % 2 == 0 {
                continue; // Asked for, and refused: nothing is sent.
            }
            let tries = ledger.may_try_new(Some(0.1));
            ledger.sent(true, tries);
            new += u32::from(tries);
        }
        assert_eq!(new, 50, "a tenth of what was sent");
        ledger.begin(9);
        assert!(!ledger.may_try_new(Some(0.1)), "a fresh count has nothing");
        assert!(ledger.may_try_new(None));
    }
}
