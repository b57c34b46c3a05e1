//! The owner of Raft, the store and the control state.

use super::loaded::Loaded;
use super::peers::{FromPeer, Introduced};
use super::persistence::Writes;
use super::proposals::{Proposal, Settled};
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

/// Messages that wait for the driver, messages.
const MAILBOX: usize = 1024;
/// Pause between two rounds of maintenance, ms.
const MAINTENANCE_INTERVAL_MS: u64 = 300;
/// Shortest and longest pause between two ticks of Raft, ms.
const TICK_MS: (u64, u64) = (10, 200);

fn start(context: &Rc<NodeContext>) -> Result<(), StartError> {
    let settings = context.settings.get();
    let (events, storage_events) = mpsc::unbounded_channel();
    let loaded = match &settings.own_entity.data_directory {
        Some(folder) => Loaded::from_disk(folder, events)?,
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
    context.put(driver.clone());
    let kinds = [
        PayloadKind::Raft,
        PayloadKind::Request,
        PayloadKind::Response,
        PayloadKind::Digests,
        PayloadKind::Repair,
    ];
    let handler = driver.clone();
    context
        .payload_handlers
        .register(&kinds, move |message| handler.do_send(FromPeer(message)));
    actix_rt::spawn(forward_events(storage_events, driver));
    Ok(())
}

async fn forward_events(mut events: mpsc::UnboundedReceiver<StorageEvent>, driver: Addr<RaftDriver>) {
    while let Some(event) = events.recv().await {
        driver.do_send(FromStorage(event));
    }
}

#[derive(Message)]
#[rtype(result = "()")]
struct FromStorage(StorageEvent);

/// Puts a change into the log; the outcome once it is applied, or `None` if that failed or is
/// not known.
#[derive(Message)]
#[rtype(result = "Option<Outcome>")]
pub struct Propose(pub ChangeKind);

/// Whether the duties of the leader may be done now, and since when it leads, ms.
#[derive(Message)]
#[rtype(result = "Option<u64>")]
pub struct LeaderLease;

/// This node is about to end: leadership is transferred, and the others are told. The answer
/// says whether they go on with all that this node holds; asked until they do.
#[derive(Message)]
#[rtype(result = "bool")]
pub struct AnnounceShutdown;

/// The owner of Raft, the store and the control state.
pub struct RaftDriver {
    pub(super) context: Rc<NodeContext>,
    pub(super) raft: RaftNode,
    pub(super) state: ControlState,
    pub(super) storage: Option<Storage>,
    pub(super) joined_cluster: u64,
    /// The disk was empty at the first start of the whole system.
    pub(super) is_new_system: bool,
    pub(super) writes: Writes,
    pub(super) proposals: HashMap<u64, Proposal>,
    /// Reads that wait for a round of heartbeats, by token.
    pub(super) reads: HashMap<u64, oneshot::Sender<bool>>,
    pub(super) last_read_token: u64,
    /// Commands that were passed on, by the node that was asked.
    pub(super) calls: PendingCalls<u64, oneshot::Sender<CommandResponse>>,
    /// Peers asked for what this copy lacks, and the digests that they were sent.
    pub(super) repairs: PendingCalls<u64, RangeDigests>,
    /// The last number given to a command that reached this process.
    pub(super) last_command: u64,
    /// When the commands of the history were first seen here.
    pub(super) recent_commands: RecentCommands,
    /// Whom this node has chosen to bootstrap the cluster; 0 for nobody.
    pub(super) appointed: u64,
    /// What others were last told of this node.
    pub(super) told: Option<UpdateOwnMember>,
    pub(super) started_at: u64,
    pub(super) asked_peers_at: u64,
    /// The state was taken from a peer, without Raft.
    pub(super) is_repaired: bool,
    pub(super) storage_failing: bool,
    /// Whether a majority was heard of lately, as the log was last told.
    pub(super) in_contact: bool,
    /// A change of the membership is not committed yet.
    pub(super) membership_pending: bool,
    role: Role,
    /// Which voter this node takes the log from, if it has no disk.
    pub(super) upstream_selector: UpstreamSelector,
    pub(super) introduced: Introduced,
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
            writes: Writes::default(),
            proposals: HashMap::new(),
            reads: HashMap::new(),
            last_read_token: 0,
            calls: PendingCalls::new(incarnation, c::COMMAND_TIMEOUT_MS),
            repairs: PendingCalls::new(incarnation, c::CONTACT_TIMEOUT_MS),
            last_command: 0,
            recent_commands: RecentCommands::default(),
            appointed: 0,
            told: None,
            started_at: now,
            asked_peers_at: 0,
            is_repaired: false,
            storage_failing: false,
            in_contact: true,
            membership_pending: false,
            role: Role::Follower,
            upstream_selector: UpstreamSelector::default(),
            introduced: Introduced::default(),
        }
    }

    fn schedule_tick(&self, actor: &mut Context<Self>) {
        // Who cannot vote and knows where it stands has nothing to wait for here.
        let is_idle = self.storage.is_none() && self.context.status.get().is_current;
        let wait = if is_idle {
            c::CONTACT_TIMEOUT_MS
        } else {
            let due = self.raft.next_tick_at().saturating_sub(self.context.now());
            due.clamp(TICK_MS.0, TICK_MS.1)
        };
        actor.run_later(Duration::from_millis(wait), |driver, actor| {
            let now = driver.context.now();
            driver.watch_storage(now);
            if !driver.context.status.get().is_current {
                driver.select_upstream(now);
            }
            driver.raft.tick(now);
            driver.flush();
            driver.schedule_tick(actor);
        });
    }

    /// Carries out whatever Raft wants done.
    pub(super) fn flush(&mut self) {
        if self.raft.role() != self.role {
            self.role = self.raft.role();
            log::debug!("event=role role={:?} term={}", self.role, self.raft.term());
        }
        if self.raft.is_leader() && !self.context.status.get().is_leader {
            // Whoever waits for a leader hears of it at once.
            self.raft.set_learners(&self.learners());
        }
        while self.flush_once() || self.continue_membership_change() {}
        self.compact_log();
        self.publish();
    }

    /// Carries out what is ready now; whether more may have become so.
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
        // Raft installs none that cannot be read.
        if let Ok(state) = ControlState::from_snapshot(snapshot.index, &snapshot.data) {
            if state.index > self.state.index {
                self.replace_state(state, "snapshot");
            }
        }
        self.raft.on_applied(self.state.index);
    }

    /// Puts another copy in the place of this one.
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
            // Another leader's entry may have taken the place.
            let outcome = outcome.filter(|_| proposal.term == entry.term);
            proposal.settle(&outcome.map(|outcome| Settled {
                outcome,
                index: entry.index,
            }));
        }
    }

    fn compact_log(&mut self) {
        let most_bytes = c::LOG_MAX_BYTES.max(self.raft.snapshot_bytes());
        if self.raft.log_len() > c::LOG_MAX_ENTRIES || self.raft.log_bytes() > most_bytes {
            // Only voters pass the state on; for all others its image would cost memory and
            // time for nobody.
            let is_voter = self.storage.is_some();
            let image = is_voter.then(|| self.state.to_snapshot());
            self.raft.compact(image.unwrap_or_default());
        }
    }
}

/// Says which configuration and which evacuations are in force now, if that has changed: what
/// this node goes by from here on, and at which index of the log.
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
        actor.set_mailbox_capacity(MAILBOX);
        let interval = Duration::from_millis(MAINTENANCE_INTERVAL_MS);
        actor.run_interval(interval, |driver, _| driver.maintain());
        self.schedule_tick(actor);
        self.maintain();
        // Connections to the other voters are there before an election needs them; those that
        // start at the same moment may not listen yet.
        for pause in (0..c::ELECTION_TIMEOUT_MS).step_by(c::COMMAND_RETRY_MS as usize) {
            actor.run_later(Duration::from_millis(pause), |driver, _| driver.greet_voters());
        }
    }
}

impl Handler<Propose> for RaftDriver {
    type Result = ResponseFuture<Option<Outcome>>;
    fn handle(&mut self, Propose(kind): Propose, _: &mut Self::Context) -> Self::Result {
        let settled = self.propose(kind, None);
        Box::pin(async move { settled.await.ok().flatten().map(|s| s.outcome) })
    }
}

impl Handler<LeaderLease> for RaftDriver {
    type Result = Option<u64>;
    fn handle(&mut self, _: LeaderLease, _: &mut Self::Context) -> Option<u64> {
        let holds = self.raft.holds_lease(self.context.now());
        (holds && !self.context.shutting_down.get()).then(|| self.raft.leader_since())
    }
}

impl Handler<AnnounceShutdown> for RaftDriver {
    type Result = bool;
    fn handle(&mut self, _: AnnounceShutdown, _: &mut Self::Context) -> bool {
        self.announce_shutdown()
    }
}

impl Handler<FromStorage> for RaftDriver {
    type Result = ();
    fn handle(&mut self, FromStorage(event): FromStorage, _: &mut Self::Context) {
        match event {
            StorageEvent::Persisted(number) => self.on_persisted(number),
            StorageEvent::Failed(what) => self.on_storage_failure(&what),
        }
        self.flush();
    }
}
