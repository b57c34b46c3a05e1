//! One node: Raft, its replica of the control state, and the key ownership manager.

use crate::disk::Disk;
use config::{constants as c, timing};
use control_state::{ControlState, Outcome};
use key_ownership::OwnershipManager;
use protocol::ConfigurationCommand;
use raft::{EntryType, LogPosition, RaftNode, ReadState, Snapshot, StorageWrite, UpstreamSelector};
use std::collections::VecDeque;

/// Number of log entries above which the log is compacted.
const MAX_LOG_ENTRIES: usize = 40;

/// A write that is not on disk yet, with the messages that wait for it.
struct PendingWrite {
    number: u64,
    messages: Vec<raft::Message>,
    last: LogPosition,
}

/// A running process of a node.
pub struct Process {
    /// The Raft state machine.
    pub raft: RaftNode,
    /// The replica of the control state.
    pub state: ControlState,
    /// The key ownership manager, used while this node is the leader.
    pub ownership: OwnershipManager,
    /// Start of the leadership that the ownership manager was initialized for, ms.
    pub ownership_since: Option<u64>,
    /// Time of the next read of the list of workers, ms.
    pub next_poll: u64,
    /// Whether the process has caught up with the commit index since its start.
    pub current: bool,
    /// The newest version acknowledged before this process started.
    pub acked_before: u64,
    /// Time at which the process started, ms.
    pub started: u64,
    /// Number of writes handed to the disk.
    queued: u64,
    /// Number of writes that are on disk.
    persisted: u64,
    /// Time since which the disk has completed no write although one is pending, ms.
    pending_since: u64,
    pending: VecDeque<PendingWrite>,
    /// Commands of operators that wait in the log.
    pub commands: Vec<PendingCommand>,
    /// Selects the voter that a node without a disk receives the log from.
    pub upstream_selector: UpstreamSelector,
    /// Whether the process has been requested to shut down.
    pub shutting_down: bool,
}

/// A command of an operator that waits in the log.
pub struct PendingCommand {
    /// Name of the command in the scenario.
    pub name: String,
    /// Position in the log.
    pub position: LogPosition,
    /// The command.
    pub command: ConfigurationCommand,
}

/// A machine with its disk and its process.
pub struct Node {
    /// Name of the machine.
    pub name: String,
    /// Region of the machine.
    pub region: String,
    /// Address of the node.
    pub address: String,
    /// The disk, if the machine has one.
    pub disk: Option<Disk>,
    /// The process, while it is running.
    pub process: Option<Process>,
    /// Whether the disk was empty at the first start of the complete system.
    pub is_new_system: bool,
}

/// What a node did in one step.
#[derive(Default)]
pub struct StepResult {
    /// Messages to send to other nodes.
    pub sent: Vec<raft::Message>,
    /// Commands whose outcome was decided.
    pub settled: Vec<SettledCommand>,
    /// Entries applied.
    pub applied: Vec<AppliedEntry>,
    /// Results of read requests, by token: whether the replica is confirmed for the read.
    pub reads: Vec<ReadState>,
    /// Whether a snapshot was installed.
    pub installed: bool,
    /// Set if the node serves a version older than one acknowledged before its start.
    pub violation: Option<String>,
}

/// A command whose outcome is decided.
pub struct SettledCommand {
    /// Name of the command in the scenario.
    pub name: String,
    /// The command.
    pub command: ConfigurationCommand,
    /// The outcome; `None` if another entry is at its position.
    pub outcome: Option<Outcome>,
}

/// An applied log entry.
pub struct AppliedEntry {
    /// Index of the entry.
    pub index: u64,
    /// Term in which the entry was logged.
    pub term: u64,
    /// The outcome, if the entry is a change.
    pub outcome: Option<Outcome>,
}

impl Node {
    /// Returns the identity of the process; 0 while it is down.
    pub fn id(&self) -> u64 {
        self.process.as_ref().map_or(0, |p| p.raft.id())
    }

    /// Starts the process. `id` is its identity unless the disk already has one; `acked` is the
    /// newest version acknowledged so far.
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
        let state = state.expect("the snapshot on disk is readable");
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

    /// Performs all work that Raft has ready.
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
    /// Completes the writes that are on disk: sends the messages that waited for them, and reports
    /// storage as failed if writes take longer than the disk time-out.
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

    /// Performs the work that is ready now. Returns whether more may have become ready.
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

    /// Hands a write to the disk. Returns the messages that need not wait for a write.
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
            self.state = state.expect("Raft installs only readable snapshots");
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
            // An entry of another leader may be at this position.
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

    /// Compacts the log as the program does, by its size in bytes, and earlier by its number of
    /// entries.
    fn compact_log(&mut self) {
        let max_bytes = c::LOG_MAX_BYTES.max(self.raft.snapshot_bytes());
        if self.raft.log_len() > MAX_LOG_ENTRIES || self.raft.log_bytes() > max_bytes {
            self.raft.compact(self.state.to_snapshot());
        }
    }

    /// Returns whether the process has caught up with the commit index now for the first time since
    /// its start.
    fn becomes_current(&mut self) -> bool {
        let is_new = !self.current && self.raft.is_current();
        self.current |= is_new;
        is_new
    }
}
