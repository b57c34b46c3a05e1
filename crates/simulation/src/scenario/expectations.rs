//! What a scenario expects of the cluster.

use super::{number, ScenarioRunner, Step, StepError};
use control_state::Outcome;

impl ScenarioRunner {
    /// Whether an expectation holds now.
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
                Some(false) => return Err("it is not so".into()),
                None => {}
            }
        }
        Err(format!("nothing to expect: {}", words[0]).into())
    }

    /// Of who leads and votes; `None` for another expectation.
    fn leadership_holds(&self, words: &[&str]) -> Result<Option<bool>, StepError> {
        let cluster = &self.cluster;
        let holds = match words[0] {
            "leader" => cluster.leader().is_some(),
            "no-leader" => cluster.leader().is_none(),
            "another-leader" => cluster.leader().is_some_and(|l| l.name != self.last_leader),
            "can-shut-down" | "must-stay" => {
                let name = if words[1] == "last-leader" {
                    &self.last_leader
                } else {
                    words[1]
                };
                let process = cluster.nodes.get(name).and_then(|n| n.process.as_ref());
                process.ok_or("it is down")?.raft.is_shutdown_safe() == (words[0] == "can-shut-down")
            }
            "voters" => {
                let leader = cluster
                    .leader()
                    .and_then(|n| n.process.as_ref())
                    .ok_or("nobody leads")?;
                leader.raft.membership().voters.len() as u64 == number(words.get(1))?
            }
            _ => return Ok(None),
        };
        Ok(Some(holds))
    }

    /// Of the control state and its copies; `None` for another expectation.
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
                    other => return Err(format!("no such outcome: {other}").into()),
                }
            }
            "acked-stands" => {
                let leader = cluster
                    .leader()
                    .and_then(|n| n.process.as_ref())
                    .ok_or("nobody leads")?;
                leader.state.version() >= cluster.acked_version
            }
            "version" => {
                let wanted = number(words.get(1))?;
                let named = &words[2..];
                cluster
                    .nodes
                    .values()
                    .filter(|n| named.is_empty() || named.contains(&n.name.as_str()))
                    .filter_map(|n| n.process.as_ref())
                    .all(|l| l.state.version() == wanted)
            }
            // All running nodes know that a worker leaves.
            "draining" => {
                let knows = |l: &crate::node::Process| {
                    let w = l.state.workers.get(words[1]);
                    w.is_some_and(|w| w.draining)
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
                .all(|n| n.process.as_ref().is_some_and(|l| l.current)),
            "current" => words[1..]
                .iter()
                .all(|n| cluster.nodes[*n].process.as_ref().is_some_and(|l| l.current)),
            _ => return Ok(None),
        };
        Ok(Some(holds))
    }

    /// Of what the nodes send; `None` for another expectation.
    fn bytes_hold(&self, words: &[&str]) -> Result<Option<bool>, StepError> {
        let cluster = &self.cluster;
        let holds = match words[0] {
            "voter-bytes" | "node-bytes" => {
                let most = cluster.busiest(words[0] == "voter-bytes");
                let bound = number(words.get(1))?;
                if most > bound {
                    return Err(format!("{most} bytes a second").into());
                }
                most > 0
            }
            _ => return Ok(None),
        };
        Ok(Some(holds))
    }

    /// Of who holds keys; `None` for another expectation.
    fn keys_hold(&self, words: &[&str]) -> Result<Option<bool>, StepError> {
        let cluster = &self.cluster;
        let holds = match words[0] {
            "covered" => {
                let able = cluster.workers.values().filter(|w| w.up && !w.listed.draining);
                let mut held: Vec<(u32, u32)> = able.flat_map(|w| w.holds(cluster.now)).collect();
                held.sort_unstable();
                let mut next = 0;
                for (from, to) in held {
                    if from > next {
                        return Err(format!("nobody holds {next} to {}", from - 1).into());
                    }
                    next = next.max(to + 1);
                }
                next == control_state::KEY_SPACE
            }
            "holds" => {
                let w = cluster.workers.get(words[1]).ok_or("no such worker")?;
                (w.holds(cluster.now).next().is_some()) == (words[2] == "yes")
            }
            _ => return Ok(None),
        };
        Ok(Some(holds))
    }
}
