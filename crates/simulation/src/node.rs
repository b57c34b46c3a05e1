//! One node: Raft, its copy of the control state, and the ownership of keys.

use crate::disk::Disk;
use config::{constants as c, timing};
use control_state::{ControlState, Outcome};
use key_ownership::OwnershipManager;
use protocol::ConfigurationCommand;
use raft::{EntryType, LogPosition, RaftNode, ReadState, Snapshot, StorageWrite, UpstreamSelector};
use std::collections::VecDeque;

/// Entries after which the log is compacted, entries.
const MAX_LOG_ENTRIES: usize = 40;

/// A write that is not on disk yet, and what waits for it.
struct PendingWrite {
    number: u64,
    messages: Vec<raft::Message>,
    last: LogPosition,
}

/// A running process.
pub struct Process {
    /// Its part in Raft.
    pub raft: RaftNode,
    /// Its copy of the control state.
    pub state: ControlState,
    /// The ownership of keys, while it leads.
    pub ownership: OwnershipManager,
    /// Since when it leads, as far as the ownership goes, ms.
    pub ownership_since: Option<u64>,
    /// When it reads the list of workers again, ms.
    pub next_poll: u64,
    /// It has caught up with what was committed.
    pub current: bool,
    /// The newest version acknowledged before this process began.
    pub acked_before: u64,
    /// When it began, ms.
    pub started: u64,
    /// Writes handed to the disk.
    queued: u64,
    /// Writes that have reached it.
    persisted: u64,
    /// Since when the oldest one waits, ms.
    pending_since: u64,
    pending: VecDeque<PendingWrite>,
    /// Commands of operators in its log.
    pub commands: Vec<PendingCommand>,
    /// Which voter it takes the log from, if it has no disk.
    pub upstream_selector: UpstreamSelector,
    /// It has been told to end.
    pub shutting_down: bool,
}

/// A command of an operator that waits in the log.
pub struct PendingCommand {
    /// Its name in the scenario.
    pub name: String,
    /// Where it stands.
    pub position: LogPosition,
    /// The command.
    pub command: ConfigurationCommand,
}

/// A machine.
pub struct Node {
    /// Its name.
    pub name: String,
    /// Its region.
    pub region: String,
    /// Its address.
    pub address: String,
    /// Its disk, if it has one.
    pub disk: Option<Disk>,
    /// Its process, while it is up.
    pub process: Option<Process>,
    /// Its disk was empty at the first start of the whole system.
    pub is_new_system: bool,
}

/// What a node did in one step.
#[derive(Default)]
pub struct StepResult {
    /// Messages to other nodes.
    pub sent: Vec<raft::Message>,
    /// Commands settled.
    pub settled: Vec<SettledCommand>,
    /// Entries applied.
    pub applied: Vec<AppliedEntry>,
    /// Reads that may be answered from the copy, or may not, by token.
    pub reads: Vec<ReadState>,
    /// It took its state from a snapshot.
    pub installed: bool,
    /// It serves what is older than was acknowledged.
    pub violation: Option<String>,
}

/// A command whose place in the log is decided.
pub struct SettledCommand {
    /// Its name in the scenario.
    pub name: String,
    /// The command.
    pub command: ConfigurationCommand,
    /// What came of it; `None` if another entry took its place.
    pub outcome: Option<Outcome>,
}

/// An entry that was applied.
pub struct AppliedEntry {
    /// Index in the log.
    pub index: u64,
    /// Term in which it was logged.
    pub term: u64,
    /// For a change, what came of it.
    pub outcome: Option<Outcome>,
}

impl Node {
    /// Its identity; 0 while it is down.
    pub fn id(&self) -> u64 {
        self.process.as_ref().map_or(0, |p| p.raft.id())
    }

    /// Starts its process. `id` is its identity unless its disk knows one; `acked` is the newest
    /// version acknowledged so far.
    pub fn start(&mut self, now: u64, id: u64, acked: u64) {
        let (id, saved) = match &mut self.disk {
            Some(disk) => {
                if disk.id == 0 {
                    disk.id = id;
                }
                (disk.id, disk.load())
            }
            None => (id, raft::PersistentState::default()),
        };
        let state = ControlState::from_snapshot(saved.snapshot.index, &saved.snapshot.data);
        let state = state.expect("the disk gives back what was written");
        let mut raft = RaftNode::new(id, saved, timing::RAFT, now, id);
        raft.set_snapshot_check(ControlState::is_snapshot_readable);
        self.process = Some(Process {
            raft,
            state,
            ownership: OwnershipManager::new(10_000, 300),
            ownership_since: None,
            next_poll: 0,
            current: false,
            acked_before: acked,
            started: now,
            queued: 0,
            persisted: 0,
            pending_since: 0,
            pending: VecDeque::new(),
            commands: Vec::new(),
            upstream_selector: UpstreamSelector::default(),
            shutting_down: false,
        });
    }

    /// Carries out whatever Raft wants done by now.
    pub fn flush(&mut self, now: u64) -> StepResult {
        let mut result = StepResult::default();
        let Some(process) = &mut self.process else {
            return result;
        };
        if let Some(disk) = &mut self.disk {
            process.complete_writes(now, disk, &mut result);
        }
        while process.flush_once(now, self.disk.as_mut(), &mut result) {}
        process.compact_log();
        if process.becomes_current() {
            let version = process.state.version();
            if version < process.acked_before {
                result.violation = Some(format!("{} serves version {version} at {now}", self.name));
            }
        }
        result
    }
}

impl Process {
    /// What waited for writes that have reached the disk.
    fn complete_writes(&mut self, now: u64, disk: &mut Disk, result: &mut StepResult) {
        if let Some(number) = disk.synced(now) {
            self.persisted = number;
            self.pending_since = now;
            while self.pending.front().is_some_and(|write| write.number <= number) {
                if let Some(write) = self.pending.pop_front() {
                    result.sent.extend(write.messages);
                    self.raft.on_persisted(write.last);
                }
            }
        }
        let is_late = self.queued > self.persisted && now - self.pending_since > c::DISK_TIMEOUT_MS;
        self.raft.set_storage_failed(is_late);
    }

    /// Carries out what is ready now; whether more may have become so.
    fn flush_once(&mut self, now: u64, disk: Option<&mut Disk>, result: &mut StepResult) -> bool {
        let ready = self.raft.take_ready();
        result.sent.extend(ready.messages);
        let sent = self.write(now, disk, ready.write, ready.persisted_messages);
        result.sent.extend(sent);
        result.reads.extend(ready.read_states);
        if let Some(snapshot) = ready.snapshot {
            result.installed = true;
            self.install(&snapshot);
        }
        let is_idle = ready.committed_entries.is_empty();
        for entry in ready.committed_entries {
            self.apply(&entry, result);
        }
        !is_idle
    }

    /// Hands a write to the disk; the messages that need not wait for one.
    fn write(
        &mut self,
        now: u64,
        disk: Option<&mut Disk>,
        write: StorageWrite,
        messages: Vec<raft::Message>,
    ) -> Vec<raft::Message> {
        let last = self.raft.last_position();
        let Some(disk) = disk else {
            self.raft.on_persisted(last);
            return messages;
        };
        let is_idle = self.queued == self.persisted;
        if !write.is_empty() {
            if is_idle {
                self.pending_since = now;
            }
            self.queued += 1;
            disk.write(now, self.queued, write);
        } else if is_idle {
            return messages;
        }
        self.pending.push_back(PendingWrite {
            number: self.queued,
            messages,
            last,
        });
        Vec::new()
    }

    fn install(&mut self, snapshot: &Snapshot) {
        if snapshot.index > self.state.index {
            let state = ControlState::from_snapshot(snapshot.index, &snapshot.data);
            self.state = state.expect("Raft installs none that cannot be read");
        }
        self.raft.on_applied(self.state.index);
    }

    fn apply(&mut self, entry: &raft::Entry, result: &mut StepResult) {
        let mut outcome = None;
        if entry.entry_type == EntryType::Command as i32 {
            outcome = Some(self.state.apply(entry.index, &entry.data));
        } else {
            self.state.index = self.state.index.max(entry.index);
        }
        self.raft.on_applied(entry.index);
        let pending = std::mem::take(&mut self.commands).into_iter();
        let (settled, rest): (Vec<PendingCommand>, _) =
            pending.partition(|c| c.position.index == entry.index);
        self.commands = rest;
        for pending in settled {
            // Another leader's entry may have taken the place.
            let is_own = pending.position.term == entry.term;
            result.settled.push(SettledCommand {
                name: pending.name,
                command: pending.command,
                outcome: outcome.clone().filter(|_| is_own),
            });
        }
        result.applied.push(AppliedEntry {
            index: entry.index,
            term: entry.term,
            outcome,
        });
    }

    /// As the program does it, and sooner where entries are few.
    fn compact_log(&mut self) {
        let most_bytes = c::LOG_MAX_BYTES.max(self.raft.snapshot_bytes());
        if self.raft.log_len() > MAX_LOG_ENTRIES || self.raft.log_bytes() > most_bytes {
            self.raft.compact(self.state.to_snapshot());
        }
    }

    /// Whether it has just caught up, since its start, with what was committed.
    fn becomes_current(&mut self) -> bool {
        let is_new = !self.current && self.raft.is_current();
        self.current |= is_new;
        is_new
    }
}
