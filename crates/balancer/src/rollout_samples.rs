//! Counts of one node for services that are in a rollout.

use crate::endpoint::AttemptResult;
use rollout::{bucket_of, CohortSample};
use std::collections::BTreeMap;

/// Label under which the result of an attempt is counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SampleLabel {
    /// Hash of the name of the service.
    pub service: u32,
    /// Hash of the name of the route.
    pub route: u32,
    /// Whether the attempt was sent to the new version.
    pub is_new_version: bool,
    /// Log index at which the rollout was created.
    pub created_index: u64,
}

/// Attempts at the requests of one service since this node first saw its rollout.
#[derive(Clone, Copy, Debug, Default)]
pub struct ExposureCounter {
    created_index: u64,
    requests: u64,
    new_version_attempts: u64,
}

impl ExposureCounter {
    /// Starts a new count if `created_index` belongs to a different rollout.
    pub fn begin(&mut self, created_index: u64) {
        if self.created_index != created_index {
            *self = ExposureCounter {
                created_index,
                ..ExposureCounter::default()
            };
        }
    }

    /// Returns whether one more request may be sent to the new version within `limit`, a fraction
    /// of all requests that were sent to the service. Rejected requests are never sent, so they are
    /// not counted.
    pub fn may_try_new(&self, limit: Option<f64>) -> bool {
        limit.is_none_or(|fraction| {
            (self.new_version_attempts + 1) as f64 <= (self.requests + 1) as f64 * fraction
        })
    }

    /// Records that an attempt is sent.
    pub fn note_sent(&mut self, is_first: bool, is_new_version: bool) {
        self.requests += u64::from(is_first);
        self.new_version_attempts += u64::from(is_new_version);
    }
}

#[derive(Debug, Default)]
struct Row {
    sample: CohortSample,
    /// Number of responses by bucket of their response time.
    buckets: BTreeMap<u32, u32>,
}

/// Results of attempts since the last report.
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
            AttemptResult::ServerError(_) => row.sample.bad += 1,
            AttemptResult::Failed | AttemptResult::TimedOut => row.sample.lost += 1,
            // Not executed, or abandoned by this node.
            AttemptResult::Rejected
            | AttemptResult::WrongWorker
            | AttemptResult::AddressReused
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
                    new: label.is_new_version,
                    created_index: label.created_index,
                    buckets,
                    counts,
                    ..row.sample
                }
            })
            .collect()
    }
}
