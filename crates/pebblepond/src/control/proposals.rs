//! Proposed changes that wait for their log entry, and the detection of repeated commands.

use super::driver::RaftDriver;
use control_state::{configuration_key, Outcome};
use protocol::{Change, ChangeKind, CommandTag, ConfigurationKey, EvacuationChange};
use tokio::sync::oneshot;

/// The outcome of an applied change, and its index in the log.
#[derive(Clone, Debug)]
pub(super) struct ProposalResult {
    pub(super) outcome: Outcome,
    pub(super) index: u64,
}

/// Receives the result of a proposal: `None` if it is unknown.
pub(super) type ProposalReceiver = oneshot::Receiver<Option<ProposalResult>>;

/// A change that this leader has proposed and that is not applied yet.
pub(super) struct Proposal {
    pub(super) term: u64,
    /// The key of a configuration command, by which a repeated command joins this proposal.
    key: Option<ConfigurationKey>,
    /// The tag of a command without a base version.
    tag: Option<CommandTag>,
    waiters: Vec<oneshot::Sender<Option<ProposalResult>>>,
}

impl Proposal {
    /// Sends the result to all waiters.
    pub(super) fn complete(self, result: &Option<ProposalResult>) {
        for waiter in self.waiters {
            let _ = waiter.send(result.clone());
        }
    }
}

impl RaftDriver {
    /// Proposes a change. A configuration command joins the pending proposal of an equal command,
    /// because one entry has the same effect for both callers.
    pub(super) fn propose(&mut self, kind: ChangeKind, tag: Option<CommandTag>) -> ProposalReceiver {
        let (sender, receiver) = oneshot::channel();
        let key = match &kind {
            ChangeKind::Replace(command) => Some(configuration_key(command)),
            _ => None,
        };
        let is_same = |p: &&mut Proposal| key.is_some() && p.key == key;
        if let Some(pending) = self.proposals.values_mut().find(is_same) {
            pending.waiters.push(sender);
            return receiver;
        }
        if self.raft.is_established_leader() {
            let data = Change::encode_tagged(self.state.compact_for_log(kind), tag.clone());
            if let Some(position) = self.raft.propose(data) {
                let proposal = Proposal {
                    term: position.term,
                    key,
                    tag,
                    waiters: vec![sender],
                };
                self.proposals.insert(position.index, proposal);
                self.flush();
            }
        }
        receiver
    }

    /// Proposes a command; its tag names the index of the command that it seems to repeat.
    pub(super) fn propose_command(&mut self, kind: ChangeKind, tag: Option<CommandTag>) -> ProposalReceiver {
        let repeated = tag.as_ref().and_then(|tag| self.repeated(tag));
        if let (Some(tag), Some(index)) = (&tag, repeated) {
            let now = self.context.now();
            match &kind {
                // Resending does not extend the doubt about an evacuation: a new one would not count.
                ChangeKind::Evacuate(change) => log_repetition(change, index),
                _ => self.recent_commands.record_repetition(now, index, tag),
            }
        }
        let tag = tag.map(|tag| CommandTag {
            repeats: repeated.unwrap_or(0),
            ..tag
        });
        self.propose(kind, tag)
    }

    /// Returns the index of the command that this one most likely repeats.
    pub(super) fn repeated(&self, tag: &CommandTag) -> Option<u64> {
        let history = &self.state.command_history;
        let (now, pending) = (self.context.now(), self.pending_commands());
        self.recent_commands
            .repeated(now, history, tag, pending, self.resend_ms())
    }

    /// Returns the time for which callers may send a command again, in milliseconds.
    fn resend_ms(&self) -> u64 {
        self.context.settings.get().terms.bounds.acknowledge.ms
    }

    /// Settles the commands that no caller sends again any more, if this node leads.
    pub(super) fn settle_commands(&mut self, now: u64) {
        if !self.raft.is_established_leader() {
            return;
        }
        let settleable = self.recent_commands.settleable_index(now, self.resend_ms());
        let proposed = settleable.map(|index| (self.raft.term(), index));
        if let Some((_, index)) = proposed.filter(|proposed| self.settled != Some(*proposed)) {
            if self.raft.propose(Change::encode_settled(index)).is_some() {
                self.settled = proposed;
            }
        }
    }

    /// Returns whether a command arrived too late to be ordered after the newest command on its
    /// subject.
    pub(super) fn is_overtaken(&self, tag: &CommandTag) -> bool {
        let history = &self.state.command_history;
        history.is_overtaken(tag, self.pending_commands())
    }

    /// Returns the pending commands that have a tag, with their log indexes.
    fn pending_commands(&self) -> impl Iterator<Item = (u64, &CommandTag)> {
        let pending = self.proposals.iter();
        pending.filter_map(|(index, p)| Some((*index, p.tag.as_ref()?)))
    }
}

/// Logs that an evacuation command is taken for a repetition of the entry at `index`.
fn log_repetition(change: &EvacuationChange, index: u64) {
    let EvacuationChange { zone, begin } = change;
    log::info!("event=evacuation_repetition zone={zone} begin={begin} repeats={index}");
}
