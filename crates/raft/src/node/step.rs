//! Dispatches messages from other nodes to the parts of the protocol that handle them.

use super::{RaftNode, Role};
use crate::message::{Message, MessageType};

impl RaftNode {
    /// Handles a message from node `from` at `now`, in milliseconds. A message of an unknown
    /// type or for another identity is dropped.
    pub fn step(&mut self, now: u64, from: u64, message: Message) {
        self.now = now;
        let Ok(message_type) = MessageType::try_from(message.message_type) else {
            return;
        };
        if message.to != 0 && message.to != self.id {
            return;
        }
        match message_type {
            MessageType::PreVoteRequest => self.handle_pre_vote_request(from, &message),
            MessageType::VoteRequest => self.handle_vote_request(from, &message),
            MessageType::PreVoteResponse => self.handle_pre_vote_response(from, &message),
            MessageType::Subscribe => self.handle_subscribe(from, &message),
            MessageType::Fragment => self.handle_fragment(from, message),
            MessageType::FragmentAck => self.handle_fragment_ack(from, &message),
            _ => self.step_in_term(from, message_type, message),
        }
    }

    /// Handles messages whose term is relevant: a term higher than this node's ends its role.
    fn step_in_term(&mut self, from: u64, message_type: MessageType, message: Message) {
        let is_from_leader = matches!(
            message_type,
            MessageType::AppendEntries | MessageType::InstallSnapshot
        );
        let is_relayed = message.leader != 0;
        if is_relayed && !self.accepts_relayed(from) {
            return;
        }
        let leader = if is_relayed { message.leader } else { from };
        if message.term > self.term() {
            self.become_follower(message.term, if is_from_leader { leader } else { 0 });
        }
        let in_term = message.term == self.term();
        match message_type {
            MessageType::VoteResponse => self.handle_vote_response(from, &message),
            MessageType::AppendEntries | MessageType::InstallSnapshot if message.term < self.term() => {
                self.reject_stale_leader(from);
            }
            MessageType::AppendEntries => {
                self.follow_leader(message.term, leader);
                self.handle_append_entries(from, message);
            }
            MessageType::InstallSnapshot => {
                self.follow_leader(message.term, leader);
                self.handle_install_snapshot(from, message);
            }
            MessageType::AppendEntriesResponse if self.subscribers.contains_key(&from) => {
                self.handle_subscriber_response(from, &message);
            }
            MessageType::AppendEntriesResponse => self.handle_append_response(from, &message),
            MessageType::ShutdownRequest => self.handle_shutdown_request(from, &message),
            MessageType::ShutdownResponse if from == self.leader_id && in_term => {
                self.shutdown_granted = message.granted;
            }
            MessageType::TimeoutNow if in_term && self.role == Role::Follower => self.on_timeout_now(),
            _ => {}
        }
    }

    /// Notifies a sender that still leads an earlier term of the current term.
    fn reject_stale_leader(&mut self, from: u64) {
        let reply = Message {
            index: self.commit_index,
            applied: self.applied_index,
            ..self.message(MessageType::AppendEntriesResponse)
        };
        self.send(from, reply);
    }

    /// Records contact with the current leader.
    fn follow_leader(&mut self, term: u64, leader: u64) {
        if self.role != Role::Follower || self.leader_id != leader {
            self.become_follower(term, leader);
        }
        self.leader_heard_at = self.now;
        self.reset_election_deadline();
    }

    fn handle_fragment(&mut self, from: u64, fragment: Message) {
        self.note_upstream_activity(from);
        let received = self.fragmenter.receive(self.now, from, fragment);
        if let Some(ack) = received.ack {
            self.send(from, ack);
        }
        let complete = received.complete;
        if let Some(message) = complete.filter(|m| m.message_type != MessageType::Fragment as i32) {
            self.step(self.now, from, message);
        }
    }

    fn handle_fragment_ack(&mut self, from: u64, ack: &Message) {
        if let Some(subscriber) = self.subscribers.get_mut(&from) {
            subscriber.last_heard = self.now;
        }
        if let Some(next) = self.fragmenter.on_ack(self.now, from, ack) {
            self.send(from, next);
        }
    }
}
