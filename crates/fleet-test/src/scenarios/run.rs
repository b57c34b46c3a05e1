//! What a scenario works with: a fleet, an operator, and what has been found so far.

use super::{shuffled, Options, CLEAR_S, FIRST_S, GRACE_MS, SILENT_MS};
use crate::checker::{Answer, Asked};
use crate::fleet::Fleet;
use crate::operator::{Operator, Record};
use crate::{orders, settings, ScenarioError};
use serde_json::Value;
use std::time::{Duration, Instant};

/// What a scenario works with.
pub struct Run {
    pub fleet: Fleet,
    pub(super) options: Options,
    pub(super) record: Record,
    pub(super) operator: Operator,
    pub(super) began: Instant,
    pub(super) broken: Vec<String>,
    /// The newest version that was acknowledged, and the next number to use.
    pub(super) current: u64,
    pub(super) next: u64,
}

impl Run {
    /// Tells what is done, with the seconds since the start.
    pub(super) fn say(&self, text: impl AsRef<str>) {
        println!(
            "  {:6.2} s  {}",
            self.began.elapsed().as_secs_f32(),
            text.as_ref()
        );
    }

    /// A rule that was broken.
    pub(super) fn broken(&mut self, text: impl std::fmt::Display) {
        self.say(format!("BROKEN: {text}"));
        self.broken.push(text.to_string());
    }

    /// A caller with connections of its own.
    pub(super) fn caller(&self) -> Operator {
        Operator::new(&self.record)
    }

    /// Enters the next configuration on top of the current one.
    pub(super) fn next_order(&mut self, maker: &str, routes: usize) -> usize {
        let version = self.next;
        self.next += 1;
        let body = orders::configuration(version, maker, routes);
        self.record.order(self.current, version, body)
    }

    pub(super) fn version_of(&self, order: usize) -> u64 {
        self.record.history().orders[order].version
    }

    /// Brings the system up with a first configuration.
    pub(super) async fn open(&mut self) -> Result<(), ScenarioError> {
        let order = self.next_order("a", 2);
        let within = Duration::from_secs(FIRST_S);
        match self.send(order, within).await {
            Answer::Good(_) => {}
            other => return Err(format!("the first configuration was not taken: {other:?}").into()),
        }
        let leader = self.fleet.wait_for_leader(within).await?;
        self.say(format!(
            "{} nodes on {} to {}, node {leader} leads, version {} in force",
            self.fleet.nodes.len(),
            self.fleet.net().control(1),
            self.fleet.net().control(self.fleet.nodes.len() as u8),
            self.current
        ));
        Ok(())
    }

    /// Sends an order until it has a clear answer.
    pub(super) async fn send(&mut self, order: usize, within: Duration) -> Answer {
        let control_addresses = self.fleet.running();
        let answer = self
            .operator
            .settle(Asked::Replace(order), &shuffled(&control_addresses), within)
            .await;
        self.taken(order, &answer);
        answer
    }

    /// Notes that an order was taken.
    pub(super) fn taken(&mut self, order: usize, answer: &Answer) {
        if matches!(answer, Answer::Good(_)) {
            self.current = self.current.max(self.version_of(order));
        }
    }

    /// Makes a change; milliseconds until its acknowledgement. A proper change
    /// that gets none while nobody touches the core is a rule broken.
    pub(super) async fn change(&mut self, routes: usize) -> Result<u64, ScenarioError> {
        let order = self.next_order("a", routes);
        let begun = Instant::now();
        let answer = self.send(order, Duration::from_secs(CLEAR_S)).await;
        let took = begun.elapsed().as_millis() as u64;
        if !matches!(answer, Answer::Good(_)) {
            let version = self.version_of(order);
            self.broken(format!(
                "the order of {version} on {} has no acknowledgement after {took} ms: {answer:?}",
                self.current
            ));
            return Err("a proper order was not taken".into());
        }
        Ok(took)
    }

    /// Makes so many changes; how long the longest took, ms.
    pub(super) async fn changes(&mut self, count: usize) -> Result<u64, ScenarioError> {
        let mut longest = 0;
        for _ in 0..count {
            longest = longest.max(self.change(3).await?);
        }
        self.say(format!("{count} changes, the longest took {longest} ms"));
        Ok(longest)
    }

    /// Ends a node with SIGTERM, with so many changes going on; it must end within its grace
    /// period.
    pub(super) async fn end_in_order(&mut self, number: u8, changes: usize) -> Result<(), ScenarioError> {
        self.fleet.node(number)?.terminate()?;
        let told = Instant::now();
        self.changes(changes).await?;
        let limit = Duration::from_millis(GRACE_MS).saturating_sub(told.elapsed());
        match self.fleet.wait_for_end(number, limit).await {
            Ok(how) => self.say(format!(
                "node {number} ended {} ms after SIGTERM: {how}",
                told.elapsed().as_millis()
            )),
            Err(e) => {
                self.broken(e);
                self.fleet.node(number)?.kill();
            }
        }
        Ok(())
    }

    /// Reads the configuration back through every running node; each must show
    /// what was acknowledged last.
    pub(super) async fn read_back(&mut self) {
        let control_addresses = self.fleet.running();
        let mut shown = 0;
        for control_address in &control_addresses {
            let within = Duration::from_secs(CLEAR_S);
            match self
                .operator
                .settle(Asked::Read, &[*control_address], within)
                .await
            {
                Answer::Good(_) => shown += 1,
                other => self.broken(format!(
                    "node {} reads nothing back: {other:?}",
                    control_address.0
                )),
            }
        }
        self.say(format!(
            "read back through {shown} of {} nodes; the newest acknowledged is version {}",
            control_addresses.len(),
            self.record.history().newest_acknowledged()
        ));
    }

    /// What the leader says of the system, as a running node passes it on.
    pub(super) async fn status(&self) -> Option<Value> {
        let control_addresses = shuffled(&self.fleet.running());
        let answer = self
            .operator
            .settle(Asked::Status, &control_addresses, Duration::from_secs(3))
            .await;
        match answer {
            Answer::Good(body) => serde_json::from_slice(&body).ok(),
            _ => None,
        }
    }

    /// Evacuates a zone that no machine is in; its acknowledgement must come.
    pub(super) async fn evacuate(&mut self, zone: &str) -> Result<(), ScenarioError> {
        let asked = Asked::Evacuate {
            zone: zone.into(),
            begin: true,
        };
        let within = Duration::from_secs(CLEAR_S);
        match self
            .operator
            .settle(asked, &shuffled(&self.fleet.running()), within)
            .await
        {
            Answer::Good(_) => Ok(()),
            other => {
                self.broken(format!(
                    "the evacuation of {zone} has no acknowledgement: {other:?}"
                ));
                Err("a proper order was not taken".into())
            }
        }
    }

    /// An evacuation that was acknowledged must be in force still.
    pub(super) async fn must_be_evacuated(&mut self, zone: &str) {
        match self.is_evacuated(zone).await {
            Some(true) => self.say(format!("the evacuation of {zone} is in force")),
            Some(false) => self.broken(format!("the evacuation of {zone} was acknowledged and is lost")),
            None => self.broken("the state cannot be read: no status"),
        }
    }

    /// Whether a zone is evacuated, as far as the leader says.
    pub(super) async fn is_evacuated(&self, zone: &str) -> Option<bool> {
        let status = self.status().await?;
        Some(status["evacuated"][zone].as_u64().is_some_and(|count| count > 0))
    }

    /// Waits until a node votes and holds what the leader holds; ms that it took.
    pub(super) async fn wait_for_vote(&self, number: u8, within: Duration) -> Result<u64, ScenarioError> {
        let begun = Instant::now();
        let name = settings::name(number);
        while begun.elapsed() < within {
            if let Some(status) = self.status().await {
                let members = status["members"].as_array().cloned().unwrap_or_default();
                let leads = self.fleet.leader() == Some(number);
                let votes = members.iter().any(|m| {
                    // Its old self at the same address has long been silent.
                    let heard = m["silent_ms"].as_u64().map_or(leads, |ms| ms < SILENT_MS);
                    m["name"] == name.as_str() && m["alive"] == true && m["votes"] == true && heard
                });
                if votes {
                    return Ok(begun.elapsed().as_millis() as u64);
                }
            }
            actix_rt::time::sleep(Duration::from_millis(50)).await;
        }
        Err(format!("node {number} does not vote after {} s", within.as_secs()).into())
    }

    /// Waits until a node that takes clients has a configuration in force; ms.
    pub(super) async fn wait_for_route(
        &self,
        number: u8,
        path: &str,
        within: Duration,
    ) -> Result<u64, ScenarioError> {
        let begun = Instant::now();
        let client = crate::call::client();
        let ready = format!("http://{}/readiness", self.fleet.net().readiness(number));
        let route = format!("http://{}{path}x", self.fleet.net().front(number));
        while begun.elapsed() < within {
            let is_ready = matches!(client.get(&ready).send().await, Ok(a) if a.status() == 200);
            if is_ready {
                // There are no workers: a route that is in force leads to a 503.
                let sent = client
                    .get(&route)
                    .insert_header(("Host", orders::HOST))
                    .insert_header(("Attempt-Id", "00000000000000aa"))
                    .send()
                    .await;
                if matches!(sent, Ok(a) if a.status() != 404) {
                    return Ok(begun.elapsed().as_millis() as u64);
                }
            }
            actix_rt::time::sleep(Duration::from_millis(20)).await;
        }
        Err(format!("node {number} does not serve {path} after {} s", within.as_secs()).into())
    }
}
