//! Elections: pre-votes, votes, and the changes of role (dissertation, 3.4, 4.2.3 and 9.6).

use super::{RaftNode, Role};
use crate::message::{EntryType, Message, MessageType};
use crate::progress::Progress;
use rand::Rng;
use std::collections::BTreeSet;

/// Reason why a node starts an election.
#[derive(Clone, Copy, PartialEq, Eq)]
enum CampaignReason {
    /// The node has not heard from a leader within the election timeout.
    Timeout,
    /// The leader transfers leadership to the node, so the leader's lease does not prevent
    /// votes.
    Transfer,
}

impl RaftNode {
    /// Handles the expiry of the election timeout.
    pub(super) fn on_election_timeout(&mut self) {
        self.reset_election_deadline();
        if self.can_campaign() {
            self.become_pre_candidate();
        }
    }

    /// Handles the leader's request to start an election immediately.
    pub(super) fn on_timeout_now(&mut self) {
        self.reset_election_deadline();
        if self.can_campaign() {
            self.leader_id = 0;
            self.become_candidate(CampaignReason::Transfer);
        }
    }

    fn can_campaign(&self) -> bool {
        self.membership.contains(self.id) && !self.storage_failed
    }

    fn become_pre_candidate(&mut self) {
        self.leader_id = 0;
        self.votes = BTreeSet::from([self.id]);
        self.role = Role::PreCandidate;
        // A pre-vote changes no state, so it may be repeated soon: other voters may have only
        // just started, or may still consider the failed leader alive.
        let pause_ms = self.config.election_timeout_ms / 4;
        self.election_deadline = self.now + pause_ms + self.rng.gen_range(0..=pause_ms);
        if self.has_majority_of_votes() {
            self.become_candidate(CampaignReason::Timeout);
        } else {
            self.request_pre_votes();
        }
    }

    fn become_candidate(&mut self, reason: CampaignReason) {
        self.role = Role::Candidate;
        self.election_deadline = self.now
            + self.config.election_timeout_ms / 3
            + self.rng.gen_range(0..=self.config.election_jitter_ms);
        self.hard_state.term += 1;
        self.hard_state.vote = self.id;
        self.persist_hard_state();
        self.votes = BTreeSet::from([self.id]);
        if self.has_majority_of_votes() {
            self.become_leader();
        } else {
            self.request_votes(reason);
        }
    }

    fn become_leader(&mut self) {
        self.role = Role::Leader;
        self.leader_id = self.id;
        self.leader_since = self.now;
        self.lease_until = 0;
        self.transfer = None;
        self.rounds.clear();
        self.pending_reads.clear();
        let initial_progress = Progress {
            next_index: self.last_index() + 1,
            last_heard: self.now,
            ..Default::default()
        };
        let other_voters = self.other_voters().into_iter();
        self.progress = other_voters.map(|id| (id, initial_progress.clone())).collect();
        self.append_in_current_term(EntryType::NoOp, Vec::new());
        self.next_heartbeat_at = self.now;
        self.next_learner_heartbeat_at = self.now;
    }

    /// Becomes a follower of `leader` (0 for none) in this or a higher term.
    pub(super) fn become_follower(&mut self, term: u64, leader: u64) {
        if term > self.term() {
            self.hard_state.term = term;
            self.hard_state.vote = 0;
            self.persist_hard_state();
        }
        if self.role == Role::Leader {
            self.fail_pending_reads();
            self.lease_until = 0;
        }
        self.role = Role::Follower;
        self.leader_id = leader;
        self.shutdown_granted = false;
        self.transfer = None;
        self.reset_election_deadline();
    }

    /// Restarts the election timeout.
    pub(super) fn reset_election_deadline(&mut self) {
        // A node that is shutting down lets other voters start an election first.
        let extra_delay_ms = if self.shutting_down {
            2 * self.config.election_timeout_ms
        } else {
            0
        };
        self.election_deadline = self.now
            + extra_delay_ms
            + self.config.election_timeout_ms
            + self.rng.gen_range(0..=self.config.election_jitter_ms);
    }

    /// Backs off briefly in favor of another pre-candidate, because two simultaneous campaigns
    /// could split the votes. Does not do so again soon, because the other node may not be
    /// receiving responses.
    fn yield_to_candidate(&mut self) {
        let pause_ms = 2 * self.config.election_timeout_ms;
        let has_cooled_down = |at: u64| self.now.saturating_sub(at) > pause_ms;
        if self.yielded_at.is_none_or(has_cooled_down) {
            self.yielded_at = Some(self.now);
            self.role = Role::Follower;
            self.election_deadline = self.now
                + self.config.election_timeout_ms / 3
                + self.rng.gen_range(0..=self.config.election_timeout_ms / 4);
        }
    }

    fn request_pre_votes(&mut self) {
        let request = Message {
            term: self.term() + 1,
            ..self.vote_request(MessageType::PreVoteRequest)
        };
        for to in self.other_voters() {
            self.send(to, request.clone());
        }
    }

    fn request_votes(&mut self, reason: CampaignReason) {
        let request = Message {
            granted: reason == CampaignReason::Transfer,
            ..self.vote_request(MessageType::VoteRequest)
        };
        // The candidate's own vote counts only once it is on disk.
        for to in self.other_voters() {
            self.send_persisted(to, request.clone());
        }
    }

    fn vote_request(&self, message_type: MessageType) -> Message {
        let last = self.last_position();
        Message {
            index: last.index,
            log_term: last.term,
            ..self.message(message_type)
        }
    }

    fn has_majority_of_votes(&self) -> bool {
        let counted = self.votes.iter().filter(|id| self.membership.contains(**id));
        counted.count() >= self.membership.majority()
    }

    /// Returns whether this node must not vote, because it hears from a leader or has only
    /// just started. Leases depend on this. An election requested by the leader itself is
    /// exempt.
    fn is_bound_to_leader(&self, request: &Message) -> bool {
        let timeout_ms = self.config.election_timeout_ms;
        if request.granted {
            false
        } else if self.is_leader() {
            self.has_heard_majority(timeout_ms)
        } else {
            self.now.saturating_sub(self.leader_heard_at) < timeout_ms
        }
    }

    fn is_up_to_date(&self, request: &Message) -> bool {
        let candidate = crate::log::LogPosition {
            index: request.index,
            term: request.log_term,
        };
        candidate.is_up_to_date_with(self.last_position())
    }

    pub(super) fn handle_pre_vote_request(&mut self, from: u64, request: &Message) {
        let granted =
            !self.is_bound_to_leader(request) && self.is_up_to_date(request) && request.term > self.term();
        if granted && self.role == Role::PreCandidate && from > self.id {
            self.yield_to_candidate();
        }
        let reply = Message {
            term: if granted { request.term } else { self.term() },
            granted,
            ..self.message(MessageType::PreVoteResponse)
        };
        self.send(from, reply);
    }

    pub(super) fn handle_vote_request(&mut self, from: u64, request: &Message) {
        let up_to_date = self.is_up_to_date(request);
        if request.term > self.term() {
            if self.is_bound_to_leader(request) {
                return;
            }
            self.become_follower(request.term, 0);
        }
        let vote_is_available = self.hard_state.vote == 0 || self.hard_state.vote == from;
        let granted =
            request.term == self.term() && vote_is_available && up_to_date && self.role == Role::Follower;
        if granted {
            if self.hard_state.vote != from {
                self.hard_state.vote = from;
                self.persist_hard_state();
            }
            self.reset_election_deadline();
        }
        let reply = Message {
            granted,
            ..self.message(MessageType::VoteResponse)
        };
        self.send_persisted(from, reply);
    }

    pub(super) fn handle_pre_vote_response(&mut self, from: u64, response: &Message) {
        if self.role == Role::PreCandidate && response.granted && response.term == self.term() + 1 {
            self.votes.insert(from);
            if self.has_majority_of_votes() {
                self.become_candidate(CampaignReason::Timeout);
            }
        } else if response.term > self.term() && !response.granted {
            self.become_follower(response.term, 0);
        }
    }

    pub(super) fn handle_vote_response(&mut self, from: u64, response: &Message) {
        if self.role == Role::Candidate && response.granted && response.term == self.term() {
            self.votes.insert(from);
            if self.has_majority_of_votes() {
                self.become_leader();
            }
        }
    }
}
