//! Read confirmation by heartbeat rounds, and the leader's lease (dissertation, 6.4).

use super::RaftNode;
use crate::ready::ReadState;
use std::collections::VecDeque;

/// A read that waits until a majority has answered a heartbeat round.
#[derive(Clone, Copy, Debug)]
pub(super) struct PendingRead {
    token: u64,
    round: u64,
}

#[derive(Clone, Copy, Debug)]
struct Round {
    number: u64,
    sent_at: u64,
}

/// The leader's heartbeat rounds. Round numbers increase across all terms of this process.
#[derive(Clone, Debug, Default)]
pub(super) struct Rounds {
    latest: u64,
    /// Rounds that no majority has answered yet, oldest first.
    unanswered: VecDeque<Round>,
}

impl Rounds {
    pub(super) fn latest(&self) -> u64 {
        self.latest
    }

    pub(super) fn clear(&mut self) {
        self.unanswered.clear();
    }

    fn begin(&mut self, now: u64) {
        self.latest += 1;
        self.unanswered.push_back(Round {
            number: self.latest,
            sent_at: now,
        });
    }

    /// Removes all rounds up to `number`, which a majority has answered, and returns the time
    /// at which the newest of them was sent.
    fn take_answered(&mut self, number: u64) -> Option<u64> {
        let mut sent_at = None;
        while self.unanswered.front().is_some_and(|r| r.number <= number) {
            sent_at = self.unanswered.pop_front().map(|r| r.sent_at);
        }
        sent_at
    }
}

impl RaftNode {
    /// Requests confirmation that a read may be answered from the applied state. The result
    /// appears with the token in `Ready::read_states`.
    pub fn request_read(&mut self, token: u64) {
        if !self.is_leader() {
            self.decide_read(token, false);
            return;
        }
        self.begin_round();
        self.pending_reads.push(PendingRead {
            token,
            round: self.rounds.latest(),
        });
        self.send_heartbeats(true);
        self.process_answered_rounds();
    }

    pub(super) fn begin_round(&mut self) {
        self.rounds.begin(self.now);
    }

    /// Extends the lease and confirms reads according to the rounds that a majority has
    /// answered.
    pub(super) fn process_answered_rounds(&mut self) {
        let answered_round = self.majority_value(|v| {
            if v.id == self.id {
                self.rounds.latest()
            } else {
                self.progress.get(&v.id).map_or(0, |p| p.round)
            }
        });
        let Some(answered_round) = answered_round else {
            return;
        };
        if let Some(sent_at) = self.rounds.take_answered(answered_round) {
            self.lease_until = self.lease_until.max(sent_at + self.config.lease_ms);
        }
        if self.is_established_leader() {
            let reads = std::mem::take(&mut self.pending_reads);
            let (confirmed, pending) = reads.into_iter().partition(|r| r.round <= answered_round);
            self.pending_reads = pending;
            let confirmed: Vec<PendingRead> = confirmed;
            for read in confirmed {
                self.decide_read(read.token, true);
            }
        }
    }

    /// Rejects all pending reads because this node is no longer the leader.
    pub(super) fn fail_pending_reads(&mut self) {
        for read in std::mem::take(&mut self.pending_reads) {
            self.decide_read(read.token, false);
        }
    }

    fn decide_read(&mut self, token: u64, confirmed: bool) {
        self.ready.read_states.push(ReadState { token, confirmed });
    }
}
