//! What a rollout means for a request: which cohort of workers it goes to, and what its attempt
//! counts for.

use crate::balancer::{LoadBalancer, SelectionRequest};
use crate::endpoint::AttemptResult;
use crate::rollout_samples::SampleLabel;
use protocol::name_hash;
use rand::Rng;
use rollout::{Cohort, CohortSample, Rollout};
use std::sync::Arc;

impl LoadBalancer {
    /// Which cohort of its service a request goes to. Only a first attempt goes to a new
    /// version. While a stage lies within what a bad version may get, this node sends it no
    /// more than that part of what it has had itself: the sum over all nodes is within it,
    /// whatever each of them has seen.
    pub(crate) fn cohort_for(&mut self, now: u64, request: &SelectionRequest) -> Cohort {
        let rollout = self.state.rollouts.get(request.service);
        let Some(rollout) = rollout.filter(|r| r.is_active()).cloned() else {
            return Cohort::Old;
        };
        if !request.tried.is_empty() {
            return Cohort::Old;
        }
        let has_lost_contact = self
            .last_contact
            .is_some_and(|at| now > at + rollout::FALLBACK_MS);
        let share = if has_lost_contact { 0.0 } else { rollout.share() };
        let is_drawn = share > 0.0 && (share >= 1.0 || self.rng.gen::<f64>() < share);
        let most = self.bounds.exposure_share;
        let bound = (share <= most).then_some(most);
        let exposure = self.exposure.entry(request.service.to_string()).or_default();
        exposure.begin(rollout.created_index);
        if request.key.is_none() && is_drawn && exposure.may_try_new(bound) {
            Cohort::New
        } else {
            Cohort::Old
        }
    }

    /// What an attempt counts for. Warming workers say nothing about their version.
    pub(crate) fn label(&mut self, now: u64, request: &SelectionRequest, id: &str) -> Option<SampleLabel> {
        let rollout = self.state.rollouts.get(request.service)?;
        let endpoint = self.endpoints.get(id)?;
        if !rollout.is_active() {
            return None;
        }
        let is_new = rollout.cohort(&endpoint.worker.version) == Cohort::New;
        if let Some(exposure) = self.exposure.get_mut(request.service) {
            exposure.note_sent(request.tried.is_empty(), is_new);
        }
        let is_warming = endpoint.warmup.is_warming(now);
        (!is_warming).then(|| SampleLabel {
            service: name_hash(request.service),
            route: name_hash(&request.route.name),
            is_new,
            created_index: rollout.created_index,
        })
    }

    /// What was counted of services that are being rolled out, since the last call.
    pub fn take_samples(&mut self) -> Vec<CohortSample> {
        self.samples.take()
    }

    /// Takes note of how an attempt ended that counts for a rollout.
    pub fn observe_sample(&mut self, label: &SampleLabel, result: AttemptResult) {
        let is_going_on = |r: &Arc<Rollout>| r.is_active() && r.created_index == label.created_index;
        if self.state.rollouts.values().any(is_going_on) {
            self.samples.add(label, result);
        }
    }
}
