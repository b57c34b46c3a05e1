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
pub struct Life {
    pub raft: RaftNode,
    pub stage: ControlState,
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
    pub orders: Vec<Pending>,
    pub following: UpstreamSelector,
    /// It has been told to end.
    pub leaving: bool,
}

/// An order of the operator that waits in the log.
pub struct Pending {
    pub name: String,
    pub index: u64,
    pub term: u64,
    pub order: ConfigurationCommand,
}

pub struct Node {
    pub name: String,
    pub region: String,
    pub address: String,
    pub disk: Option<Disk>,
    pub life: Option<Life>,
    pub fresh: bool,
}

/// What a node did in one step.
#[derive(Default)]
pub struct Did {
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
    pub wrong: Option<String>,
}

impl Node {
    pub fn id(&self) -> u64 {
        self.life.as_ref().map_or(0, |l| l.raft.id())
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
        let stage = ControlState::from_snapshot(saved.snapshot.index, &saved.snapshot.data);
        let stage = stage.expect("the disk gives back what was written");
        let mut raft = RaftNode::new(id, saved, TIMING, now, id);
        raft.set_snapshot_check(ControlState::is_snapshot_readable);
        self.life = Some(Life {
            raft,
            stage,
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
            orders: Vec::new(),
            following: UpstreamSelector::default(),
            leaving: false,
        });
    }

    /// Carries out whatever the agreement wants done by now.
    pub fn flush(&mut self, now: u64) -> Did {
        let mut did = Did::default();
        let Some(life) = &mut self.life else { return did };
        if let Some(disk) = &mut self.disk {
            if let Some(seq) = disk.synced(now) {
                life.done = seq;
                life.written_at = now;
                while life.waiting.front().is_some_and(|(s, _, _)| *s <= seq) {
                    if let Some((_, after, last)) = life.waiting.pop_front() {
                        did.sent.extend(after);
                        life.raft.on_persisted(last);
                    }
                }
            }
            let late = life.written > life.done && now - life.written_at > c::DISK_TIMEOUT_MS;
            life.raft.set_storage_failed(late);
        }
        loop {
            let ready = life.raft.take_ready();
            did.sent.extend(ready.messages);
            let last = life.raft.last_position();
            match &mut self.disk {
                None => {
                    did.sent.extend(ready.persisted_messages);
                    life.raft.on_persisted(last);
                }
                Some(disk) if !ready.write.is_empty() => {
                    if life.written == life.done {
                        life.written_at = now;
                    }
                    life.written += 1;
                    disk.write(now, life.written, ready.write);
                    life.waiting
                        .push_back((life.written, ready.persisted_messages, last));
                }
                Some(_) if life.written == life.done => did.sent.extend(ready.persisted_messages),
                Some(_) => life
                    .waiting
                    .push_back((life.written, ready.persisted_messages, last)),
            }
            did.reads.extend(ready.read_states);
            if let Some(snapshot) = ready.snapshot {
                did.installed = true;
                if snapshot.index > life.stage.index {
                    let stage = ControlState::from_snapshot(snapshot.index, &snapshot.data);
                    life.stage = stage.expect("the agreement takes none that cannot be read");
                }
                life.raft.on_applied(life.stage.index);
            }
            if ready.committed_entries.is_empty() {
                break;
            }
            for entry in ready.committed_entries {
                let mut outcome = None;
                if entry.entry_type == EntryType::Command as i32 {
                    outcome = Some(life.stage.apply(entry.index, &entry.data));
                } else {
                    life.stage.index = life.stage.index.max(entry.index);
                }
                life.raft.on_applied(entry.index);
                did.applied.push((entry.index, entry.term, outcome.clone()));
                let (settled, rest) = std::mem::take(&mut life.orders)
                    .into_iter()
                    .partition(|o| o.index == entry.index);
                life.orders = rest;
                let settled: Vec<Pending> = settled;
                for o in settled {
                    let told = if o.term == entry.term {
                        outcome.clone()
                    } else {
                        None
                    };
                    did.settled.push((o.name, o.order, told));
                }
            }
        }
        // As the program does it, and sooner where entries are few.
        let room = c::LOG_MAX_BYTES.max(life.raft.snapshot_bytes());
        if life.raft.log_len() > 40 || life.raft.log_bytes() > room {
            life.raft.compact(life.stage.to_snapshot());
        }
        if !life.current && life.raft.is_current() {
            life.current = true;
            let version = life.stage.version();
            if version < life.acked_before {
                did.wrong = Some(format!("{} serves version {version} at {now}", self.name));
            }
        }
        did
    }
}
