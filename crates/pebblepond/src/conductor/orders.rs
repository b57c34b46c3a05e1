//! Orders of the operator: taken on any node, carried out by the leader.

use super::Proposal;
use super::{rollouts, Conductor};
use actix::prelude::*;
use config::constants as c;
use control_state::{configuration_key, Confirmation, Judgement, Outcome};
use protocol::*;
use raft::{is_durable, tolerates_faults, LogPosition};
use rand::seq::SliceRandom;
use std::collections::BTreeSet;
use std::time::Duration;
use tokio::sync::oneshot;

/// An order of the operator, from this node's control.
#[derive(Message)]
#[rtype(result = "CommandResponse")]
pub struct Take(pub Command);

/// Nodes named by a node out of contact, nodes.
const NAMED: usize = 3;

/// Pause between two looks at how firmly an order stands, ms.
const ACK_EVERY_MS: u64 = 10;

/// What a change came to, and its index in the log.
pub(super) type Settled = Option<(Outcome, u64)>;

impl Conductor {
    /// Puts a change into the log. A configuration order that is on its way already is
    /// joined: its entry comes to the same, whoever asked.
    pub(super) fn propose(
        &mut self,
        kind: ChangeKind,
        tag: Option<CommandTag>,
    ) -> oneshot::Receiver<Settled> {
        let (tx, rx) = oneshot::channel();
        let key = match &kind {
            ChangeKind::Replace(order) => Some(configuration_key(order)),
            _ => None,
        };
        let under_way = |(_, p): &(&u64, &Proposal)| key.is_some() && p.key == key;
        let joined = self.proposals.iter().find(under_way).map(|(index, _)| *index);
        if let Some(p) = joined.and_then(|index| self.proposals.get_mut(&index)) {
            p.waiters.push(tx);
            return rx;
        }
        if self.raft.is_established_leader() {
            if let Some(LogPosition { index, term }) = self.raft.propose(Change::encode_tagged(
                self.stage.compact_for_log(kind),
                tag.clone(),
            )) {
                let proposal = Proposal {
                    term,
                    key,
                    tag,
                    waiters: vec![tx],
                };
                self.proposals.insert(index, proposal);
                self.flush();
            }
        }
        rx
    }

    /// Puts an order into the log; one that is taken for one sent again says so there.
    fn propose_order(&mut self, kind: ChangeKind, tag: Option<CommandTag>) -> oneshot::Receiver<Settled> {
        let tag = tag.map(|tag| CommandTag {
            repeats: self.resent(&tag).unwrap_or(0),
            ..tag
        });
        self.propose(kind, tag)
    }

    /// The index of the order that this one most likely repeats: the newest on its
    /// subject, if it was the same and came a moment ago as far as this node has seen.
    /// What is byte for byte alike cannot be told apart any better; the log has the
    /// last word, and holds it for all leaders.
    fn resent(&self, tag: &CommandTag) -> Option<u64> {
        let now = self.house.now();
        let under_way = self.proposals.iter();
        let under_way = under_way.filter_map(|(index, p)| Some((*index, p.tag.as_ref()?)));
        let recent = |index: u64| {
            let seen = self.orders_seen.get(&index);
            seen.is_some_and(|at| now.saturating_sub(*at) < c::REPEATED_COMMAND_MS)
        };
        self.stage.command_history.recent_like(tag, under_way, recent)
    }

    /// Notes when the orders of the ledger were first seen here.
    pub(super) fn see_orders(&mut self) {
        let now = self.house.now();
        let known: BTreeSet<u64> = self.stage.command_history.tagged_indexes().collect();
        self.orders_seen.retain(|index, _| known.contains(index));
        for index in known {
            self.orders_seen.entry(index).or_insert(now);
        }
    }

    /// How long this node has had no word of a majority of the core, ms, by the clock
    /// at this moment: after a pause of the process the first thing that runs may be an
    /// order.
    pub(super) fn silent_ms(&self) -> u64 {
        let now = self.house.now();
        now.saturating_sub(self.raft.majority_heard_at(now))
    }

    /// What a node out of contact says at once: it names nodes that may know better.
    fn refer(&self) -> CommandResponse {
        let port = self
            .house
            .settings
            .get()
            .network
            .listen_points
            .control
            .map_or(0, |a| a.port());
        let control = |address: &str| {
            let ip = address.rsplit_once(':').map_or(address, |(ip, _)| ip);
            format!("{ip}:{port}")
        };
        let me = self.raft.id();
        let members = self.house.members.get();
        let able = members.iter().filter(|m| m.id != me && m.is_alive() && m.ready);
        let mut nodes: Vec<String> = able.map(|m| control(&m.address)).collect();
        nodes.shuffle(&mut rand::thread_rng());
        nodes.truncate(NAMED);
        // Nobody who could be in contact is in reach from here.
        let status = if nodes.is_empty() { 503 } else { 307 };
        if nodes.is_empty() {
            let voters = self.raft.membership().voters.iter().filter(|v| v.id != me);
            nodes.extend(voters.map(|v| control(&v.address)));
        }
        let text = format!("no word of a majority for {} ms", self.silent_ms());
        let body = serde_json::json!({ "ErrorText": text, "Nodes": nodes });
        answer(status, body.to_string())
    }

    pub(super) fn read(&mut self) -> oneshot::Receiver<bool> {
        let (tx, rx) = oneshot::channel();
        self.last_read += 1;
        self.reads.insert(self.last_read, tx);
        self.raft.request_read(self.last_read);
        self.flush();
        rx
    }

    /// Nodes in contact that have not applied up to an index yet.
    pub(super) fn behind(&self, index: u64) -> usize {
        let now = self.house.now();
        let members = self.house.members.get();
        members
            .iter()
            .filter(|m| m.is_alive())
            .filter_map(|m| self.raft.progress(m.id))
            .filter(|p| now.saturating_sub(p.last_heard) < c::CONTACT_TIMEOUT_MS && p.applied < index)
            .count()
    }
}

pub(super) fn answer(status: u32, body: impl Into<Vec<u8>>) -> CommandResponse {
    CommandResponse {
        status,
        body: body.into(),
        ..Default::default()
    }
}

pub(super) fn refusal(status: u32, text: &str) -> CommandResponse {
    answer(status, serde_json::json!({ "ErrorText": text }).to_string())
}

/// Status of an answer that says: this node does not lead.
pub(super) const NOT_LEADER: u32 = 0;

/// Carries an order out on the leader.
pub(super) async fn carry_out(
    conductor: Addr<Conductor>,
    order: Command,
    tag: Option<CommandTag>,
) -> CommandResponse {
    match order {
        Command::Status(_) => match conductor.send(Ask(Question::Status)).await {
            Ok(body) => answer(200, body),
            Err(_) => refusal(503, "ending"),
        },
        Command::ReadConfiguration(_) => {
            if !is_newest(&conductor).await {
                return answer(NOT_LEADER, "");
            }
            match conductor.send(Ask(Question::Configuration)).await {
                Ok(body) if !body.is_empty() => answer(200, body),
                Ok(_) => refusal(404, "there is no configuration yet"),
                Err(_) => refusal(503, "ending"),
            }
        }
        Command::Replace(order) => configure(conductor, order).await,
        // The log holds what changes; what it comes to is worked out where it is applied.
        Command::Modify(modify) => {
            let order = ConfigurationCommand {
                base: modify.base,
                body: Vec::new(),
                modification: modify.body,
            };
            configure(conductor, order).await
        }
        Command::BeginRollout(order) => rollouts::begin(conductor, order, tag).await,
        Command::ReadRollout(service) => rollouts::read(conductor, Some(service)).await,
        Command::ReadRollouts(_) => rollouts::read(conductor, None).await,
        Command::ChangeRollout(change) => rollouts::steer(conductor, change, tag).await,
        Command::KillSwitch(switch) => settle(conductor, ChangeKind::KillSwitch(switch), tag).await,
        Command::Evacuate(e) => settle(conductor, ChangeKind::Evacuate(e), tag).await,
    }
}

/// Whether this node leads and its copy holds all that was ever acknowledged.
pub(super) async fn is_newest(conductor: &Addr<Conductor>) -> bool {
    let Ok(Some(rx)) = conductor.send(ReadBegin).await else {
        return false;
    };
    let good = tokio::time::timeout(Duration::from_millis(c::COMMAND_TIMEOUT_MS), rx).await;
    matches!(good, Ok(Ok(true)))
}

/// Carries out a configuration order. Whatever is refused or confirmed without a new
/// entry is said out of a copy that a majority has confirmed since the order came.
async fn configure(conductor: Addr<Conductor>, order: ConfigurationCommand) -> CommandResponse {
    let judge = |confirmation| JudgeOrder {
        order: order.clone(),
        confirmation,
    };
    let mut judged = conductor.send(judge(Confirmation::Unconfirmed)).await;
    if matches!(judged, Ok(Some(Ok(Judgement::Confirm)))) {
        if !is_newest(&conductor).await {
            return answer(NOT_LEADER, "");
        }
        judged = conductor.send(judge(Confirmation::Confirmed)).await;
    }
    match judged {
        Ok(Some(Ok(Judgement::Log))) => settle(conductor, ChangeKind::Replace(order), None).await,
        Ok(Some(Ok(Judgement::Final(outcome)))) => match refused(&outcome) {
            Some(answer) => answer,
            // Taken before: it stands at or below what is committed.
            None => match conductor.send(Committed).await {
                Ok(index) => acknowledge(&conductor, index).await,
                Err(_) => refusal(503, "ending"),
            },
        },
        Ok(Some(Err(answer))) => answer,
        _ => answer(NOT_LEADER, ""),
    }
}

/// Logs a change and waits until the nodes in contact have applied it.
pub(super) async fn settle(
    conductor: Addr<Conductor>,
    kind: ChangeKind,
    tag: Option<CommandTag>,
) -> CommandResponse {
    let (outcome, index) = match conductor.send(ProposeOrder(kind, tag)).await {
        Ok(Ok(Some(settled))) => settled,
        Ok(Err(answer)) => return answer,
        _ => return answer(NOT_LEADER, ""),
    };
    if let Some(answer) = refused(&outcome) {
        return answer;
    }
    acknowledge(&conductor, index).await
}

/// The acknowledgement of what stands at `index`: once it rests on copies that bear any
/// loss inside `Tolerance`, and nodes in contact have applied it or have had their time.
async fn acknowledge(conductor: &Addr<Conductor>, index: u64) -> CommandResponse {
    let mut waited = 0;
    while waited < c::COMMAND_TIMEOUT_MS {
        match conductor.send(HowFirm(index)).await {
            Ok(Stands::Yes) => return answer(200, "{}"),
            Ok(Stands::Spreading) if waited >= c::APPLY_WAIT_MS => return answer(200, "{}"),
            Ok(Stands::Spreading | Stands::TooFew) => {}
            // The next leader has it, and tells whoever asks again.
            Ok(Stands::Elsewhere) => return answer(NOT_LEADER, ""),
            Err(_) => return refusal(503, "ending"),
        }
        actix_rt::time::sleep(Duration::from_millis(ACK_EVERY_MS)).await;
        waited += ACK_EVERY_MS;
    }
    refusal(
        503,
        "taken, but on too few disks yet to bear the losses of Tolerance",
    )
}

/// How firmly what the log holds up to an index stands.
enum Stands {
    /// On copies that bear a loss, and applied by the nodes in contact.
    Yes,
    /// Not applied everywhere yet.
    Spreading,
    /// A loss inside `Tolerance` may take it, or the majority.
    TooFew,
    /// This node no longer leads.
    Elsewhere,
}

#[derive(Message)]
#[rtype(result = "Stands")]
struct HowFirm(u64);

impl Handler<HowFirm> for Conductor {
    type Result = MessageResult<HowFirm>;
    fn handle(&mut self, HowFirm(index): HowFirm, _: &mut Self::Context) -> Self::Result {
        let now = self.house.now();
        MessageResult(if !self.raft.is_established_leader() {
            Stands::Elsewhere
        } else if !is_durable(&self.raft, index, now, self.losses(), c::CONTACT_TIMEOUT_MS) {
            Stands::TooFew
        } else if self.behind(index) > 0 {
            Stands::Spreading
        } else {
            Stands::Yes
        })
    }
}

/// Puts an order into the log; the answer at once if no order can be taken now.
#[derive(Message)]
#[rtype(result = "Result<Settled, CommandResponse>")]
struct ProposeOrder(ChangeKind, Option<CommandTag>);

impl Handler<ProposeOrder> for Conductor {
    type Result = ResponseFuture<Result<Settled, CommandResponse>>;
    fn handle(&mut self, ProposeOrder(kind, tag): ProposeOrder, _: &mut Self::Context) -> Self::Result {
        if let Some(answer) = self.too_few() {
            return Box::pin(async { Err(answer) });
        }
        let rx = self.propose_order(kind, tag);
        Box::pin(async move { Ok(rx.await.ok().flatten()) })
    }
}

/// Whether an order is most likely one that was taken a moment ago.
#[derive(Message)]
#[rtype(result = "bool")]
pub(super) struct IsResent(pub Option<CommandTag>);

impl Handler<IsResent> for Conductor {
    type Result = bool;
    fn handle(&mut self, IsResent(tag): IsResent, _: &mut Self::Context) -> bool {
        tag.is_some_and(|tag| self.resent(&tag).is_some())
    }
}

/// The answer to an order whose outcome is not that it stands.
fn refused(outcome: &Outcome) -> Option<CommandResponse> {
    match outcome {
        Outcome::Applied | Outcome::AlreadyApplied => None,
        Outcome::Conflict(version) => Some(refusal(
            412,
            &format!("Base-Version is not the current version {version}"),
        )),
        Outcome::Invalid(fault) => Some(refusal(400, &fault.to_string())),
        Outcome::RolloutRejected(refused) => Some(rollouts::refused(refused)),
        Outcome::Undecidable => Some(refusal(
            503,
            "the order may have been judged, longer ago than is remembered",
        )),
    }
}

enum Question {
    Status,
    Configuration,
}

#[derive(Message)]
#[rtype(result = "Vec<u8>")]
struct Ask(Question);

impl Handler<Ask> for Conductor {
    type Result = Vec<u8>;
    fn handle(&mut self, Ask(question): Ask, _: &mut Self::Context) -> Vec<u8> {
        match question {
            Question::Status => self.status(),
            Question::Configuration => self.stage.configuration_body.to_vec(),
        }
    }
}

#[derive(Message)]
#[rtype(result = "Option<oneshot::Receiver<bool>>")]
struct ReadBegin;

impl Handler<ReadBegin> for Conductor {
    type Result = Option<oneshot::Receiver<bool>>;
    fn handle(&mut self, _: ReadBegin, _: &mut Self::Context) -> Self::Result {
        self.raft.is_established_leader().then(|| self.read())
    }
}

/// Looks at a configuration order before it is logged; `None` if this node does not lead.
#[derive(Message)]
#[rtype(result = "Option<Result<Judgement, CommandResponse>>")]
struct JudgeOrder {
    order: ConfigurationCommand,
    confirmation: Confirmation,
}

impl Handler<JudgeOrder> for Conductor {
    type Result = Option<Result<Judgement, CommandResponse>>;
    fn handle(&mut self, msg: JudgeOrder, _: &mut Self::Context) -> Self::Result {
        if !self.raft.is_established_leader() {
            return None;
        }
        if let Some(answer) = self.too_few() {
            return Some(Err(answer));
        }
        Some(Ok(self.stage.judge(&msg.order, msg.confirmation)))
    }
}

impl Conductor {
    /// The answer while the voters are too few for anything to be acknowledged.
    pub(super) fn too_few(&self) -> Option<CommandResponse> {
        let bears = tolerates_faults(self.raft.membership(), self.losses());
        (!bears).then(|| refusal(503, "too few voters yet to bear the losses of Tolerance"))
    }
}

#[derive(Message)]
#[rtype(result = "u64")]
struct Committed;

impl Handler<Committed> for Conductor {
    type Result = u64;
    fn handle(&mut self, _: Committed, _: &mut Self::Context) -> u64 {
        self.raft.commit_index()
    }
}

/// Whether nodes in contact have not applied what the log says up to an index.
#[derive(Message)]
#[rtype(result = "bool")]
pub struct Behind(pub u64);

impl Handler<Behind> for Conductor {
    type Result = bool;
    fn handle(&mut self, Behind(index): Behind, _: &mut Self::Context) -> bool {
        self.behind(index) > 0
    }
}

impl Handler<Take> for Conductor {
    type Result = ResponseFuture<CommandResponse>;

    /// Carries the order out here, or passes it to the leader, until the
    /// caller would move on.
    fn handle(&mut self, Take(order): Take, ctx: &mut Self::Context) -> Self::Result {
        let me = ctx.address();
        // A zone evacuated for too long costs work; one taken back too soon breaks a promise.
        let cautious = matches!(&order, Command::Evacuate(e) if !e.begin);
        let tag = control_state::command_digests(&order).map(|digests| {
            self.last_order += 1;
            CommandTag {
                incarnation: self.calls.incarnation().0,
                number: self.last_order,
                as_of: self.stage.index,
                subject: digests.subject,
                digest: digests.command,
                repeats: 0,
                cautious,
            }
        });
        let house = self.house.clone();
        let until = house.now() + c::COMMAND_TIMEOUT_MS;
        let own_state = matches!(order, Command::Status(_));
        Box::pin(async move {
            let work = async {
                loop {
                    let answered = match me.send(Route(order.clone(), tag.clone())).await {
                        Ok(Way::Here) => Some(carry_out(me.clone(), order.clone(), tag.clone()).await),
                        Ok(Way::There(rx)) => rx.await.ok(),
                        Ok(Way::Nowhere(None)) => None,
                        Ok(Way::Nowhere(Some(answer))) => return answer,
                        Err(_) => return refusal(503, "ending"),
                    };
                    match answered {
                        Some(a) if a.status != NOT_LEADER => return a,
                        _ => actix_rt::time::sleep(Duration::from_millis(c::COMMAND_RETRY_MS)).await,
                    }
                    // The process may have stood still meanwhile: the caller has gone on.
                    if house.now() >= until {
                        return refusal(503, "no leader could be reached in time");
                    }
                }
            };
            let answered = tokio::time::timeout(Duration::from_millis(c::COMMAND_TIMEOUT_MS), work)
                .await
                .unwrap_or_else(|_| refusal(503, "no leader could be reached in time"));
            if own_state && answered.status != 200 {
                // What this node itself knows, marked with its age.
                return match me.send(Ask(Question::Status)).await {
                    Ok(body) => answer(200, body),
                    Err(_) => refusal(503, "ending"),
                };
            }
            answered
        })
    }
}

enum Way {
    Here,
    There(oneshot::Receiver<CommandResponse>),
    /// Nobody is known to lead; what to answer at once if that has lasted.
    Nowhere(Option<CommandResponse>),
}

#[derive(Message)]
#[rtype(result = "Way")]
struct Route(Command, Option<CommandTag>);

impl Handler<Route> for Conductor {
    type Result = MessageResult<Route>;
    fn handle(&mut self, Route(order, tag): Route, _: &mut Self::Context) -> Self::Result {
        let silent = self.silent_ms();
        let began = !self.raft.membership().voters.is_empty();
        if began && silent >= c::OUT_OF_CONTACT_MS {
            self.house.counters.add("orders_out_of_contact");
            return MessageResult(Way::Nowhere(Some(self.refer())));
        }
        let leader = self.raft.leader_id();
        if self.raft.is_leader() {
            let in_contact = silent < c::ELECTION_TIMEOUT_MS;
            return MessageResult(if in_contact { Way::Here } else { Way::Nowhere(None) });
        }
        let Some(address) = (leader != 0).then(|| self.address_of(leader)).flatten() else {
            return MessageResult(Way::Nowhere(None));
        };
        let (tx, rx) = oneshot::channel();
        let call = self.calls.begin(leader, self.house.now(), tx);
        self.post(
            address,
            Payload::Request(Box::new(CommandRequest {
                number: call.number,
                incarnation: call.incarnation.0,
                command: Some(order),
                tag,
            })),
        );
        MessageResult(Way::There(rx))
    }
}
