//! State of a running scenario: the fleet, an operator, and the violations found so far.

use super::{
    pause, shuffled, Options, COMMAND_TIMEOUT_S, FIRST_COMMAND_TIMEOUT_S, GRACE_PERIOD_MS, HEARD_WITHIN_MS,
};
use crate::checker::{Answer, Operation};
use crate::fleet::Fleet;
use crate::operator::{Operator, Record};
use crate::{orders, settings, ScenarioError};
use serde_json::Value;
use std::time::{Duration, Instant};

/// State of a running scenario.
pub struct Run {
    pub fleet: Fleet,
    pub(super) options: Options,
    pub(super) record: Record,
    pub(super) operator: Operator,
    pub(super) started_at: Instant,
    pub(super) found_violations: Vec<String>,
    /// The newest acknowledged version, and the next version number to use.
    pub(super) current: u64,
    pub(super) next: u64,
}

impl Run {
    /// Prints a progress message with the seconds since the start.
    pub(super) fn log_progress(&self, text: impl AsRef<str>) {
        println!(
            "  {:6.2} s  {}",
            self.started_at.elapsed().as_secs_f32(),
            text.as_ref()
        );
    }

    /// Records and prints a violation.
    pub(super) fn report_violation(&mut self, text: impl std::fmt::Display) {
        self.log_progress(format!("BROKEN: {text}"));
        self.found_violations.push(text.to_string());
    }

    /// Returns a new operator with connections of its own.
    pub(super) fn caller(&self) -> Operator {
        Operator::new(&self.record)
    }

    /// Records the next configuration, based on the current one, and returns its index.
    pub(super) fn next_command(&mut self, maker: &str, routes: usize) -> usize {
        let version = self.next;
        self.next += 1;
        let body = orders::configuration(version, maker, routes);
        self.record.command(self.current, version, body)
    }

    pub(super) fn version_of(&self, command: usize) -> u64 {
        self.record.history().commands[command].version
    }

    /// Starts the system with a first configuration.
    pub(super) async fn start_system(&mut self) -> Result<(), ScenarioError> {
        let command = self.next_command("a", 2);
        let timeout = Duration::from_secs(FIRST_COMMAND_TIMEOUT_S);
        match self.send(command, timeout).await {
            Answer::Success(_) => {}
            other => return Err(format!("the first configuration was not accepted: {other:?}").into()),
        }
        let leader = self.fleet.wait_for_leader(timeout).await?;
        self.log_progress(format!(
            "{} nodes on {} to {}, node {leader} leads, version {} in force",
            self.fleet.nodes.len(),
            self.fleet.net().control(1),
            self.fleet.net().control(self.fleet.nodes.len() as u8),
            self.current
        ));
        Ok(())
    }

    /// Sends a command until the answer is definite.
    pub(super) async fn send(&mut self, command: usize, timeout: Duration) -> Answer {
        let control_addresses = self.fleet.running_control_addresses();
        let answer = self
            .operator
            .retry_until_definite(
                Operation::Replace(command),
                &shuffled(&control_addresses),
                timeout,
            )
            .await;
        self.record_acceptance(command, &answer);
        answer
    }

    /// Updates the newest acknowledged version if the answer acknowledges the command.
    pub(super) fn record_acceptance(&mut self, command: usize, answer: &Answer) {
        if matches!(answer, Answer::Success(_)) {
            self.current = self.current.max(self.version_of(command));
        }
    }

    /// Makes a change, and returns the milliseconds until its acknowledgement. If a valid change is
    /// not acknowledged while no fault affects the core, that is a violation.
    pub(super) async fn change(&mut self, routes: usize) -> Result<u64, ScenarioError> {
        let command = self.next_command("a", routes);
        let started = Instant::now();
        let answer = self.send(command, Duration::from_secs(COMMAND_TIMEOUT_S)).await;
        let elapsed_ms = started.elapsed().as_millis() as u64;
        if !matches!(answer, Answer::Success(_)) {
            let version = self.version_of(command);
            self.report_violation(format!(
                "the command of version {version} on {} was not acknowledged after {elapsed_ms} ms: {answer:?}",
                self.current
            ));
            return Err("a valid command was not accepted".into());
        }
        Ok(elapsed_ms)
    }

    /// Makes this many changes, and returns how long the longest one took, in milliseconds.
    pub(super) async fn changes(&mut self, count: usize) -> Result<u64, ScenarioError> {
        let mut longest_ms = 0;
        for _ in 0..count {
            longest_ms = longest_ms.max(self.change(3).await?);
        }
        self.log_progress(format!("{count} changes, the longest took {longest_ms} ms"));
        Ok(longest_ms)
    }

    /// Kills all nodes, restarts them `outage_ms` milliseconds later, and returns their numbers.
    pub(super) async fn kill_and_restart_all(&mut self, outage_ms: u64) -> Result<Vec<u8>, ScenarioError> {
        let all: Vec<u8> = self.fleet.nodes.iter().map(|n| n.number).collect();
        for number in &all {
            self.fleet.node(*number)?.kill();
        }
        self.log_progress(format!(
            "all {} nodes are killed at version {}",
            all.len(),
            self.current
        ));
        pause(outage_ms).await;
        for number in &all {
            self.fleet.restart(*number)?;
        }
        Ok(all)
    }

    /// Shuts a node down with SIGTERM while this many changes are made. The node must end within
    /// its grace period.
    pub(super) async fn terminate_gracefully(
        &mut self,
        number: u8,
        changes: usize,
    ) -> Result<(), ScenarioError> {
        self.fleet.node(number)?.terminate()?;
        let terminated_at = Instant::now();
        self.changes(changes).await?;
        let limit = Duration::from_millis(GRACE_PERIOD_MS).saturating_sub(terminated_at.elapsed());
        match self.fleet.wait_for_exit(number, limit).await {
            Ok(status) => self.log_progress(format!(
                "node {number} ended {} ms after SIGTERM: {status}",
                terminated_at.elapsed().as_millis()
            )),
            Err(e) => {
                self.report_violation(e);
                self.fleet.node(number)?.kill();
            }
        }
        Ok(())
    }

    /// Reads the configuration back through every running node. Each must return the last
    /// acknowledged version.
    pub(super) async fn read_back(&mut self) {
        let control_addresses = self.fleet.running_control_addresses();
        let mut read_count = 0;
        for control_address in &control_addresses {
            let timeout = Duration::from_secs(COMMAND_TIMEOUT_S);
            match self
                .operator
                .retry_until_definite(Operation::Read, &[*control_address], timeout)
                .await
            {
                Answer::Success(_) => read_count += 1,
                other => self.report_violation(format!(
                    "node {} did not read the configuration back: {other:?}",
                    control_address.0
                )),
            }
        }
        self.log_progress(format!(
            "read back through {read_count} of {} nodes; the newest acknowledged is version {}",
            control_addresses.len(),
            self.record.history().newest_acknowledged()
        ));
    }

    /// Returns the leader's status, as a running node forwards it.
    pub(super) async fn status(&self) -> Option<Value> {
        let control_addresses = shuffled(&self.fleet.running_control_addresses());
        let answer = self
            .operator
            .retry_until_definite(Operation::Status, &control_addresses, Duration::from_secs(3))
            .await;
        match answer {
            Answer::Success(body) => serde_json::from_slice(&body).ok(),
            _ => None,
        }
    }

    /// Begins the evacuation of a zone. The command must be acknowledged.
    pub(super) async fn evacuate(&mut self, zone: &str) -> Result<(), ScenarioError> {
        self.change_evacuation(zone, true).await
    }

    /// Finishes the evacuation of a zone. The command must be acknowledged.
    pub(super) async fn finish_evacuation(&mut self, zone: &str) -> Result<(), ScenarioError> {
        self.change_evacuation(zone, false).await
    }

    async fn change_evacuation(&mut self, zone: &str, begin: bool) -> Result<(), ScenarioError> {
        let operation = Operation::Evacuate {
            zone: zone.into(),
            begin,
        };
        let control_addresses = shuffled(&self.fleet.running_control_addresses());
        let timeout = Duration::from_secs(COMMAND_TIMEOUT_S);
        let answer = self
            .operator
            .retry_until_definite(operation, &control_addresses, timeout);
        match answer.await {
            Answer::Success(_) => Ok(()),
            other => {
                let what = if begin { "begin" } else { "finish" };
                self.report_violation(format!(
                    "the {what} of the evacuation of {zone} was not acknowledged: {other:?}"
                ));
                Err("a valid command was not accepted".into())
            }
        }
    }

    /// Checks that an acknowledged evacuation is still in force.
    pub(super) async fn check_evacuated(&mut self, zone: &str) {
        match self.is_evacuated(zone).await {
            Some(true) => self.log_progress(format!("the evacuation of {zone} is in force")),
            Some(false) => self.report_violation(format!(
                "the evacuation of {zone} was acknowledged but is not in force"
            )),
            None => self.report_violation("the evacuation cannot be checked: no status was returned"),
        }
    }

    /// Returns whether a zone is evacuated, according to the leader.
    pub(super) async fn is_evacuated(&self, zone: &str) -> Option<bool> {
        let status = self.status().await?;
        Some(status["evacuated"][zone].as_u64().is_some_and(|count| count > 0))
    }

    /// Waits until the leader reports a node as an alive voter that it has heard recently. Returns
    /// how long this took, in milliseconds.
    pub(super) async fn wait_for_vote(&self, number: u8, timeout: Duration) -> Result<u64, ScenarioError> {
        let started = Instant::now();
        let name = settings::name(number);
        while started.elapsed() < timeout {
            if let Some(status) = self.status().await {
                let members = status["members"].as_array().cloned().unwrap_or_default();
                let leads = self.fleet.leader() == Some(number);
                let votes = members.iter().any(|m| {
                    // The previous member at the same address has been unresponsive for a long time.
                    let heard = m["silent_ms"].as_u64().map_or(leads, |ms| ms < HEARD_WITHIN_MS);
                    m["name"] == name.as_str() && m["alive"] == true && m["votes"] == true && heard
                });
                if votes {
                    return Ok(started.elapsed().as_millis() as u64);
                }
            }
            actix_rt::time::sleep(Duration::from_millis(50)).await;
        }
        Err(format!("node {number} does not vote after {} s", timeout.as_secs()).into())
    }

    /// Waits until a node that serves clients applies a configuration. Returns how long this took,
    /// in milliseconds.
    pub(super) async fn wait_for_route(
        &self,
        number: u8,
        path: &str,
        timeout: Duration,
    ) -> Result<u64, ScenarioError> {
        let started = Instant::now();
        let client = crate::call::client();
        let ready = format!("http://{}/readiness", self.fleet.net().readiness(number));
        let route = format!("http://{}{path}x", self.fleet.net().front(number));
        while started.elapsed() < timeout {
            let is_ready = matches!(client.get(&ready).send().await, Ok(a) if a.status() == 200);
            if is_ready {
                // There are no workers, so a route that is in force leads to a 503.
                let sent = client
                    .get(&route)
                    .insert_header(("Host", orders::HOST))
                    .insert_header(("Attempt-Id", "00000000000000aa"))
                    .send()
                    .await;
                if matches!(sent, Ok(a) if a.status() != 404) {
                    return Ok(started.elapsed().as_millis() as u64);
                }
            }
            actix_rt::time::sleep(Duration::from_millis(20)).await;
        }
        Err(format!(
            "node {number} does not serve {path} after {} s",
            timeout.as_secs()
        )
        .into())
    }
}
