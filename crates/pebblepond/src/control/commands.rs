//! Commands of the operator: taken on any node, forwarded to the leader.

use super::driver::RaftDriver;
use super::error::{is_not_leader, response, CommandError};
use super::execution::execute;
use crate::caller::Caller;
use actix::prelude::*;
use config::constants as c;
use control_state::command_digests;
use protocol::{Command, CommandRequest, CommandResponse, CommandTag, Payload};
use rand::seq::SliceRandom;
use std::future::Future;
use std::time::Duration;
use tokio::sync::oneshot;

/// Nodes named by a node that is out of contact, nodes.
const NAMED_NODES: usize = 3;

/// A command of the operator, from this node's control address. Carried out here, or passed to
/// the leader, until the caller would move on.
#[derive(Message)]
#[rtype(result = "CommandResponse")]
pub struct ExecuteCommand {
    /// What to do.
    pub command: Command,
    /// Who wants it.
    pub caller: Caller,
}

impl Handler<ExecuteCommand> for RaftDriver {
    type Result = ResponseFuture<CommandResponse>;

    fn handle(&mut self, message: ExecuteCommand, actor: &mut Self::Context) -> Self::Result {
        let ExecuteCommand { command, caller } = message;
        let driver = actor.address();
        let tag = self.tag(&command);
        let context = self.context.clone();
        let deadline = context.now() + c::COMMAND_TIMEOUT_MS;
        let is_status = matches!(command, Command::Status(_));
        Box::pin(async move {
            // The process may have stood still meanwhile: the caller has gone on.
            let is_over = || context.now() >= deadline;
            let route = RouteCommand { command, tag, caller };
            let attempts = try_until_answered(&driver, route, is_over);
            let answered = tokio::time::timeout(Duration::from_millis(c::COMMAND_TIMEOUT_MS), attempts).await;
            let answered = answered.unwrap_or(Err(CommandError::NoLeader));
            let answered = answered.unwrap_or_else(|error| error.response());
            if is_status && answered.status != 200 {
                // What this node itself knows, marked with its age.
                return own_status(&driver).await.unwrap_or_else(|error| error.response());
            }
            answered
        })
    }
}

/// Sends a command to whoever leads until one answers that does.
async fn try_until_answered(
    driver: &Addr<RaftDriver>,
    route: RouteCommand,
    is_over: impl Fn() -> bool,
) -> Result<CommandResponse, CommandError> {
    loop {
        let sent = driver.send(route.clone()).await;
        let answered = match sent.map_err(|_| CommandError::Ending)? {
            Route::Here(tag) => Some(execute(driver.clone(), route.command.clone(), tag).await),
            Route::Forwarded(response) => response.await.ok(),
            Route::Unknown => None,
            Route::Rejected(error) => return Err(error),
        };
        match answered {
            Some(answered) if !is_not_leader(&answered) => return Ok(answered),
            _ => actix_rt::time::sleep(Duration::from_millis(c::COMMAND_RETRY_MS)).await,
        }
        if is_over() {
            return Err(CommandError::NoLeader);
        }
    }
}

/// What this node itself knows of the system.
pub(super) fn own_status(
    driver: &Addr<RaftDriver>,
) -> impl Future<Output = Result<CommandResponse, CommandError>> {
    let status = driver.send(ReadStatus);
    async move {
        let body = status.await.map_err(|_| CommandError::Ending)?;
        Ok(response(200, body))
    }
}

/// Reads what this node knows of the system, as JSON.
#[derive(Message)]
#[rtype(result = "Vec<u8>")]
struct ReadStatus;

impl Handler<ReadStatus> for RaftDriver {
    type Result = Vec<u8>;
    fn handle(&mut self, _: ReadStatus, _: &mut Self::Context) -> Vec<u8> {
        self.status_report()
    }
}

/// Where a command goes.
enum Route {
    /// This node leads; the tag as it is now.
    Here(Option<CommandTag>),
    /// To the leader; its response.
    Forwarded(oneshot::Receiver<CommandResponse>),
    /// Nobody is known to lead.
    Unknown,
    /// Nobody has been known to lead for so long that the caller is told at once.
    Rejected(CommandError),
}

#[derive(Clone, Message)]
#[rtype(result = "Route")]
struct RouteCommand {
    command: Command,
    tag: Option<CommandTag>,
    caller: Caller,
}

impl Handler<RouteCommand> for RaftDriver {
    type Result = MessageResult<RouteCommand>;
    fn handle(&mut self, route: RouteCommand, _: &mut Self::Context) -> Self::Result {
        let RouteCommand {
            command,
            mut tag,
            caller,
        } = route;
        // A command that names its base can come late: the log knows it by that.
        if let Some(tag) = &mut tag {
            tag.awaited_at = self.state.index;
            if !caller.is_waiting() {
                self.context.counters.add("commands_abandoned");
                log::warn!(
                    "event=command_abandoned number={} as_of={}",
                    tag.number,
                    tag.as_of
                );
                return MessageResult(Route::Rejected(CommandError::CallerGone));
            }
        }
        MessageResult(self.route(command, tag))
    }
}

impl RaftDriver {
    /// The tag of a command that names no base version.
    fn tag(&mut self, command: &Command) -> Option<CommandTag> {
        let digests = command_digests(command)?;
        self.last_command += 1;
        Some(CommandTag {
            incarnation: self.calls.incarnation().0,
            number: self.last_command,
            as_of: self.state.index,
            subject: digests.subject,
            digest: digests.command,
            repeats: 0,
            awaited_at: 0,
            // A zone evacuated for too long costs work; one restored too soon breaks a promise.
            cautious: matches!(command, Command::Evacuate(change) if !change.begin),
        })
    }

    fn route(&mut self, command: Command, tag: Option<CommandTag>) -> Route {
        let silent_ms = self.silent_ms();
        let has_begun = !self.raft.membership().voters.is_empty();
        if has_begun && silent_ms >= c::OUT_OF_CONTACT_MS {
            self.context.counters.add("commands_out_of_contact");
            return Route::Rejected(self.out_of_contact(silent_ms));
        }
        if self.raft.is_leader() {
            let in_contact = silent_ms < c::ELECTION_TIMEOUT_MS;
            return if in_contact {
                Route::Here(tag)
            } else {
                Route::Unknown
            };
        }
        let leader = self.raft.leader_id();
        let Some(address) = (leader != 0).then(|| self.address_of(leader)).flatten() else {
            return Route::Unknown;
        };
        let (sender, response) = oneshot::channel();
        let call = self.calls.begin(leader, self.context.now(), sender);
        let request = CommandRequest {
            number: call.number,
            incarnation: call.incarnation.0,
            command: Some(command),
            tag,
        };
        self.send_to_peer(address, Payload::Request(Box::new(request)));
        Route::Forwarded(response)
    }

    /// How long this node has had no word of a majority, ms, by the clock at this moment:
    /// after a pause of the process the first thing that runs may be a command.
    pub(super) fn silent_ms(&self) -> u64 {
        let now = self.context.now();
        now.saturating_sub(self.raft.majority_heard_at(now))
    }

    /// What a node that is out of contact says at once: it names nodes that may know better.
    fn out_of_contact(&self, silent_ms: u64) -> CommandError {
        let settings = self.context.settings.get();
        let port = settings.network.listen_points.control.map_or(0, |a| a.port());
        let control_address = |address: &str| {
            let ip = address.rsplit_once(':').map_or(address, |(ip, _)| ip);
            format!("{ip}:{port}")
        };
        let own_id = self.raft.id();
        let members = self.context.members.get();
        let able = members
            .iter()
            .filter(|m| m.id != own_id && m.is_alive() && m.is_ready);
        let mut nodes: Vec<String> = able.map(|m| control_address(&m.address)).collect();
        nodes.shuffle(&mut rand::thread_rng());
        nodes.truncate(NAMED_NODES);
        let are_alive = !nodes.is_empty();
        if !are_alive {
            // Nobody who could be in contact is in reach from here.
            let voters = self.raft.membership().voters.iter().filter(|v| v.id != own_id);
            nodes.extend(voters.map(|v| control_address(&v.address)));
        }
        CommandError::OutOfContact {
            silent_ms,
            nodes,
            are_alive,
        }
    }
}
