//! What a node counts of services that are being rolled out.

use crate::endpoint::AttemptResult;
use rollout::{bucket_of, CohortSample};
use std::collections::BTreeMap;

/// What an attempt counts for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SampleLabel {
    /// The service, by the hash of its name.
    pub service: u32,
    /// The route, by the hash of its name.
    pub route: u32,
    /// The new version, not the old one.
    pub is_new: bool,
    /// The rollout, by the index of its creation.
    pub created_index: u64,
}

/// Requests of one service since this node has seen its rollout.
#[derive(Clone, Copy, Debug, Default)]
pub struct ExposureCounter {
    created_index: u64,
    all: u64,
    new: u64,
}

impl ExposureCounter {
    /// Counts anew if there is another rollout.
    pub fn begin(&mut self, created_index: u64) {
        if self.created_index != created_index {
            *self = ExposureCounter {
                created_index,
                ..ExposureCounter::default()
            };
        }
    }

    /// Whether one more may go to the new version, within a part of all that were sent to the
    /// service: what is rejected does not reach it.
    pub fn may_try_new(&self, bound: Option<f64>) -> bool {
        bound.is_none_or(|part| (self.new + 1) as f64 <= (self.all + 1) as f64 * part)
    }

    /// An attempt is sent: whether it is the first at its request, and goes to the new version.
    pub fn note_sent(&mut self, is_first: bool, is_new: bool) {
        self.all += u64::from(is_first);
        self.new += u64::from(is_new);
    }
}

#[derive(Debug, Default)]
struct Row {
    sample: CohortSample,
    /// Answers by bucket of their time.
    buckets: BTreeMap<u32, u32>,
}

/// Outcomes since the last report.
#[derive(Debug, Default)]
pub(crate) struct SampleCollector {
    rows: BTreeMap<SampleLabel, Row>,
}

impl SampleCollector {
    pub(crate) fn add(&mut self, label: &SampleLabel, result: AttemptResult) {
        let row = self.rows.entry(*label).or_default();
        match result {
            AttemptResult::Answered(ms) => {
                row.sample.served += 1;
                row.sample.ms += ms;
                *row.buckets.entry(bucket_of(ms)).or_default() += 1;
            }
            AttemptResult::Errored(_) => row.sample.bad += 1,
            AttemptResult::Failed | AttemptResult::TimedOut => row.sample.lost += 1,
            // Not run, or given up by this node.
            AttemptResult::Rejected
            | AttemptResult::WrongWorker
            | AttemptResult::Replaced
            | AttemptResult::Abandoned => {}
        }
    }

    pub(crate) fn take(&mut self) -> Vec<CohortSample> {
        let rows = std::mem::take(&mut self.rows).into_iter();
        let counted = rows.filter(|(_, r)| r.sample.served + r.sample.bad + r.sample.lost > 0);
        counted
            .map(|(label, row)| {
                let (buckets, counts) = row.buckets.into_iter().unzip();
                CohortSample {
                    service: label.service,
                    route: label.route,
                    new: label.is_new,
                    created_index: label.created_index,
                    buckets,
                    counts,
                    ..row.sample
                }
            })
            .collect()
    }
}
