//! Execution of commands on the leader.

use super::commands::own_status;
use super::driver::RaftDriver;
use super::error::{response, CommandError};
use super::proposals::ProposalResult;
use super::rollout_commands;
use actix::prelude::*;
use config::constants as c;
use control_state::{CommandDecision, Confirmation};
use protocol::{ChangeKind, Command, CommandResponse, CommandTag, ConfigurationCommand};
use raft::{is_durable, tolerates_faults};
use std::time::Duration;
use tokio::sync::oneshot;

/// Interval between two checks of a command's durability, in milliseconds.
const DURABILITY_CHECK_MS: u64 = 10;

/// The result of executing a command.
pub(super) type CommandResult = Result<CommandResponse, CommandError>;

/// Executes a command on the leader.
pub(super) async fn execute(
    driver: Addr<RaftDriver>,
    command: Command,
    tag: Option<CommandTag>,
) -> CommandResponse {
    let result = match command {
        Command::Status(_) => own_status(&driver).await,
        Command::ReadConfiguration(_) => read_configuration(&driver).await,
        Command::Replace(command) => configure(&driver, command).await,
        // The log entry holds the modification; the resulting configuration is computed when
        // the entry is applied.
        Command::Modify(command) => {
            let command = ConfigurationCommand {
                base: command.base,
                body: Vec::new(),
                modification: command.body,
            };
            configure(&driver, command).await
        }
        Command::BeginRollout(command) => rollout_commands::begin(&driver, command, tag).await,
        Command::ReadRollout(service) => rollout_commands::read_one(&driver, &service).await,
        Command::ReadRollouts(_) => rollout_commands::read_all(&driver).await,
        Command::ChangeRollout(change) => rollout_commands::change(&driver, change, tag).await,
        Command::KillSwitch(switch) => {
            commit_and_acknowledge(&driver, ChangeKind::KillSwitch(switch), tag).await
        }
        Command::Evacuate(change) => commit_and_acknowledge(&driver, ChangeKind::Evacuate(change), tag).await,
    };
    result.unwrap_or_else(|error| error.response())
}

async fn read_configuration(driver: &Addr<RaftDriver>) -> CommandResult {
    confirm_leadership(driver).await?;
    let body = driver
        .send(ReadConfiguration)
        .await
        .map_err(|_| CommandError::Ending)?;
    if body.is_empty() {
        return Err(CommandError::NoConfiguration);
    }
    Ok(response(200, body))
}

/// Confirms with a majority that this node still leads and that its copy of the state holds
/// everything that was ever acknowledged.
pub(super) async fn confirm_leadership(driver: &Addr<RaftDriver>) -> Result<(), CommandError> {
    let Ok(Some(confirmation)) = driver.send(BeginRead).await else {
        return Err(CommandError::NotLeader);
    };
    let timeout = Duration::from_millis(c::COMMAND_TIMEOUT_MS);
    match tokio::time::timeout(timeout, confirmation).await {
        Ok(Ok(true)) => Ok(()),
        _ => Err(CommandError::NotLeader),
    }
}

/// Executes a configuration command. A command is rejected, or acknowledged without a new log
/// entry, only by a copy of the state that a majority has confirmed since the command arrived.
async fn configure(driver: &Addr<RaftDriver>, command: ConfigurationCommand) -> CommandResult {
    let mut decision = decide(driver, &command, Confirmation::Unconfirmed).await?;
    if decision == CommandDecision::Confirm {
        confirm_leadership(driver).await?;
        decision = decide(driver, &command, Confirmation::Confirmed).await?;
    }
    match decision {
        CommandDecision::Log => commit_and_acknowledge(driver, ChangeKind::Replace(command), None).await,
        CommandDecision::Final(outcome) => match CommandError::of(outcome) {
            Some(error) => Err(error),
            // The command was accepted before; its entry is at or below the commit index.
            None => {
                let index = driver.send(CommitIndex).await.map_err(|_| CommandError::Ending)?;
                acknowledge(driver, index).await
            }
        },
        CommandDecision::Confirm => Err(CommandError::NotLeader),
    }
}

async fn decide(
    driver: &Addr<RaftDriver>,
    command: &ConfigurationCommand,
    confirmation: Confirmation,
) -> Result<CommandDecision, CommandError> {
    let message = DecideConfigurationCommand {
        command: command.clone(),
        confirmation,
    };
    driver.send(message).await.unwrap_or(Err(CommandError::NotLeader))
}

/// Proposes a change and waits until it can be acknowledged.
pub(super) async fn commit_and_acknowledge(
    driver: &Addr<RaftDriver>,
    kind: ChangeKind,
    tag: Option<CommandTag>,
) -> CommandResult {
    let proposed = driver.send(ProposeCommand(kind, tag)).await;
    let result = proposed.unwrap_or(Err(CommandError::NotLeader))?;
    let ProposalResult { outcome, index } = result.ok_or(CommandError::NotLeader)?;
    match CommandError::of(outcome) {
        Some(error) => Err(error),
        None => acknowledge(driver, index).await,
    }
}

/// Acknowledges the log entry at `index` once its copies survive any loss within `Tolerance`, and
/// the nodes in contact have applied it or `APPLY_WAIT_MS` has passed.
async fn acknowledge(driver: &Addr<RaftDriver>, index: u64) -> CommandResult {
    let mut waited = 0;
    while waited < c::COMMAND_TIMEOUT_MS {
        let durability = driver.send(CheckDurability(index)).await;
        match durability.map_err(|_| CommandError::Ending)? {
            Durability::Applied => return Ok(response(200, "{}")),
            Durability::Durable { behind } if waited >= c::APPLY_WAIT_MS => {
                log::info!("event=acknowledged_before_applied index={index} nodes_behind={behind}");
                return Ok(response(200, "{}"));
            }
            Durability::Durable { .. } | Durability::NotDurable => {}
            // A new leader answers the command when it is sent again.
            Durability::NotLeader => return Err(CommandError::NotLeader),
        }
        actix_rt::time::sleep(Duration::from_millis(DURABILITY_CHECK_MS)).await;
        waited += DURABILITY_CHECK_MS;
    }
    Err(CommandError::NotDurable)
}

/// The durability of the log up to an index.
enum Durability {
    /// It survives any tolerated loss, and the nodes in contact have applied it.
    Applied,
    /// It survives any tolerated loss, but `behind` nodes in contact have not applied it yet.
    Durable { behind: usize },
    /// It does not survive every tolerated loss, or such a loss may leave no majority.
    NotDurable,
    /// This node no longer leads.
    NotLeader,
}

#[derive(Message)]
#[rtype(result = "Durability")]
struct CheckDurability(u64);

impl Handler<CheckDurability> for RaftDriver {
    type Result = MessageResult<CheckDurability>;
    fn handle(&mut self, CheckDurability(index): CheckDurability, _: &mut Self::Context) -> Self::Result {
        let now = self.context.now();
        if !self.raft.is_established_leader() {
            return MessageResult(Durability::NotLeader);
        }
        if !is_durable(&self.raft, index, now, self.tolerance(), c::CONTACT_TIMEOUT_MS) {
            return MessageResult(Durability::NotDurable);
        }
        MessageResult(match self.nodes_behind(index) {
            0 => Durability::Applied,
            behind => Durability::Durable { behind },
        })
    }
}

/// Proposes a command, unless commands cannot be accepted now.
#[derive(Message)]
#[rtype(result = "Result<Option<ProposalResult>, CommandError>")]
struct ProposeCommand(ChangeKind, Option<CommandTag>);

impl Handler<ProposeCommand> for RaftDriver {
    type Result = ResponseFuture<Result<Option<ProposalResult>, CommandError>>;
    fn handle(&mut self, ProposeCommand(kind, tag): ProposeCommand, _: &mut Self::Context) -> Self::Result {
        if let Err(error) = self.check_voters() {
            return Box::pin(async { Err(error) });
        }
        if tag.as_ref().is_some_and(|tag| self.is_overtaken(tag)) {
            self.context.counters.increment("commands_overtaken");
            return Box::pin(async { Err(CommandError::Overtaken) });
        }
        let receiver = self.propose_command(kind, tag);
        Box::pin(async move { Ok(receiver.await.ok().flatten()) })
    }
}

/// Returns whether a command most likely repeats one that was accepted recently.
#[derive(Message)]
#[rtype(result = "bool")]
pub(super) struct IsRepeated(pub(super) Option<CommandTag>);

impl Handler<IsRepeated> for RaftDriver {
    type Result = bool;
    fn handle(&mut self, IsRepeated(tag): IsRepeated, _: &mut Self::Context) -> bool {
        tag.is_some_and(|tag| self.repeated(&tag).is_some())
    }
}

/// Reads the configuration of this node's copy of the state; empty if there is none.
#[derive(Message)]
#[rtype(result = "Vec<u8>")]
struct ReadConfiguration;

impl Handler<ReadConfiguration> for RaftDriver {
    type Result = Vec<u8>;
    fn handle(&mut self, _: ReadConfiguration, _: &mut Self::Context) -> Vec<u8> {
        self.state.configuration_body.to_vec()
    }
}

/// Asks a majority to confirm that this node still leads. Returns `None` if this node already
/// knows that it is not an established leader.
#[derive(Message)]
#[rtype(result = "Option<oneshot::Receiver<bool>>")]
struct BeginRead;

impl Handler<BeginRead> for RaftDriver {
    type Result = Option<oneshot::Receiver<bool>>;
    fn handle(&mut self, _: BeginRead, _: &mut Self::Context) -> Self::Result {
        self.raft.is_established_leader().then(|| self.begin_read())
    }
}

/// Decides what becomes of a configuration command before it is proposed.
#[derive(Message)]
#[rtype(result = "Result<CommandDecision, CommandError>")]
struct DecideConfigurationCommand {
    command: ConfigurationCommand,
    confirmation: Confirmation,
}

impl Handler<DecideConfigurationCommand> for RaftDriver {
    type Result = Result<CommandDecision, CommandError>;
    fn handle(&mut self, message: DecideConfigurationCommand, _: &mut Self::Context) -> Self::Result {
        self.check_leadership()?;
        Ok(self.state.decide(&message.command, message.confirmation))
    }
}

#[derive(Message)]
#[rtype(result = "u64")]
struct CommitIndex;

impl Handler<CommitIndex> for RaftDriver {
    type Result = u64;
    fn handle(&mut self, _: CommitIndex, _: &mut Self::Context) -> u64 {
        self.raft.commit_index()
    }
}

/// Returns whether any node in contact has not applied the log up to an index.
#[derive(Message)]
#[rtype(result = "bool")]
pub struct IsAnyNodeBehind(pub u64);

impl Handler<IsAnyNodeBehind> for RaftDriver {
    type Result = bool;
    fn handle(&mut self, IsAnyNodeBehind(index): IsAnyNodeBehind, _: &mut Self::Context) -> bool {
        self.nodes_behind(index) > 0
    }
}

impl RaftDriver {
    /// Returns an error unless this node may execute commands.
    pub(super) fn check_leadership(&self) -> Result<(), CommandError> {
        if !self.raft.is_established_leader() {
            return Err(CommandError::NotLeader);
        }
        self.check_voters()
    }

    /// Returns an error unless the voters tolerate the losses given in `Tolerance`; otherwise
    /// nothing can be acknowledged.
    fn check_voters(&self) -> Result<(), CommandError> {
        if tolerates_faults(self.raft.membership(), self.tolerance()) {
            Ok(())
        } else {
            Err(CommandError::TooFewVoters)
        }
    }

    fn begin_read(&mut self) -> oneshot::Receiver<bool> {
        let (sender, confirmation) = oneshot::channel();
        self.last_read_token += 1;
        self.reads.insert(self.last_read_token, sender);
        self.raft.request_read(self.last_read_token);
        self.flush();
        confirmation
    }

    /// Returns the number of nodes in contact that have not applied the log up to an index.
    fn nodes_behind(&self, index: u64) -> usize {
        let now = self.context.now();
        let members = self.context.members.get();
        let alive = members.iter().filter(|m| m.is_alive());
        let progresses = alive.filter_map(|m| self.raft.progress(m.id));
        progresses
            .filter(|p| now.saturating_sub(p.last_heard) < c::CONTACT_TIMEOUT_MS && p.applied_index < index)
            .count()
    }
}
