//! The actor that owns Raft, the store and the control state.

use super::loaded::Loaded;
use super::peers::{PeerMessageReceived, ReplyAddresses};
use super::persistence::WriteProgress;
use super::proposals::{Proposal, ProposalResult};
use crate::gossip_driver::UpdateOwnMember;
use crate::kernel::{Component, NodeContext, NodeStatus, StartError};
use crate::peer_transport::PayloadKind;
use crate::storage::{Storage, StorageEvent};
use actix::prelude::*;
use config::{constants as c, timing};
use control_state::{ControlState, Outcome, RecentCommands};
use protocol::{ChangeKind, CommandResponse, Incarnation, PendingCalls, RangeDigests};
use raft::{EntryType, RaftNode, Role, Snapshot, UpstreamSelector};
use rand::Rng;
use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};

inventory::submit! { Component { name: "control", order: 40, start } }

/// Capacity of the driver's mailbox, in messages.
const MAILBOX_CAPACITY: usize = 1024;
/// Interval between two maintenance rounds, in milliseconds.
const MAINTENANCE_INTERVAL_MS: u64 = 300;
/// Shortest and longest interval between two Raft ticks, in milliseconds.
const TICK_MS: (u64, u64) = (10, 200);

fn start(context: &Rc<NodeContext>) -> Result<(), StartError> {
    let settings = context.settings.get();
    let (events, storage_events) = mpsc::unbounded_channel();
    let loaded = match &settings.own_entity.data_directory {
        Some(directory) => Loaded::from_disk(directory, events)?,
        None => Loaded::without_disk(),
    };
    let is_new_system = loaded.is_empty && loaded.storage.is_some() && settings.own_entity.initial_start;
    log::info!(
        "event=identity id={:x} cluster={:x} disk={} empty={}",
        loaded.identity.id,
        loaded.identity.cluster,
        loaded.storage.is_some(),
        loaded.is_empty
    );
    let driver = RaftDriver::new(context.clone(), loaded, is_new_system);
    context.status.set(NodeStatus {
        id: driver.raft.id(),
        cluster: driver.joined_cluster,
        term: driver.raft.term(),
        ..Default::default()
    });
    context.state.set(driver.state.clone());
    let driver = driver.start();
    context.register_component(driver.clone());
    let kinds = [
        PayloadKind::Raft,
        PayloadKind::Request,
        PayloadKind::Response,
        PayloadKind::Digests,
        PayloadKind::Repair,
    ];
    let handler = driver.clone();
    context.payload_handlers.register(&kinds, move |message| {
        handler.do_send(PeerMessageReceived(message))
    });
    actix_rt::spawn(forward_events(storage_events, driver));
    Ok(())
}

async fn forward_events(mut events: mpsc::UnboundedReceiver<StorageEvent>, driver: Addr<RaftDriver>) {
    while let Some(event) = events.recv().await {
        driver.do_send(StorageEventReceived(event));
    }
}

#[derive(Message)]
#[rtype(result = "()")]
struct StorageEventReceived(StorageEvent);

/// Proposes a change. Returns its outcome once it is applied, or `None` if the proposal failed
/// or its outcome is unknown.
#[derive(Message)]
#[rtype(result = "Option<Outcome>")]
pub struct Propose(pub ChangeKind);

/// Returns the time at which this node became the leader, in milliseconds, if it holds the leader
/// lease and is not shutting down.
#[derive(Message)]
#[rtype(result = "Option<u64>")]
pub struct GetLeaderSince;

/// Announces that this node is shutting down: it transfers leadership and notifies the other
/// nodes. Returns whether the other nodes can continue with everything that this node holds; the
/// caller repeats the message until they can.
#[derive(Message)]
#[rtype(result = "bool")]
pub struct AnnounceShutdown;

/// The actor that owns Raft, the store and the control state.
pub struct RaftDriver {
    pub(super) context: Rc<NodeContext>,
    pub(super) raft: RaftNode,
    pub(super) state: ControlState,
    pub(super) storage: Option<Storage>,
    pub(super) joined_cluster: u64,
    /// Whether the disk was empty at the initial start of the whole system.
    pub(super) is_new_system: bool,
    pub(super) writes: WriteProgress,
    pub(super) proposals: HashMap<u64, Proposal>,
    /// Reads that wait for a heartbeat round to confirm leadership, by token.
    pub(super) reads: HashMap<u64, oneshot::Sender<bool>>,
    pub(super) last_read_token: u64,
    /// Commands forwarded to other nodes, by the ID of the receiving node.
    pub(super) calls: PendingCalls<u64, oneshot::Sender<CommandResponse>>,
    /// Repair requests sent to peers, by peer ID, with the digests that were sent.
    pub(super) repairs: PendingCalls<u64, RangeDigests>,
    /// The number given to the last command that this process tagged.
    pub(super) last_command: u64,
    /// The times at which this process last saw the unsettled commands of the history.
    pub(super) recent_commands: RecentCommands,
    /// The last settlement of commands that this process proposed, by term and log index.
    pub(super) settled: Option<(u64, u64)>,
    /// ID of the node that this node has chosen to bootstrap the cluster; 0 for none.
    pub(super) appointed: u64,
    /// The last update of this node's own member entry that was sent to gossip.
    pub(super) last_sent_update: Option<UpdateOwnMember>,
    pub(super) started_at: u64,
    pub(super) asked_peers_at: u64,
    /// Whether the state was repaired from a peer, outside Raft.
    pub(super) is_repaired: bool,
    pub(super) storage_failing: bool,
    /// Whether this node was in contact with a majority when that was last logged.
    pub(super) in_contact: bool,
    /// Whether a membership change is not committed yet.
    pub(super) membership_pending: bool,
    role: Role,
    /// Selects the voter that this node follows, if it has no disk.
    pub(super) upstream_selector: UpstreamSelector,
    pub(super) reply_addresses: ReplyAddresses,
}

impl RaftDriver {
    fn new(context: Rc<NodeContext>, loaded: Loaded, is_new_system: bool) -> RaftDriver {
        let now = context.now();
        let seed = rand::thread_rng().gen();
        let mut raft = RaftNode::new(loaded.identity.id, loaded.saved, timing::RAFT, now, seed);
        raft.set_snapshot_check(ControlState::is_snapshot_readable);
        let incarnation = Incarnation(rand::thread_rng().gen());
        RaftDriver {
            context,
            raft,
            state: loaded.state,
            storage: loaded.storage,
            joined_cluster: loaded.identity.cluster,
            is_new_system,
            writes: WriteProgress::default(),
            proposals: HashMap::new(),
            reads: HashMap::new(),
            last_read_token: 0,
            calls: PendingCalls::new(incarnation, c::COMMAND_TIMEOUT_MS),
            repairs: PendingCalls::new(incarnation, c::CONTACT_TIMEOUT_MS),
            last_command: 0,
            recent_commands: RecentCommands::default(),
            settled: None,
            appointed: 0,
            last_sent_update: None,
            started_at: now,
            asked_peers_at: 0,
            is_repaired: false,
            storage_failing: false,
            in_contact: true,
            membership_pending: false,
            role: Role::Follower,
            upstream_selector: UpstreamSelector::default(),
            reply_addresses: ReplyAddresses::default(),
        }
    }

    fn schedule_tick(&self, actor: &mut Context<Self>) {
        // A node that does not vote and is current has no timers to wait for.
        let is_idle = self.storage.is_none() && self.context.status.get().is_current;
        let wait = if is_idle {
            c::CONTACT_TIMEOUT_MS
        } else {
            let due = self.raft.next_tick_at().saturating_sub(self.context.now());
            due.clamp(TICK_MS.0, TICK_MS.1)
        };
        actor.run_later(Duration::from_millis(wait), |driver, actor| {
            let now = driver.context.now();
            driver.check_storage(now);
            if !driver.context.status.get().is_current {
                driver.select_upstream(now);
            }
            driver.raft.tick(now);
            driver.flush();
            driver.schedule_tick(actor);
        });
    }

    /// Performs all work that Raft has ready.
    pub(super) fn flush(&mut self) {
        if self.raft.role() != self.role {
            self.role = self.raft.role();
            log::debug!("event=role role={:?} term={}", self.role, self.raft.term());
        }
        if self.raft.is_leader() && !self.context.status.get().is_leader {
            // Learners are set now so that they hear from the new leader without delay.
            self.raft.set_learners(&self.learners());
        }
        while self.flush_once() || self.continue_membership_change() {}
        self.compact_log();
        self.publish();
    }

    /// Performs the work that is ready now. Returns whether this may have produced more work.
    fn flush_once(&mut self) -> bool {
        let ready = self.raft.take_ready();
        self.send_raft(ready.messages);
        let last = self.raft.last_position();
        let persisted = self.write(ready.write, ready.persisted_messages, last);
        if let Some(snapshot) = ready.snapshot {
            self.install(&snapshot);
        }
        let is_idle = ready.committed_entries.is_empty() && ready.read_states.is_empty();
        for entry in ready.committed_entries {
            self.apply(&entry);
        }
        for read in ready.read_states {
            if let Some(reader) = self.reads.remove(&read.token) {
                let _ = reader.send(read.confirmed);
            }
        }
        self.send_persisted(persisted);
        !is_idle
    }

    fn install(&mut self, snapshot: &Snapshot) {
        // Raft rejects unreadable snapshots before they get here.
        if let Ok(state) = ControlState::from_snapshot(snapshot.index, &snapshot.data) {
            if state.index > self.state.index {
                self.replace_state(state, "snapshot");
            }
        }
        self.raft.on_applied(self.state.index);
    }

    /// Replaces the control state with another copy.
    pub(super) fn replace_state(&mut self, state: ControlState, source: &'static str) {
        let before = std::mem::replace(&mut self.state, state);
        log_changes(&before, &self.state, source);
        self.context.state.set(self.state.clone());
    }

    fn apply(&mut self, entry: &raft::Entry) {
        let mut outcome = None;
        if entry.entry_type == EntryType::Command as i32 {
            let before = self.context.state.get();
            outcome = Some(self.state.apply(entry.index, &entry.data));
            log_changes(&before, &self.state, "log");
        } else {
            self.state.index = self.state.index.max(entry.index);
        }
        self.context.state.set(self.state.clone());
        self.raft.on_applied(entry.index);
        if let Some(proposal) = self.proposals.remove(&entry.index) {
            // The entry at this index may be from another leader.
            let outcome = outcome.filter(|_| proposal.term == entry.term);
            proposal.complete(&outcome.map(|outcome| ProposalResult {
                outcome,
                index: entry.index,
            }));
        }
    }

    fn compact_log(&mut self) {
        let max_log_bytes = c::LOG_MAX_BYTES.max(self.raft.snapshot_bytes());
        if self.raft.log_len() > c::LOG_MAX_ENTRIES || self.raft.log_bytes() > max_log_bytes {
            // Only voters send snapshots to other nodes; on other nodes a snapshot would use
            // memory and time without need.
            let is_voter = self.storage.is_some();
            let image = is_voter.then(|| self.state.to_snapshot());
            self.raft.compact(image.unwrap_or_default());
        }
    }
}

/// Logs the configuration version and the evacuations in force, with the log index, if they
/// have changed.
fn log_changes(before: &ControlState, now: &ControlState, source: &'static str) {
    let (version, index) = (now.version(), now.index);
    if version != before.version() {
        log::info!("event=configuration version={version} index={index} source={source}");
    }
    if now.evacuated == before.evacuated {
        return;
    }
    let zones: BTreeSet<&String> = before.evacuated.keys().chain(now.evacuated.keys()).collect();
    for zone in zones {
        let count = |state: &ControlState| state.evacuated.get(zone).copied().unwrap_or(0);
        let (was, is) = (count(before), count(now));
        if was != is {
            log::info!("event=evacuation zone={zone} in_force={is} was={was} index={index} source={source}");
        }
    }
}

impl Actor for RaftDriver {
    type Context = Context<Self>;

    fn started(&mut self, actor: &mut Self::Context) {
        actor.set_mailbox_capacity(MAILBOX_CAPACITY);
        let interval = Duration::from_millis(MAINTENANCE_INTERVAL_MS);
        actor.run_interval(interval, |driver, _| driver.maintain());
        self.schedule_tick(actor);
        self.maintain();
        // Connects to the other voters before an election needs the connections. It is repeated
        // because voters that start at the same time may not listen yet.
        for pause in (0..c::ELECTION_TIMEOUT_MS).step_by(c::COMMAND_RETRY_MS as usize) {
            actor.run_later(Duration::from_millis(pause), |driver, _| {
                driver.connect_to_voters()
            });
        }
    }
}

impl Handler<Propose> for RaftDriver {
    type Result = ResponseFuture<Option<Outcome>>;
    fn handle(&mut self, Propose(kind): Propose, _: &mut Self::Context) -> Self::Result {
        let result = self.propose(kind, None);
        Box::pin(async move { result.await.ok().flatten().map(|s| s.outcome) })
    }
}

impl Handler<GetLeaderSince> for RaftDriver {
    type Result = Option<u64>;
    fn handle(&mut self, _: GetLeaderSince, _: &mut Self::Context) -> Option<u64> {
        let holds = self.raft.holds_lease(self.context.now());
        (holds && !self.context.is_shutting_down.get()).then(|| self.raft.leader_since())
    }
}

impl Handler<AnnounceShutdown> for RaftDriver {
    type Result = bool;
    fn handle(&mut self, _: AnnounceShutdown, _: &mut Self::Context) -> bool {
        self.announce_shutdown()
    }
}

impl Handler<StorageEventReceived> for RaftDriver {
    type Result = ();
    fn handle(&mut self, StorageEventReceived(event): StorageEventReceived, _: &mut Self::Context) {
        match event {
            StorageEvent::Persisted(number) => self.on_persisted(number),
            StorageEvent::Failed(reason) => self.on_storage_failure(&reason),
        }
        self.flush();
    }
}
