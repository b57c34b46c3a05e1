//! Operator commands: accepted on any node and forwarded to the leader.

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

/// Maximum number of alternative nodes in the response of a node that is out of contact.
const MAX_SUGGESTED_NODES: usize = 3;

/// Executes an operator command that arrived at this node's control address. The command is
/// executed here or forwarded to the leader, and retried until `COMMAND_TIMEOUT_MS` has passed.
#[derive(Message)]
#[rtype(result = "CommandResponse")]
pub struct ExecuteCommand {
    /// The command.
    pub command: Command,
    /// The connection that the command came from.
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
            // The process may have been paused; by the deadline the caller has stopped waiting.
            let has_timed_out = || context.now() >= deadline;
            let route = RouteCommand { command, tag, caller };
            let attempts = send_until_answered(&driver, route, has_timed_out);
            let response = tokio::time::timeout(Duration::from_millis(c::COMMAND_TIMEOUT_MS), attempts).await;
            let response = response.unwrap_or(Err(CommandError::NoLeader));
            let response = response.unwrap_or_else(|error| error.response());
            if is_status && response.status != 200 {
                // Falls back to the status as this node knows it, which includes its age.
                return own_status(&driver).await.unwrap_or_else(|error| error.response());
            }
            response
        })
    }
}

/// Sends a command to the presumed leader until a node that leads answers it.
async fn send_until_answered(
    driver: &Addr<RaftDriver>,
    route: RouteCommand,
    has_timed_out: impl Fn() -> bool,
) -> Result<CommandResponse, CommandError> {
    loop {
        let sent = driver.send(route.clone()).await;
        let response = match sent.map_err(|_| CommandError::Ending)? {
            Route::Here(tag) => Some(execute(driver.clone(), route.command.clone(), tag).await),
            Route::Forwarded(response) => response.await.ok(),
            Route::Unknown => None,
            Route::Rejected(error) => return Err(error),
        };
        match response {
            Some(response) if !is_not_leader(&response) => return Ok(response),
            _ => actix_rt::time::sleep(Duration::from_millis(c::COMMAND_RETRY_MS)).await,
        }
        if has_timed_out() {
            return Err(CommandError::NoLeader);
        }
    }
}

/// Returns the status of the system as this node knows it.
pub(super) fn own_status(
    driver: &Addr<RaftDriver>,
) -> impl Future<Output = Result<CommandResponse, CommandError>> {
    let status = driver.send(ReadStatus);
    async move {
        let body = status.await.map_err(|_| CommandError::Ending)?;
        Ok(response(200, body))
    }
}

/// Reads the status of the system as this node knows it, as JSON.
#[derive(Message)]
#[rtype(result = "Vec<u8>")]
struct ReadStatus;

impl Handler<ReadStatus> for RaftDriver {
    type Result = Vec<u8>;
    fn handle(&mut self, _: ReadStatus, _: &mut Self::Context) -> Vec<u8> {
        self.status_report()
    }
}

/// Where a command is executed.
enum Route {
    /// This node leads and executes the command with this tag.
    Here(Option<CommandTag>),
    /// The command was sent to the leader; the receiver yields the response.
    Forwarded(oneshot::Receiver<CommandResponse>),
    /// No leader is known.
    Unknown,
    /// The command is rejected without a retry.
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
        // Only tagged commands are checked: a command with a base version may arrive late,
        // because the log recognises it by its base.
        if let Some(tag) = &mut tag {
            tag.awaited_at = self.state.index;
            if !caller.is_waiting() {
                self.context.counters.increment("commands_abandoned");
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
    /// Creates the tag of a command that has no base version; returns `None` for other commands.
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
            // Ending an evacuation too late only costs work; ending it too early breaks the
            // guarantee given to the operator.
            cautious: matches!(command, Command::Evacuate(change) if !change.begin),
        })
    }

    fn route(&mut self, command: Command, tag: Option<CommandTag>) -> Route {
        let silent_ms = self.silent_ms();
        let is_bootstrapped = !self.raft.membership().voters.is_empty();
        if is_bootstrapped && silent_ms >= c::OUT_OF_CONTACT_MS {
            self.context.counters.increment("commands_out_of_contact");
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

    /// Returns the time since this node last heard from a majority, in milliseconds. It reads
    /// the clock itself, because a command may be the first thing that runs after a pause of
    /// the process.
    pub(super) fn silent_ms(&self) -> u64 {
        let now = self.context.now();
        now.saturating_sub(self.raft.majority_heard_at(now))
    }

    /// Creates the error of a node that is out of contact. It lists nodes that may be in contact.
    fn out_of_contact(&self, silent_ms: u64) -> CommandError {
        let settings = self.context.settings.get();
        let port = settings.network.listen_points.control.map_or(0, |a| a.port());
        let control_address = |address: &str| {
            let ip = address.rsplit_once(':').map_or(address, |(ip, _)| ip);
            format!("{ip}:{port}")
        };
        let own_id = self.raft.id();
        let members = self.context.members.get();
        let ready_members = members
            .iter()
            .filter(|m| m.id != own_id && m.is_alive() && m.is_ready);
        let mut nodes: Vec<String> = ready_members.map(|m| control_address(&m.address)).collect();
        nodes.shuffle(&mut rand::thread_rng());
        nodes.truncate(MAX_SUGGESTED_NODES);
        let are_alive = !nodes.is_empty();
        if !are_alive {
            // No reachable node is ready, so the voters are listed instead.
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
