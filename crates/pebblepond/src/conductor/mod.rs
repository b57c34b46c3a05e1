//! The owner of the control state: drives the agreement, the disk and the
//! orders of the operator.

mod orders;
mod rollouts;
mod status;
mod tending;

pub use orders::{Behind, Take};

use crate::kernel::{House, Plugin, Standing};
use crate::lobby::{Lobby, SayOfMe};
use crate::post::{Delivered, Post, Send};
use crate::vault::{Identity, Opened, Vault, Word};
use actix::prelude::*;
use config::constants as c;
use control_state::{ControlState, Outcome};
use orders::{answer, carry_out, NOT_LEADER};
use prost::Message as _;
use protocol::*;
use protocol::{CallId, Incarnation, PendingCalls};
use raft::{Config, EntryType, LogPosition, RaftNode, Role, Snapshot, StorageWrite, UpstreamSelector};
use rand::Rng;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;

inventory::submit! { Plugin { name: "conductor", order: 40, start } }

fn start(house: &Rc<House>) -> Result<(), String> {
    let settings = house.settings.get();
    let (words_in, mut words) = tokio::sync::mpsc::unbounded_channel();
    let (identity, saved, stage, empty, vault) = match &settings.own_entity.data_directory {
        Some(folder) => {
            let opened = Vault::open(folder, words_in)?;
            if let Some(why) = &opened.damage {
                log::error!(
                    "event=store_damaged folder={folder} why=\"{why}\": set aside as prompter.redb.damaged, joining as a new node"
                );
            }
            let Opened {
                identity,
                saved,
                stage,
                empty,
                vault,
                ..
            } = opened;
            (identity, saved, stage, empty, Some(vault))
        }
        None => {
            let id = rand::thread_rng().gen_range(1..u64::MAX);
            (
                Identity { id, cluster: 0 },
                raft::PersistentState::default(),
                ControlState::default(),
                true,
                None,
            )
        }
    };
    let fresh = empty && vault.is_some() && settings.own_entity.initial_start;
    log::info!(
        "event=identity id={:x} cluster={:x} disk={} empty={empty}",
        identity.id,
        identity.cluster,
        vault.is_some()
    );
    let timing = Config {
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
    let mut raft = RaftNode::new(identity.id, saved, timing, house.now(), rand::thread_rng().gen());
    raft.set_snapshot_check(ControlState::is_snapshot_readable);
    let mut standing = Standing {
        id: identity.id,
        cluster: identity.cluster,
        ..Default::default()
    };
    standing.term = raft.term();
    house.standing.set(standing);
    house.stage.set(stage.clone());
    let life = Incarnation(rand::thread_rng().gen());
    let conductor = Conductor {
        house: house.clone(),
        raft,
        stage,
        vault,
        fresh,
        written: 0,
        done: 0,
        waiting: VecDeque::new(),
        written_at: 0,
        proposals: HashMap::new(),
        reads: HashMap::new(),
        last_read: 0,
        calls: PendingCalls::new(life, c::COMMAND_TIMEOUT_MS),
        mends: PendingCalls::new(life, c::CONTACT_TIMEOUT_MS),
        last_order: 0,
        orders_seen: BTreeMap::new(),
        appoints: 0,
        said: None,
        started: house.now(),
        asked_peers: 0,
        mended: false,
        in_trouble: false,
        in_contact: true,
        roll_under_way: false,
        role: Role::Follower,
        following: UpstreamSelector::default(),
        introduced: HashMap::new(),
    }
    .start();
    house.put(conductor.clone());
    actix_rt::spawn(async move {
        while let Some(word) = words.recv().await {
            conductor.do_send(FromVault(word));
        }
    });
    Ok(())
}

#[derive(Message)]
#[rtype(result = "()")]
struct FromVault(Word);

/// Puts a change into the log; the outcome once it is applied, or `None` if
/// that failed or is not known.
#[derive(Message)]
#[rtype(result = "Option<Outcome>")]
pub struct Propose(pub ChangeKind);

/// Whether the duties of the leader may be done now, and since when it leads.
#[derive(Message)]
#[rtype(result = "Option<u64>")]
pub struct Lease;

/// This node is about to end: leadership is passed on, and the others are told. The
/// answer says whether they go on with all that this node holds; asked until they do.
#[derive(Message)]
#[rtype(result = "bool")]
pub struct Leave;

/// What waits for a write: its number, messages, and the last entry and its term.
type Held = (u64, Vec<raft::Message>, LogPosition);
/// Nodes kept that have introduced themselves, nodes.
const INTRODUCED_KEPT: usize = 256;
type Waiter = oneshot::Sender<orders::Settled>;

/// A change of this leader that waits in the log.
struct Proposal {
    term: u64,
    /// Of a configuration order, so that the same order sent again joins it.
    key: Option<ConfigurationKey>,
    /// Of an order without a base.
    tag: Option<CommandTag>,
    waiters: Vec<Waiter>,
}

pub struct Conductor {
    house: Rc<House>,
    raft: RaftNode,
    stage: ControlState,
    vault: Option<Vault>,
    /// Empty at the first start of the whole system.
    fresh: bool,
    written: u64,
    done: u64,
    /// Messages and the last entry that wait for a write.
    waiting: VecDeque<Held>,
    written_at: u64,
    proposals: HashMap<u64, Proposal>,
    reads: HashMap<u64, oneshot::Sender<bool>>,
    last_read: u64,
    /// Calls passed on, by the node asked.
    calls: PendingCalls<u64, oneshot::Sender<CommandResponse>>,
    /// Peers asked for what this copy lacks, and the digests that they were sent.
    mends: PendingCalls<u64, RangeDigests>,
    /// The last number given to an order that reached this process.
    last_order: u64,
    /// When each order of the ledger was first seen here.
    orders_seen: BTreeMap<u64, u64>,
    appoints: u64,
    said: Option<(u64, u64, bool, u64, bool)>,
    started: u64,
    asked_peers: u64,
    mended: bool,
    in_trouble: bool,
    /// Whether the core was heard of lately, as the log was last told.
    in_contact: bool,
    /// A change of the roll is on its way.
    roll_under_way: bool,
    role: Role,
    /// Which voter this node follows, if it has no disk.
    following: UpstreamSelector,
    /// Where nodes can be answered that the membership may not show yet.
    introduced: HashMap<u64, String>,
}

impl Actor for Conductor {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        ctx.set_mailbox_capacity(1024);
        ctx.run_interval(Duration::from_millis(300), |me, _| me.look_around());
        self.schedule(ctx);
        self.look_around();
        // Connections to the other voters are there before an election needs
        // them; those that start at the same moment may not listen yet.
        for pause in (0..c::ELECTION_TIMEOUT_MS).step_by(c::COMMAND_RETRY_MS as usize) {
            ctx.run_later(Duration::from_millis(pause), |me, _| me.greet());
        }
    }
}

impl Conductor {
    fn schedule(&self, ctx: &mut Context<Self>) {
        // Who cannot vote and knows where it stands has nothing to wait for here.
        let idle = self.vault.is_none() && self.house.standing.get().current;
        let wait = if idle {
            c::CONTACT_TIMEOUT_MS
        } else {
            self.raft
                .next_tick_at()
                .saturating_sub(self.house.now())
                .clamp(10, 200)
        };
        ctx.run_later(Duration::from_millis(wait), |me, ctx| {
            let now = me.house.now();
            me.watch_disk(now);
            if !me.house.standing.get().current {
                me.choose_source(now);
            }
            me.raft.tick(now);
            me.flush();
            me.schedule(ctx);
        });
    }

    fn greet(&self) {
        let me = self.raft.id();
        for voter in self.raft.membership().voters.iter().filter(|v| v.id != me) {
            self.post(voter.address.clone(), Payload::Hello(true));
        }
    }

    fn post(&self, to: String, matter: Payload) {
        if let Some(post) = self.house.get::<Addr<Post>>() {
            post.do_send(Send { to, matter });
        }
    }

    fn address_of(&self, id: u64) -> Option<String> {
        let members = self.house.members.get();
        if let Some(m) = members.iter().find(|m| m.id == id) {
            return Some(m.address.clone());
        }
        self.raft
            .membership()
            .voters
            .iter()
            .find(|v| v.id == id)
            .map(|v| v.address.clone())
            .or_else(|| self.introduced.get(&id).cloned())
    }

    fn send_messages(&self, messages: Vec<raft::Message>) {
        for message in messages {
            if let Some(address) = self.address_of(message.to) {
                self.post(address, Payload::Raft(message.encode_to_vec()));
            }
        }
    }

    /// Carries out whatever the agreement wants done.
    fn flush(&mut self) {
        if self.raft.role() != self.role {
            self.role = self.raft.role();
            log::debug!("event=role role={:?} term={}", self.role, self.raft.term());
        }
        if self.raft.is_leader() && !self.house.standing.get().is_leader {
            // Whoever waits for a leader hears of it at once.
            self.raft.set_learners(&self.observers());
        }
        loop {
            let ready = self.raft.take_ready();
            self.send_messages(ready.messages);
            let last = self.raft.last_position();
            let answers = self.write(ready.write, ready.persisted_messages, last);
            if let Some(snapshot) = ready.snapshot {
                self.install(&snapshot);
            }
            let idle = ready.committed_entries.is_empty() && ready.read_states.is_empty();
            for entry in ready.committed_entries {
                self.apply(entry);
            }
            for read in ready.read_states {
                if let Some(reader) = self.reads.remove(&read.token) {
                    let _ = reader.send(read.confirmed);
                }
            }
            self.send_answers(answers);
            if idle && !self.tend_on() {
                break;
            }
        }
        let room = c::LOG_MAX_BYTES.max(self.raft.snapshot_bytes());
        let long = self.raft.log_len() > c::LOG_MAX_ENTRIES || self.raft.log_bytes() > room;
        if long {
            // Only voters pass the state on; for all others its image would cost
            // memory and time for nobody.
            let voter = self.vault.is_some();
            let image = voter.then(|| self.stage.to_snapshot());
            self.raft.compact(image.unwrap_or_default());
        }
        self.publish();
    }

    /// Hands a write to the disk; the messages that need not wait for one.
    fn write(
        &mut self,
        write: StorageWrite,
        after: Vec<raft::Message>,
        last: LogPosition,
    ) -> Vec<raft::Message> {
        let Some(vault) = &self.vault else {
            self.raft.on_persisted(last);
            return after;
        };
        if !write.is_empty() {
            if self.written == self.done {
                self.written_at = self.house.now();
            }
            self.written += 1;
            vault.write(self.written, write);
            self.waiting.push_back((self.written, after, last));
        } else if self.written == self.done {
            return after;
        } else if !after.is_empty() {
            self.waiting.push_back((self.written, after, last));
        }
        Vec::new()
    }

    /// Sends answers, with what has been applied by now: the leader need not wait for the
    /// next one to learn that a change is in force here.
    fn send_answers(&self, mut answers: Vec<raft::Message>) {
        self.raft.stamp_applied(&mut answers);
        self.send_messages(answers);
    }

    /// Takes a message of the agreement in.
    fn receive(&mut self, now: u64, from: u64, message: raft::Message) {
        let before = self.raft.unreadable_snapshots();
        self.raft.step(now, from, message);
        if self.raft.unreadable_snapshots() > before {
            self.house.counters.add("unreadable_snapshots");
            log::error!("event=snapshot_unreadable from={from:x}");
        }
        self.flush();
    }

    fn install(&mut self, snapshot: &Snapshot) {
        // The agreement takes none that cannot be read.
        if let Ok(stage) = ControlState::from_snapshot(snapshot.index, &snapshot.data) {
            if stage.index > self.stage.index {
                self.stage = stage;
                self.house.stage.set(self.stage.clone());
            }
        }
        self.raft.on_applied(self.stage.index);
    }

    fn apply(&mut self, entry: raft::Entry) {
        let mut outcome = None;
        if entry.entry_type == EntryType::Command as i32 {
            let before = self.stage.version();
            outcome = Some(self.stage.apply(entry.index, &entry.data));
            if self.stage.version() != before {
                log::info!(
                    "event=configuration version={} index={}",
                    self.stage.version(),
                    entry.index
                );
            }
        } else {
            self.stage.index = self.stage.index.max(entry.index);
        }
        self.house.stage.set(self.stage.clone());
        self.raft.on_applied(entry.index);
        if let Some(Proposal { term, waiters, .. }) = self.proposals.remove(&entry.index) {
            // Another leader's entry may have taken the place.
            let told = outcome.filter(|_| term == entry.term).map(|o| (o, entry.index));
            for waiter in waiters {
                let _ = waiter.send(told.clone());
            }
        }
    }

    fn publish(&mut self) {
        self.see_orders();
        let now = self.house.now();
        // Through a voter or from the leader itself; asking a voter does not count.
        let heard = match () {
            () if self.raft.holds_lease(now) => now,
            () if self.raft.is_leader() => self.house.contact.get(),
            () => self.raft.leader_heard_at(),
        };
        self.house.contact.set(heard);
        let before = self.house.standing.get();
        let now = Standing {
            id: self.raft.id(),
            cluster: before.cluster,
            term: self.raft.term(),
            leader: self.raft.leader_id(),
            is_leader: self.raft.is_leader(),
            current: before.current || self.mended || self.raft.is_current(),
        };
        if now.is_leader != before.is_leader {
            log::info!(
                "event={} term={}",
                if now.is_leader { "leads" } else { "leads_no_more" },
                now.term
            );
            if !now.is_leader {
                // Whether they will stand is not known here: no clear answer.
                self.proposals.clear();
            }
        }
        if now.current && !before.current {
            log::info!(
                "event=current index={} version={}",
                self.stage.index,
                self.stage.version()
            );
        }
        if now.leader != before.leader
            || now.current != before.current
            || now.term != before.term
            || now.is_leader != before.is_leader
        {
            self.house.standing.set(now);
        }
        self.say();
    }

    /// Tells the membership what others should know of this node.
    fn say(&mut self) {
        let standing = self.house.standing.get();
        let say = (
            standing.id,
            standing.cluster,
            self.house.is_open(),
            self.appoints,
            self.fresh,
        );
        if self.said == Some(say) {
            return;
        }
        if let Some(lobby) = self.house.get::<Addr<Lobby>>() {
            self.said = Some(say);
            lobby.do_send(SayOfMe {
                id: say.0,
                cluster: say.1,
                ready: say.2,
                appoints: say.3,
                fresh: say.4,
            });
        }
    }

    fn join_cluster(&mut self, cluster: u64) {
        let standing = self.house.standing.get();
        if standing.cluster != 0 || cluster == 0 {
            return;
        }
        self.house.standing.set(Standing {
            cluster,
            ..(*standing).clone()
        });
        self.fresh = false;
        if let Some(vault) = &self.vault {
            vault.set_cluster(cluster);
        }
        log::info!("event=joins cluster={cluster:x}");
    }
}

impl Handler<Propose> for Conductor {
    type Result = ResponseFuture<Option<Outcome>>;
    fn handle(&mut self, Propose(kind): Propose, _: &mut Self::Context) -> Self::Result {
        let rx = self.propose(kind, None);
        Box::pin(async move { rx.await.ok().flatten().map(|(outcome, _)| outcome) })
    }
}

impl Handler<Lease> for Conductor {
    type Result = Option<u64>;
    fn handle(&mut self, _: Lease, _: &mut Self::Context) -> Option<u64> {
        let holds = self.raft.holds_lease(self.house.now());
        (holds && !self.house.leaving.get()).then(|| self.raft.leader_since())
    }
}

impl Handler<Leave> for Conductor {
    type Result = bool;
    fn handle(&mut self, _: Leave, _: &mut Self::Context) -> bool {
        self.leave()
    }
}

impl Handler<FromVault> for Conductor {
    type Result = ();
    fn handle(&mut self, FromVault(word): FromVault, _: &mut Self::Context) {
        match word {
            Word::Done(seq) => {
                self.done = seq;
                self.written_at = self.house.now();
                while self.waiting.front().is_some_and(|(s, _, _)| *s <= seq) {
                    if let Some((_, after, last)) = self.waiting.pop_front() {
                        self.send_answers(after);
                        self.raft.on_persisted(last);
                    }
                }
                self.watch_disk(self.house.now());
            }
            Word::Trouble(what) => self.trouble(&what),
        }
        self.flush();
    }
}

impl Handler<Delivered> for Conductor {
    type Result = ();
    fn handle(&mut self, Delivered(letter): Delivered, ctx: &mut Self::Context) {
        let now = self.house.now();
        match letter.payload {
            Some(Payload::Raft(bytes)) => {
                let Ok(message) = raft::Message::decode(bytes.as_slice()) else {
                    self.house.counters.add("malformed_frames");
                    return;
                };
                self.join_cluster(letter.cluster);
                if !letter.reply_to.is_empty() {
                    if self.introduced.len() >= INTRODUCED_KEPT {
                        self.introduced.clear();
                    }
                    self.introduced.insert(letter.from, letter.reply_to);
                }
                self.receive(now, letter.from, message);
            }
            Some(Payload::Request(call)) => {
                let CommandRequest {
                    number: id,
                    incarnation: life,
                    command: order,
                    tag,
                } = *call;
                let Some(order) = order else { return };
                let me = ctx.address();
                let leads = self.raft.is_leader() && self.silent_ms() < c::ELECTION_TIMEOUT_MS;
                let house = self.house.clone();
                actix_rt::spawn(async move {
                    let done = if leads {
                        carry_out(me, order, tag).await
                    } else {
                        answer(NOT_LEADER, "")
                    };
                    if let Some(post) = house.get::<Addr<Post>>() {
                        let matter = Payload::Response(CommandResponse {
                            number: id,
                            incarnation: life,
                            ..done
                        });
                        post.do_send(Send {
                            to: letter.reply_to,
                            matter,
                        });
                    }
                });
            }
            Some(Payload::Response(answer)) => {
                let call = CallId {
                    incarnation: Incarnation(answer.incarnation),
                    number: answer.number,
                };
                match self.calls.finish(&letter.from, call, self.house.now()) {
                    Some(tx) => {
                        let _ = tx.send(answer);
                    }
                    None => self.house.counters.add("answers_unknown"),
                }
            }
            Some(Payload::Digests(theirs)) if self.house.standing.get().current => {
                if let Some(mend) = anti_entropy::mend_for(&self.stage, &theirs) {
                    self.post(letter.reply_to, Payload::Repair(Box::new(mend)));
                }
            }
            Some(Payload::Repair(mend)) => {
                let call = CallId {
                    incarnation: Incarnation(mend.incarnation),
                    number: mend.number,
                };
                let Some(asked) = self.mends.finish(&letter.from, call, self.house.now()) else {
                    self.house.counters.add("answers_unknown");
                    return;
                };
                if self.house.standing.get().current && !self.mended {
                    return;
                }
                if let Some(stage) = anti_entropy::mended_since(&self.stage, &asked, &mend) {
                    log::info!("event=mended index={} ranges={}", mend.index, mend.ranges.len());
                    self.house.counters.add("mended_from_peers");
                    self.stage = stage;
                    self.house.stage.set(self.stage.clone());
                    self.mended = true;
                    self.publish();
                }
            }
            _ => {}
        }
    }
}
