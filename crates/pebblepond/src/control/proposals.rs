//! Changes on their way through the log, and commands that repeat others.

use super::driver::RaftDriver;
use control_state::{configuration_key, Outcome};
use protocol::{Change, ChangeKind, CommandTag, ConfigurationKey};
use tokio::sync::oneshot;

/// What a change came to, and its index in the log.
#[derive(Clone, Debug)]
pub(super) struct Settled {
    pub(super) outcome: Outcome,
    pub(super) index: u64,
}

/// What became of a proposal: `None` if that is not known.
pub(super) type Settlement = oneshot::Receiver<Option<Settled>>;

/// A change of this leader that waits in the log.
pub(super) struct Proposal {
    pub(super) term: u64,
    /// Of a configuration command, so that the same one sent again joins it.
    key: Option<ConfigurationKey>,
    /// Of a command without a base version.
    tag: Option<CommandTag>,
    waiters: Vec<oneshot::Sender<Option<Settled>>>,
}

impl Proposal {
    /// Tells all that wait.
    pub(super) fn settle(self, settled: &Option<Settled>) {
        for waiter in self.waiters {
            let _ = waiter.send(settled.clone());
        }
    }
}

impl RaftDriver {
    /// Puts a change into the log. A configuration command that is on its way already is
    /// joined: its entry comes to the same, whoever asked.
    pub(super) fn propose(&mut self, kind: ChangeKind, tag: Option<CommandTag>) -> Settlement {
        let (sender, settlement) = oneshot::channel();
        let key = match &kind {
            ChangeKind::Replace(command) => Some(configuration_key(command)),
            _ => None,
        };
        let is_same = |p: &&mut Proposal| key.is_some() && p.key == key;
        if let Some(pending) = self.proposals.values_mut().find(is_same) {
            pending.waiters.push(sender);
            return settlement;
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
        settlement
    }

    /// Puts a command into the log; one that seems to be sent again says so there.
    pub(super) fn propose_command(&mut self, kind: ChangeKind, tag: Option<CommandTag>) -> Settlement {
        let repeated = tag.as_ref().and_then(|tag| self.repeated(tag));
        if let Some(index) = repeated {
            self.recent_commands.note_repeated(self.context.now(), index);
        }
        let tag = tag.map(|tag| CommandTag {
            repeats: repeated.unwrap_or(0),
            ..tag
        });
        self.propose(kind, tag)
    }

    /// The index of the command that this one most likely repeats.
    pub(super) fn repeated(&self, tag: &CommandTag) -> Option<u64> {
        let history = &self.state.command_history;
        self.recent_commands
            .repeated(self.context.now(), history, tag, self.pending_commands())
    }

    /// Whether a command comes too late to be ordered behind the newest on its subject.
    pub(super) fn is_overtaken(&self, tag: &CommandTag) -> bool {
        let history = &self.state.command_history;
        history.is_overtaken(tag, self.pending_commands())
    }

    /// The commands with a tag that wait in the log, by index.
    fn pending_commands(&self) -> impl Iterator<Item = (u64, &CommandTag)> {
        let pending = self.proposals.iter();
        pending.filter_map(|(index, p)| Some((*index, p.tag.as_ref()?)))
    }
}
