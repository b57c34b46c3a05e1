//! One node: the agreement, its copy of the control state, and the ownership of keys.

use crate::disk::Disk;
use config::constants as c;
use control_state::{ControlState, Outcome};
use key_ownership::OwnershipManager;
use protocol::ConfigurationCommand;
use raft::{Config, EntryType, LogPosition, RaftNode, ReadState, UpstreamSelector};
use std::collections::VecDeque;

pub const TIMING: Config = Config {
    heartbeat_ms: c::HEARTBEAT_MS,
    learner_heartbeat_ms: c::LEARNER_HEARTBEAT_MS,
    election_timeout_ms: c::ELECTION_TIMEOUT_MS,
    election_jitter_ms: c::ELECTION_JITTER_MS,
    lease_ms: c::LEASE_MS,
    resend_ms: c::APPEND_RESEND_MS,
    snapshot_resend_ms: c::SNAPSHOT_RESEND_MS,
    peer_timeout_ms: c::PEER_TIMEOUT_MS,
    append_bytes: c::APPEND_BYTES,
    retained_bytes: c::LOG_RETAINED_BYTES,
};

/// What waits for a write: its number, messages, and the last entry and its term.
type Held = (u64, Vec<raft::Message>, LogPosition);

/// A running process.
pub struct Process {
    pub raft: RaftNode,
    pub state: ControlState,
    pub ownership: OwnershipManager,
    pub ownership_since: Option<u64>,
    pub next_poll: u64,
    pub current: bool,
    /// The newest version acknowledged before this life began.
    pub acked_before: u64,
    pub started: u64,
    written: u64,
    done: u64,
    written_at: u64,
    waiting: VecDeque<Held>,
    pub commands: Vec<PendingCommand>,
    pub upstream_selector: UpstreamSelector,
    /// It has been told to end.
    pub shutting_down: bool,
}

/// An order of the operator that waits in the log.
pub struct PendingCommand {
    pub name: String,
    pub index: u64,
    pub term: u64,
    pub command: ConfigurationCommand,
}

pub struct Node {
    pub name: String,
    pub region: String,
    pub address: String,
    pub disk: Option<Disk>,
    pub process: Option<Process>,
    pub is_new_system: bool,
}

/// What a node did in one step.
#[derive(Default)]
pub struct StepResult {
    pub sent: Vec<raft::Message>,
    /// Orders settled: name, order, outcome.
    pub settled: Vec<(String, ConfigurationCommand, Option<Outcome>)>,
    /// Entries applied: index, term, and for a change its outcome.
    pub applied: Vec<(u64, u64, Option<Outcome>)>,
    /// Reads that may be answered from the copy, or may not, by token.
    pub reads: Vec<ReadState>,
    /// It took its state from a snapshot.
    pub installed: bool,
    /// It serves what is older than was acknowledged.
    pub violations: Option<String>,
}

impl Node {
    pub fn id(&self) -> u64 {
        self.process.as_ref().map_or(0, |l| l.raft.id())
    }

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
        let mut raft = RaftNode::new(id, saved, TIMING, now, id);
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
            written: 0,
            done: 0,
            written_at: 0,
            waiting: VecDeque::new(),
            commands: Vec::new(),
            upstream_selector: UpstreamSelector::default(),
            shutting_down: false,
        });
    }

    /// Carries out whatever the agreement wants done by now.
    pub fn flush(&mut self, now: u64) -> StepResult {
        let mut step_result = StepResult::default();
        let Some(process) = &mut self.process else {
            return step_result;
        };
        if let Some(disk) = &mut self.disk {
            if let Some(seq) = disk.synced(now) {
                process.done = seq;
                process.written_at = now;
                while process.waiting.front().is_some_and(|(s, _, _)| *s <= seq) {
                    if let Some((_, after, last)) = process.waiting.pop_front() {
                        step_result.sent.extend(after);
                        process.raft.on_persisted(last);
                    }
                }
            }
            let late = process.written > process.done && now - process.written_at > c::DISK_TIMEOUT_MS;
            process.raft.set_storage_failed(late);
        }
        loop {
            let ready = process.raft.take_ready();
            step_result.sent.extend(ready.messages);
            let last = process.raft.last_position();
            match &mut self.disk {
                None => {
                    step_result.sent.extend(ready.persisted_messages);
                    process.raft.on_persisted(last);
                }
                Some(disk) if !ready.write.is_empty() => {
                    if process.written == process.done {
                        process.written_at = now;
                    }
                    process.written += 1;
                    disk.write(now, process.written, ready.write);
                    process
                        .waiting
                        .push_back((process.written, ready.persisted_messages, last));
                }
                Some(_) if process.written == process.done => {
                    step_result.sent.extend(ready.persisted_messages)
                }
                Some(_) => process
                    .waiting
                    .push_back((process.written, ready.persisted_messages, last)),
            }
            step_result.reads.extend(ready.read_states);
            if let Some(snapshot) = ready.snapshot {
                step_result.installed = true;
                if snapshot.index > process.state.index {
                    let state = ControlState::from_snapshot(snapshot.index, &snapshot.data);
                    process.state = state.expect("the agreement takes none that cannot be read");
                }
                process.raft.on_applied(process.state.index);
            }
            if ready.committed_entries.is_empty() {
                break;
            }
            for entry in ready.committed_entries {
                let mut outcome = None;
                if entry.entry_type == EntryType::Command as i32 {
                    outcome = Some(process.state.apply(entry.index, &entry.data));
                } else {
                    process.state.index = process.state.index.max(entry.index);
                }
                process.raft.on_applied(entry.index);
                step_result
                    .applied
                    .push((entry.index, entry.term, outcome.clone()));
                let (settled, rest) = std::mem::take(&mut process.commands)
                    .into_iter()
                    .partition(|o| o.index == entry.index);
                process.commands = rest;
                let settled: Vec<PendingCommand> = settled;
                for o in settled {
                    let reported = if o.term == entry.term {
                        outcome.clone()
                    } else {
                        None
                    };
                    step_result.settled.push((o.name, o.command, reported));
                }
            }
        }
        // As the program does it, and sooner where entries are few.
        let room = c::LOG_MAX_BYTES.max(process.raft.snapshot_bytes());
        if process.raft.log_len() > 40 || process.raft.log_bytes() > room {
            process.raft.compact(process.state.to_snapshot());
        }
        if !process.current && process.raft.is_current() {
            process.current = true;
            let version = process.state.version();
            if version < process.acked_before {
                step_result.violations = Some(format!("{} serves version {version} at {now}", self.name));
            }
        }
        step_result
    }
}
