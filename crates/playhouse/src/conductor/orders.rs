//! Orders of the operator: taken on any node, carried out by the leader.

use super::{rollouts, Conductor, Propose};
use actix::prelude::*;
use playbill::constants as c;
use playbill::letters::*;
use playbill::stage::{encode_change, Outcome};
use prompter::bears;
use std::time::Duration;
use tokio::sync::oneshot;

/// An order of the operator, from this node's control or another node's.
#[derive(Message)]
#[rtype(result = "ControlAnswer")]
pub struct Take(pub Order);

impl Conductor {
    pub(super) fn propose(&mut self, kind: ChangeKind) -> oneshot::Receiver<Option<Outcome>> {
        let (tx, rx) = oneshot::channel();
        let data = encode_change(kind);
        if let Some(index) = self.joined.get(&data) {
            if let Some((_, waiters)) = self.proposals.get_mut(index) {
                waiters.push(tx);
                return rx;
            }
        }
        if self.prompter.is_settled() {
            if let Some((index, term)) = self.prompter.propose(data.clone()) {
                self.proposals.insert(index, (term, vec![tx]));
                self.joined.insert(data, index);
                self.flush();
            }
        }
        rx
    }

    pub(super) fn read(&mut self) -> oneshot::Receiver<bool> {
        let (tx, rx) = oneshot::channel();
        self.next_token += 1;
        self.reads.insert(self.next_token, tx);
        self.prompter.read(self.next_token);
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
            .filter_map(|m| self.prompter.progress(m.id))
            .filter(|p| now.saturating_sub(p.heard_at) < c::CONTACT_MS && p.applied < index)
            .count()
    }

    pub(super) fn status(&self) -> Vec<u8> {
        let now = self.house.now();
        let members: Vec<serde_json::Value> = self
            .house
            .members
            .get()
            .iter()
            .map(|m| {
                serde_json::json!({
                    "name": m.name, "address": m.address, "zone": m.zone, "region": m.region,
                    "alive": m.is_alive(), "ready": m.ready, "disk": m.disk,
                    "votes": self.prompter.roll().has(m.id),
                    "applied": if m.id == self.prompter.id() { Some(self.stage.index) } else { self.prompter.progress(m.id).map(|p| p.applied) },
                    "silent_ms": self.prompter.progress(m.id).map(|p| now.saturating_sub(p.heard_at)),
                })
            })
            .collect();
        let holdings: Vec<serde_json::Value> = self
            .stage
            .holdings
            .values()
            .flat_map(|t| t.values())
            .map(|h| serde_json::json!({"service": h.service, "from": h.from, "to": h.to, "worker": h.worker, "fence": h.fence, "leaving": h.leaving}))
            .collect();
        let fractions: Vec<serde_json::Value> = self
            .stage
            .fractions
            .iter()
            .map(|f| serde_json::json!({"service": f.service, "group": f.group, "site": f.site, "part": f.part}))
            .collect();
        let value = serde_json::json!({
            "leader": self.prompter.leader() == self.prompter.id() && self.prompter.is_leader(),
            "lease": self.prompter.holds_lease(now),
            "term": self.prompter.term(), "commit": self.prompter.commit(), "index": self.stage.index,
            "version": self.stage.version(), "evacuated": self.stage.evacuated,
            "workers": self.stage.workers.len(), "members": members, "holdings": holdings,
            "fractions": fractions, "counters": self.house.counters.all(),
        });
        value.to_string().into_bytes()
    }
}

pub(super) fn answer(status: u32, body: impl Into<Vec<u8>>) -> ControlAnswer {
    ControlAnswer {
        id: 0,
        status,
        body: body.into(),
    }
}

pub(super) fn refusal(status: u32, text: &str) -> ControlAnswer {
    answer(status, serde_json::json!({ "ErrorText": text }).to_string())
}

/// Status of an answer that says: this node does not lead.
pub(super) const NOT_LEADER: u32 = 0;

/// Carries an order out on the leader.
pub(super) async fn carry_out(conductor: Addr<Conductor>, order: Order) -> ControlAnswer {
    match order {
        Order::Status(_) => match conductor.send(Ask(Question::Status)).await {
            Ok(body) => answer(200, body),
            Err(_) => refusal(503, "ending"),
        },
        Order::Read(_) => {
            if !is_newest(&conductor).await {
                return answer(NOT_LEADER, "");
            }
            match conductor.send(Ask(Question::Configuration)).await {
                Ok(body) if !body.is_empty() => answer(200, body),
                Ok(_) => refusal(404, "there is no configuration yet"),
                Err(_) => refusal(503, "ending"),
            }
        }
        Order::Replace(order) => replace(conductor, order).await,
        Order::Modify(modify) => match conductor.send(Amend(modify)).await {
            Ok(Some(Ok(order))) => replace(conductor, order).await,
            Ok(Some(Err(answer))) => answer,
            _ => answer(NOT_LEADER, ""),
        },
        Order::Begin(order) => rollouts::begin(conductor, order).await,
        Order::Rollout(service) => rollouts::read(conductor, Some(service)).await,
        Order::Rollouts(_) => rollouts::read(conductor, None).await,
        Order::Steer(change) => rollouts::steer(conductor, change).await,
        Order::KillSwitch(switch) => settle(conductor, ChangeKind::KillSwitch(switch)).await,
        Order::Evacuate(e) => match conductor.send(IsResent(e.clone())).await {
            Ok(true) => answer(200, "{}"),
            _ => {
                let done = settle(conductor.clone(), ChangeKind::Evacuate(e.clone())).await;
                if done.status == 200 {
                    conductor.do_send(CarriedOut(e));
                }
                done
            }
        },
    }
}

/// Whether this node leads and its copy holds all that was ever acknowledged.
pub(super) async fn is_newest(conductor: &Addr<Conductor>) -> bool {
    let Ok(Some(rx)) = conductor.send(ReadBegin).await else {
        return false;
    };
    let good = tokio::time::timeout(Duration::from_millis(c::CALL_WAIT_MS), rx).await;
    matches!(good, Ok(Ok(true)))
}

async fn replace(conductor: Addr<Conductor>, order: ReplaceOrder) -> ControlAnswer {
    match conductor.send(JudgeReplace(order.clone())).await {
        Ok(Some(Ok(()))) => settle(conductor, ChangeKind::Replace(order)).await,
        Ok(Some(Err(answer))) => answer,
        _ => answer(NOT_LEADER, ""),
    }
}

/// Logs a change and waits until the nodes in contact have applied it.
pub(super) async fn settle(conductor: Addr<Conductor>, kind: ChangeKind) -> ControlAnswer {
    let Ok(Some(outcome)) = conductor.send(Propose(kind)).await else {
        return answer(NOT_LEADER, "");
    };
    if let Some(answer) = refused(&outcome) {
        return answer;
    }
    for _ in 0..c::APPLY_WAIT_MS / 20 {
        match conductor.send(AllApplied).await {
            Ok(false) => actix_rt::time::sleep(Duration::from_millis(20)).await,
            _ => break,
        }
    }
    answer(200, "{}")
}

/// The answer to an order whose outcome is not that it stands.
fn refused(outcome: &Outcome) -> Option<ControlAnswer> {
    match outcome {
        Outcome::Applied | Outcome::Already => None,
        Outcome::Lost(version) => Some(refusal(
            412,
            &format!("Base-Version is not the current version {version}"),
        )),
        Outcome::Invalid(fault) => Some(refusal(400, &fault.0)),
        Outcome::Refused(refused) => Some(rollouts::refused(refused)),
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
            Question::Configuration => self.stage.config_body.to_vec(),
        }
    }
}

#[derive(Message)]
#[rtype(result = "Option<oneshot::Receiver<bool>>")]
struct ReadBegin;

impl Handler<ReadBegin> for Conductor {
    type Result = Option<oneshot::Receiver<bool>>;
    fn handle(&mut self, _: ReadBegin, _: &mut Self::Context) -> Self::Result {
        self.prompter.is_settled().then(|| self.read())
    }
}

/// Checks an order before it is logged; `None` if this node does not lead.
#[derive(Message)]
#[rtype(result = "Option<Result<(), ControlAnswer>>")]
struct JudgeReplace(ReplaceOrder);

impl Handler<JudgeReplace> for Conductor {
    type Result = Option<Result<(), ControlAnswer>>;
    fn handle(&mut self, JudgeReplace(order): JudgeReplace, _: &mut Self::Context) -> Self::Result {
        if !self.prompter.is_settled() {
            return None;
        }
        if !bears(self.prompter.roll(), self.losses()) {
            return Some(Err(refusal(
                503,
                "too few voters yet to bear the losses of Tolerance",
            )));
        }
        // What the log would refuse whatever comes before it is refused now;
        // the rest is for the log to order.
        Some(match self.stage.judge_replace(&order) {
            Err(outcome) if outcome != Outcome::Already => match refused(&outcome) {
                Some(answer) => Err(answer),
                None => Ok(()),
            },
            _ => Ok(()),
        })
    }
}

/// What a `modify` comes to on this node; `None` if it does not lead.
#[derive(Message)]
#[rtype(result = "Option<Result<ReplaceOrder, ControlAnswer>>")]
struct Amend(ReplaceOrder);

impl Handler<Amend> for Conductor {
    type Result = Option<Result<ReplaceOrder, ControlAnswer>>;
    fn handle(&mut self, Amend(modify): Amend, _: &mut Self::Context) -> Self::Result {
        let amended = self.prompter.is_settled().then(|| self.stage.amended(modify))?;
        Some(amended.map_err(|outcome| refused(&outcome).unwrap_or_else(|| answer(200, "{}"))))
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

#[derive(Message)]
#[rtype(result = "bool")]
struct AllApplied;

impl Handler<AllApplied> for Conductor {
    type Result = bool;
    fn handle(&mut self, _: AllApplied, _: &mut Self::Context) -> bool {
        self.behind(self.stage.index) == 0
    }
}

impl Handler<Take> for Conductor {
    type Result = ResponseFuture<ControlAnswer>;

    /// Carries the order out here, or passes it to the leader, until the
    /// caller would move on.
    fn handle(&mut self, Take(order): Take, ctx: &mut Self::Context) -> Self::Result {
        let me = ctx.address();
        Box::pin(async move {
            let work = async {
                loop {
                    let answered = match me.send(Route(order.clone())).await {
                        Ok(Way::Here) => Some(carry_out(me.clone(), order.clone()).await),
                        Ok(Way::There(rx)) => rx.await.ok(),
                        Ok(Way::Nowhere) => None,
                        Err(_) => return refusal(503, "ending"),
                    };
                    match answered {
                        Some(a) if a.status != NOT_LEADER => return a,
                        _ => actix_rt::time::sleep(Duration::from_millis(c::CALL_RETRY_MS)).await,
                    }
                }
            };
            tokio::time::timeout(Duration::from_millis(c::CALL_WAIT_MS), work)
                .await
                .unwrap_or_else(|_| refusal(503, "no leader could be reached in time"))
        })
    }
}

enum Way {
    Here,
    There(oneshot::Receiver<ControlAnswer>),
    Nowhere,
}

#[derive(Message)]
#[rtype(result = "Way")]
struct Route(Order);

impl Handler<Route> for Conductor {
    type Result = MessageResult<Route>;
    fn handle(&mut self, Route(order): Route, _: &mut Self::Context) -> Self::Result {
        let leader = self.prompter.leader();
        if self.prompter.is_leader() {
            return MessageResult(Way::Here);
        }
        let Some(address) = (leader != 0).then(|| self.address_of(leader)).flatten() else {
            return MessageResult(Way::Nowhere);
        };
        let (tx, rx) = oneshot::channel();
        self.next_token += 1;
        self.calls.retain(|_, tx| !tx.is_closed());
        self.calls.insert(self.next_token, tx);
        self.post(
            address,
            Matter::Call(ControlCall {
                id: self.next_token,
                order: Some(order),
            }),
        );
        MessageResult(Way::There(rx))
    }
}

/// Whether an order about a zone is one that was carried out a moment ago, sent
/// again because its answer got lost. A new leader cannot know, and takes what
/// would change nothing but the count for that.
#[derive(Message)]
#[rtype(result = "bool")]
struct IsResent(EvacuationChange);

impl Handler<IsResent> for Conductor {
    type Result = bool;
    fn handle(&mut self, IsResent(e): IsResent, _: &mut Self::Context) -> bool {
        let now = self.house.now();
        let in_force = self.stage.evacuated.contains_key(&e.zone);
        let recent = |at: u64| now.saturating_sub(at) < c::SAME_ORDER_MS;
        let known = self
            .evacuations
            .get(&(e.zone.clone(), e.begin))
            .is_some_and(|at| recent(*at));
        let resent = in_force == e.begin && (known || recent(self.prompter.led_since()));
        resent || !e.begin && known
    }
}

#[derive(Message)]
#[rtype(result = "()")]
struct CarriedOut(EvacuationChange);

impl Handler<CarriedOut> for Conductor {
    type Result = ();
    fn handle(&mut self, CarriedOut(e): CarriedOut, _: &mut Self::Context) {
        self.evacuations.insert((e.zone, e.begin), self.house.now());
    }
}
