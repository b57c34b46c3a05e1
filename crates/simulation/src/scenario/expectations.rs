//! The expectations of a scenario about the cluster.

use super::{parse_number, ScenarioRunner, Step, StepError};
use control_state::Outcome;

impl ScenarioRunner {
    /// Checks an expectation now.
    pub(super) fn expect(&mut self, words: &[&str]) -> Step {
        let groups = [
            Self::leadership_holds,
            Self::state_holds,
            Self::bytes_hold,
            Self::keys_hold,
        ];
        for group in groups {
            match group(self, words)? {
                Some(true) => return Ok(()),
                Some(false) => return Err("the expectation does not hold".into()),
                None => {}
            }
        }
        Err(format!("unknown expectation: {}", words[0]).into())
    }

    /// Evaluates an expectation about leader and voters; returns `None` for other expectations.
    fn leadership_holds(&self, words: &[&str]) -> Result<Option<bool>, StepError> {
        let cluster = &self.cluster;
        let holds = match words[0] {
            "leader" => cluster.leader().is_some(),
            "no-leader" => cluster.leader().is_none(),
            "another-leader" => cluster
                .leader()
                .is_some_and(|leader| leader.name != self.last_leader),
            "can-shut-down" | "must-stay" => {
                let name = if words[1] == "last-leader" {
                    &self.last_leader
                } else {
                    words[1]
                };
                let process = cluster.nodes.get(name).and_then(|n| n.process.as_ref());
                process.ok_or("the machine is down")?.raft.is_shutdown_safe() == (words[0] == "can-shut-down")
            }
            "voters" => {
                let leader = cluster
                    .leader()
                    .and_then(|n| n.process.as_ref())
                    .ok_or("there is no leader")?;
                leader.raft.membership().voters.len() as u64 == parse_number(words.get(1))?
            }
            _ => return Ok(None),
        };
        Ok(Some(holds))
    }

    /// Evaluates an expectation about the control state and its replicas; returns `None` for other
    /// expectations.
    fn state_holds(&self, words: &[&str]) -> Result<Option<bool>, StepError> {
        let cluster = &self.cluster;
        let holds = match words[0] {
            "answer" => {
                let got = cluster.answers.get(words[1]).cloned().flatten();
                match words[2] {
                    "taken" => matches!(got, Some(Outcome::Applied | Outcome::AlreadyApplied)),
                    "lost" => matches!(got, Some(Outcome::Conflict(_))),
                    "invalid" => matches!(got, Some(Outcome::Invalid(_))),
                    "none" => got.is_none(),
                    other => return Err(format!("unknown outcome: {other}").into()),
                }
            }
            "acked-stands" => {
                let leader = cluster
                    .leader()
                    .and_then(|n| n.process.as_ref())
                    .ok_or("there is no leader")?;
                leader.state.version() >= cluster.acked_version
            }
            "version" => {
                let expected = parse_number(words.get(1))?;
                let named = &words[2..];
                cluster
                    .nodes
                    .values()
                    .filter(|n| named.is_empty() || named.contains(&n.name.as_str()))
                    .filter_map(|n| n.process.as_ref())
                    .all(|process| process.state.version() == expected)
            }
            // Holds if all running nodes know that the worker is draining.
            "draining" => {
                let knows = |process: &crate::node::Process| {
                    let worker = process.state.workers.get(words[1]);
                    worker.is_some_and(|worker| worker.draining)
                };
                cluster
                    .nodes
                    .values()
                    .filter_map(|n| n.process.as_ref())
                    .all(knows)
            }
            "all-current" => cluster
                .nodes
                .values()
                .all(|n| n.process.as_ref().is_some_and(|process| process.current)),
            "current" => words[1..].iter().all(|n| {
                cluster.nodes[*n]
                    .process
                    .as_ref()
                    .is_some_and(|process| process.current)
            }),
            _ => return Ok(None),
        };
        Ok(Some(holds))
    }

    /// Evaluates an expectation about the bytes that nodes send; returns `None` for other
    /// expectations.
    fn bytes_hold(&self, words: &[&str]) -> Result<Option<bool>, StepError> {
        let cluster = &self.cluster;
        let holds = match words[0] {
            "voter-bytes" | "node-bytes" => {
                let max_rate = cluster.max_send_rate(words[0] == "voter-bytes");
                let bound = parse_number(words.get(1))?;
                if max_rate > bound {
                    return Err(format!("{max_rate} bytes per second").into());
                }
                max_rate > 0
            }
            _ => return Ok(None),
        };
        Ok(Some(holds))
    }

    /// Evaluates an expectation about the holders of keys; returns `None` for other expectations.
    fn keys_hold(&self, words: &[&str]) -> Result<Option<bool>, StepError> {
        let cluster = &self.cluster;
        let holds = match words[0] {
            "covered" => {
                let available = cluster.workers.values().filter(|w| w.up && !w.listed.draining);
                let mut held: Vec<(u32, u32)> = available.flat_map(|w| w.holds(cluster.now)).collect();
                held.sort_unstable();
                let mut next = 0;
                for (from, to) in held {
                    if from > next {
                        return Err(format!("no worker holds the keys {next} to {}", from - 1).into());
                    }
                    next = next.max(to + 1);
                }
                next == control_state::KEY_SPACE
            }
            "holds" => {
                let worker = cluster.workers.get(words[1]).ok_or("unknown worker")?;
                (worker.holds(cluster.now).next().is_some()) == (words[2] == "yes")
            }
            _ => return Ok(None),
        };
        Ok(Some(holds))
    }
}
