//! Effect of a rollout on a request: the cohort of workers that it is sent to, and the label under
//! which the result of its attempt is counted.

use crate::balancer::{LoadBalancer, SelectionRequest};
use crate::endpoint::AttemptResult;
use crate::rollout_samples::SampleLabel;
use protocol::name_hash;
use rand::Rng;
use rollout::{Cohort, CohortSample, Rollout};
use std::sync::Arc;

impl LoadBalancer {
    /// Selects the cohort of the service for a request. Only a first attempt is sent to the new
    /// version. While the share of the stage is within the limit for a bad version, this node sends
    /// the new version no more than that limit of its own requests: then the sum over all nodes is
    /// within the limit, whatever each node has seen.
    pub(crate) fn cohort_for(&mut self, now: u64, request: &SelectionRequest) -> Cohort {
        let rollout = self.state.rollouts.get(request.service);
        let Some(rollout) = rollout.filter(|r| r.is_active()).cloned() else {
            return Cohort::Old;
        };
        if !request.tried_workers.is_empty() {
            return Cohort::Old;
        }
        let has_lost_contact = self
            .last_contact
            .is_some_and(|at| now > at + rollout::CONTACT_LOSS_FALLBACK_MS);
        let share = if has_lost_contact { 0.0 } else { rollout.share() };
        let is_drawn = share > 0.0 && (share >= 1.0 || self.rng.gen::<f64>() < share);
        let max_share = self.bounds.exposure_share;
        let exposure_limit = (share <= max_share).then_some(max_share);
        let exposure = self.exposure.entry(request.service.to_string()).or_default();
        exposure.begin(rollout.created_index);
        if request.key.is_none() && is_drawn && exposure.may_try_new(exposure_limit) {
            Cohort::New
        } else {
            Cohort::Old
        }
    }

    /// Returns the label under which the result of an attempt is counted. Results of warming
    /// workers are not counted, since they say nothing about the version.
    pub(crate) fn label(&mut self, now: u64, request: &SelectionRequest, id: &str) -> Option<SampleLabel> {
        let rollout = self.state.rollouts.get(request.service)?;
        let endpoint = self.endpoints.get(id)?;
        if !rollout.is_active() {
            return None;
        }
        let is_new_version = rollout.cohort(&endpoint.worker.version) == Cohort::New;
        if let Some(exposure) = self.exposure.get_mut(request.service) {
            exposure.note_sent(request.tried_workers.is_empty(), is_new_version);
        }
        let is_warming = endpoint.warmup.is_warming(now);
        (!is_warming).then(|| SampleLabel {
            service: name_hash(request.service),
            route: name_hash(&request.route.name),
            is_new_version,
            created_index: rollout.created_index,
        })
    }

    /// Returns and resets the counts of services that are in a rollout.
    pub fn take_samples(&mut self) -> Vec<CohortSample> {
        self.samples.take()
    }

    /// Records the result of an attempt that counts for a rollout.
    pub fn observe_sample(&mut self, label: &SampleLabel, result: AttemptResult) {
        let is_same_active_rollout =
            |r: &Arc<Rollout>| r.is_active() && r.created_index == label.created_index;
        if self.state.rollouts.values().any(is_same_active_rollout) {
            self.samples.add(label, result);
        }
    }
}
