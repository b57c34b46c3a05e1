//! What a scenario expects of the cluster.

use super::{number, ScenarioRunner, Step, StepError};
use control_state::Outcome;

impl ScenarioRunner {
    /// Whether an expectation holds now.
    pub(super) fn expect(&mut self, words: &[&str]) -> Step {
        let holds = match words[0] {
            "leader" | "no-leader" | "another-leader" | "can-shut-down" | "must-stay" | "voters" => {
                self.expect_of_leadership(words)?
            }
            "answer" | "acked-stands" | "version" | "draining" | "all-current" | "current" => {
                self.expect_of_state(words)?
            }
            "voter-bytes" | "node-bytes" => self.expect_bytes(words)?,
            "covered" | "holds" => self.expect_of_keys(words)?,
            other => return Err(format!("nothing to expect: {other}").into()),
        };
        if holds {
            Ok(())
        } else {
            Err("it is not so".into())
        }
    }

    /// Of who leads and votes.
    fn expect_of_leadership(&self, words: &[&str]) -> Result<bool, StepError> {
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
            other => return Err(format!("nothing to expect: {other}").into()),
        };
        Ok(holds)
    }

    /// Of the control state and its copies.
    fn expect_of_state(&self, words: &[&str]) -> Result<bool, StepError> {
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
            other => return Err(format!("nothing to expect: {other}").into()),
        };
        Ok(holds)
    }

    /// Of what the nodes send.
    fn expect_bytes(&self, words: &[&str]) -> Result<bool, StepError> {
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
            other => return Err(format!("nothing to expect: {other}").into()),
        };
        Ok(holds)
    }

    /// Of who holds keys.
    fn expect_of_keys(&self, words: &[&str]) -> Result<bool, StepError> {
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
            other => return Err(format!("nothing to expect: {other}").into()),
        };
        Ok(holds)
    }
}
